package admission

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/prompt"
	"github.com/mastichollow/mastichollow/internal/quarantine"
	"github.com/mastichollow/mastichollow/internal/target"
)

// Result is how a request ended at its target.
type Result uint8

// Results of requests.
const (
	// ResultDone: the target responded, possibly with an error caused by the request.
	ResultDone Result = iota
	// ResultRejected: the target rejected the request without running it.
	ResultRejected
	// ResultUnreachable: no connection to the target could be made.
	ResultUnreachable
	// ResultFailed: the target responded with a failure of its own.
	ResultFailed
	// ResultLost: the connection closed or the response was corrupt.
	ResultLost
	// ResultMisdirected: another target responded at the address and did not run the
	// request; the intended target is gone.
	ResultMisdirected
	// ResultWithdrawn: the gate or the caller aborted the request.
	ResultWithdrawn
	// ResultUnsent: the gate did not send the request, since the target was no longer
	// available right before the send.
	ResultUnsent
)

// String returns the result's label in metrics.
func (r Result) String() string {
	return [...]string{"done", "rejected", "unreachable", "failed", "lost", "misdirected", "withdrawn", "unsent"}[r]
}

// unread reports whether the result proves that the target has not read the prompt.
func (r Result) unread() bool {
	return r == ResultRejected || r == ResultUnreachable || r == ResultMisdirected
}

// Lease is the load that a placed request holds at a target. It must be ended exactly
// once.
type Lease struct {
	controller        *Controller
	target            target.Instance
	fingerprint       quarantine.Fingerprint
	parts             []prompt.Part
	workspace         string
	tier              Tier         // empty for a plain service
	work              float64      // tokens of work; 0 for a plain service
	bucket            *tokenBucket // that the work was consumed from; nil if none
	load              Load
	placedAt          time.Duration
	promptTokensAhead int          // uncached prompt tokens that the target reads before the first event, including this request's
	model             *engineModel // nil for a plain service
	began, ended      bool
	responded         bool          // the head of the response arrived
	respondedAt       time.Duration // then
	unframed          bool          // the response ends with the connection
	lasted            bool          // the response has lasted for quarantine.CrashDelay
	relativeLoad      float64       // of the target before placement, relative to its slots
	statedPace        float64       // that the response stated; 0: none
	events            int           // of the response, as far as observed
	lastEventAt       time.Duration
	intervals         [observedEvents]float32 // between the first events, seconds
	slots             float64                 // of the target
}

// Responded records that the head of the response has arrived.
func (l *Lease) Responded(now time.Duration) {
	l.controller.mu.Lock()
	defer l.controller.mu.Unlock()
	l.respond(now)
}

func (l *Lease) respond(now time.Duration) {
	if !l.responded {
		l.responded, l.respondedAt = true, now
	}
}

// MarkUnframed records that the response has neither length nor chunks.
func (l *Lease) MarkUnframed() {
	l.controller.mu.Lock()
	defer l.controller.mu.Unlock()
	l.unframed = true
}

// Began records an event of the response: the prompt has been read.
func (l *Lease) Began(now time.Duration) {
	c := l.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	l.began = true
	l.respond(now)
	if !l.lasted && now-l.respondedAt > quarantine.CrashDelay {
		l.lasted = true
		c.quarantine.RecordLasted(now, l.parts)
	}
	if l.model != nil {
		l.observeEvent(now)
	}
	if l.ended || l.load.PendingPromptTokens == 0 {
		return
	}
	if l.model != nil {
		l.model.observe(l.target.ID, l.promptTokensAhead, now-l.placedAt)
	}
	c.loads.add(l.target.ID, Load{PendingPromptTokens: -l.load.PendingPromptTokens})
	l.load.PendingPromptTokens = 0
}

// End releases the load and records the result. The argument targets lists the live
// targets of the service. It reports whether the target is now ejected.
func (l *Lease) End(now time.Duration, result Result, targets []target.Instance) bool {
	c := l.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.ended {
		return false
	}
	l.ended = true
	if l.unserved(result) {
		c.refund(l)
	}
	id := l.target.ID
	if cache := c.caches[id]; cache != nil && result.unread() {
		cache.revertUse(l.placedAt, l.parts)
	}
	c.loads.add(id, Load{InFlight: -l.load.InFlight, PendingPromptTokens: -l.load.PendingPromptTokens, Tokens: -l.load.Tokens})
	switch result {
	case ResultDone:
		if l.model == nil && l.responded {
			l.observeResponse()
		}
		c.health.recordSuccess(id)
		if l.unframed {
			c.quarantine.RecordUnframedEnd(now, l.inFlight(), l.began)
		} else {
			c.quarantine.RecordCompleted(now, &l.target, l.inFlight(), l.began)
		}
	case ResultUnreachable:
		c.quarantine.RecordUnreachable(now, &l.target)
		c.health.recordUnreachable(now, id)
		return true
	case ResultMisdirected:
		c.health.recordMisdirected(now, id)
		return true
	case ResultLost:
		c.quarantine.RecordLoss(now, &l.target, l.inFlight())
		return c.health.recordFailure(now, id, c.meanFailureRate(targets))
	case ResultFailed:
		return c.health.recordFailure(now, id, c.meanFailureRate(targets))
	}
	return false
}

// inFlight returns the request as the target has run it until now.
func (l *Lease) inFlight() quarantine.InFlight {
	return quarantine.InFlight{
		Run: quarantine.RunOf(&l.target), Fingerprint: l.fingerprint, Parts: l.parts, Workspace: quarantine.IDOfWorkspace(l.workspace),
		Began: l.responded, BeganAt: l.respondedAt,
	}
}

// unserved reports whether the request got no service because its target failed. A
// request that the caller or the gate aborted counts as served.
func (l *Lease) unserved(result Result) bool {
	switch result {
	case ResultRejected, ResultUnreachable, ResultMisdirected, ResultFailed, ResultLost, ResultUnsent:
		return !l.began && l.work > 0
	default:
		return false
	}
}

// refund returns the share that the request consumed, and no longer counts it as service.
func (c *Controller) refund(l *Lease) {
	c.recordUnserved(l)
	if l.bucket != nil {
		l.bucket.refund(l.work)
	}
	c.usageTracker.remove(l.placedAt, l.workspace, Usage{Served: l.work})
	if usage, found := c.fleetUsage[l.workspace]; found {
		usage.Served = max(usage.Served-l.work, 0)
		c.fleetUsage[l.workspace] = usage
	}
}

func (c *Controller) meanFailureRate(targets []target.Instance) float64 {
	return c.health.meanFailureRate(targets)
}
