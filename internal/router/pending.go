package router

import (
	"math"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

const (
	grantRateHalfLife      = 10 * time.Second                                             // of a grant's weight in the moving grant rate
	grantRateTimeConstant  = float64(grantRateHalfLife) / math.Ln2 / float64(time.Second) // seconds
	minRetryAfter          = time.Second
	maxRetryAfter          = time.Minute
	defaultQueueRetryAfter = 5 * time.Second // while no grant is known
)

// pendingLimiter bounds the requests that each workspace has pending per pool at this
// router. Requests that no agent has queued or granted yet are bounded by a limit of
// the router, requests in agents' queues by the workspace's queue limit.
type pendingLimiter struct {
	offeredLimit int
	mu           sync.Mutex
	counts       map[pendingKey]*pendingCounts
}

type pendingKey struct {
	row  workspace.RowID
	pool string
}

// pendingCounts counts the pending requests of one workspace and pool.
type pendingCounts struct {
	offered      int       // not queued by any agent yet
	queued       int       // in an agent's queue
	recentGrants float64   // sum of grants, decayed exponentially
	updated      time.Time // last decay of recentGrants
}

// pendingRequest is one pending request. It is not safe for concurrent use.
type pendingRequest struct {
	limiter    *pendingLimiter
	key        pendingKey
	queueLimit int // of the workspace's queue
	isQueued   bool
}

func newPendingLimiter(offeredLimit int) *pendingLimiter {
	return &pendingLimiter{offeredLimit: offeredLimit, counts: make(map[pendingKey]*pendingCounts)}
}

// add counts a request as pending, or returns a refusal.
func (p *pendingLimiter) add(row *workspace.Row, pool string) (*pendingRequest, *request.RefusedError) {
	key := pendingKey{row.ID, pool}
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := p.counts[key]
	if counts == nil {
		counts = &pendingCounts{updated: time.Now()}
		p.counts[key] = counts
	}
	if counts.offered >= p.offeredLimit {
		return nil, counts.queueFull("%d requests are being offered", counts.offered)
	}
	counts.offered++
	return &pendingRequest{limiter: p, key: key, queueLimit: row.QueueLimit}, nil
}

// markQueued records that an agent has queued the request. It returns a refusal if the
// queue limit of the workspace is reached.
func (p *pendingRequest) markQueued() *request.RefusedError {
	if p.isQueued {
		return nil
	}
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	counts := p.limiter.counts[p.key]
	if counts.queued >= p.queueLimit {
		return counts.queueFull("%d requests wait, the limit is %d", counts.queued, p.queueLimit)
	}
	p.isQueued = true
	counts.offered--
	counts.queued++
	return nil
}

// markGranted records that an agent has granted the request.
func (p *pendingRequest) markGranted() {
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	counts := p.limiter.counts[p.key]
	counts.decay()
	counts.recentGrants++
}

// remove ends the counting of the request.
func (p *pendingRequest) remove() {
	p.limiter.mu.Lock()
	defer p.limiter.mu.Unlock()
	counts := p.limiter.counts[p.key]
	if p.isQueued {
		counts.queued--
	} else {
		counts.offered--
	}
	if counts.queued == 0 && counts.offered == 0 {
		delete(p.limiter.counts, p.key)
	}
}

// queueFull returns a refusal whose RetryAfter is the estimated drain time.
func (c *pendingCounts) queueFull(format string, args ...any) *request.RefusedError {
	refused := newRefusal(request.ReasonQueueFull, format, args...)
	refused.RetryAfter = c.drainTime()
	return refused
}

// drainTime estimates the time until all pending requests are granted at the present
// grant rate.
func (c *pendingCounts) drainTime() time.Duration {
	c.decay()
	rate := c.recentGrants / grantRateTimeConstant // requests/s
	if rate <= 0 {
		return defaultQueueRetryAfter
	}
	wait := time.Duration(float64(c.queued+c.offered) / rate * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// decay applies the exponential decay of recentGrants since the last update.
func (c *pendingCounts) decay() {
	now := time.Now()
	c.recentGrants *= math.Exp2(-now.Sub(c.updated).Seconds() / grantRateHalfLife.Seconds())
	c.updated = now
}
