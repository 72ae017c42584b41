package gate

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/eventlog"
	"github.com/mastichollow/mastichollow/internal/route"
	"github.com/mastichollow/mastichollow/internal/upstream"
)

const (
	// onceMaxIdle bounds the idle time of connections for requests that may run only
	// once: after the reset of a stale connection it is unknown whether they ran.
	onceMaxIdle = time.Second
	// defaultMaxIdle bounds it for other requests. The idle timeout that a target
	// announces is mostly shorter.
	defaultMaxIdle = time.Minute
	// maxConnectionsFraction is the fraction of a target's connection limit that one gate
	// may use.
	maxConnectionsFraction = 0.25
	// minConnections is the number of connections that a gate may always open to a
	// target, even if the target's connection limit is low.
	minConnections = 4
	// headTimeoutObjectives is the time without a response head, as a multiple of the
	// route's latency objective, after which a request that may be repeated is sent to
	// another target. At twice the objective it is late anyway, and a hanging target
	// never responds.
	headTimeoutObjectives = 2.5
	// minHeadTimeout is the lower bound of that time, so that requests to slow but
	// healthy targets are not aborted.
	minHeadTimeout = time.Second
	// maxColdSendDelay is the time after its placement within which a request may be sent to a
	// cold target. Sends that wait longer would reach it together with later ones, above the
	// pace by which they were placed. New connections take up to 50 ms.
	maxColdSendDelay = 200 * time.Millisecond
)

var (
	errUnresponsive = errors.New("target sent no response head in time")
	errNotAvailable = errors.New("target is no longer available")
	errNotAllowed   = errors.New("target is no longer in an allowed region")
	errCold         = errors.New("target is cold")
	errKeyRefused   = errors.New("key is no longer accepted")
)

// checkSend repeats, right before the first byte of a send, what was decided when its
// target was chosen: a gate without processor time sends seconds later, when the target may
// drain or be cold, and the key may be revoked. placedAt is when the target was chosen.
func (c *call) checkSend(d *admission.Decision, placedAt time.Duration) error {
	g := c.gate
	instance := g.directory.Current().Accepting(&d.Target)
	if instance == nil {
		return errNotAvailable
	}
	if newest, _ := g.tableCache.Current(); newest != c.table && !c.allowedRegions().Contains(instance.Region) {
		return errNotAllowed
	}
	now := g.config.Now()
	switch {
	case d.Cold && now-placedAt > maxColdSendDelay:
		return errCold
	case !d.Cold && (instance.ColdUntil > now || g.targetsOutdated() && g.directory.HasColdPhase(instance.Service)):
		return errCold
	}
	if c.recheckKey() != nil {
		return errKeyRefused
	}
	c.releaseTurn()
	c.enterStage(stageTarget)
	return nil
}

// send sends the request to one target and classifies the head of its response.
func (c *call) send(ctx context.Context, d admission.Decision) sendOutcome {
	g := c.gate
	placedAt := g.config.Now()
	c.framing = ""
	left := time.Until(c.deadline)
	if left < minServiceTime {
		return sendOutcome{result: admission.ResultWithdrawn, err: context.DeadlineExceeded}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	headWatchdog := c.startHeadWatchdog(cancel)
	c.enterStage(stageAdmission)
	resp, err := g.pool.Do(ctx, upstream.Call{
		Addr:         d.Target.Addr,
		Method:       c.r.Method,
		URI:          c.r.RequestURI,
		Host:         c.r.Host,
		Header:       g.codec.EncodeRequest(c.r.Header, c.targetMeta(d, left)),
		Body:         c.body,
		IDHeader:     g.codec.IDHeader(),
		UniqueFields: g.codec.UniqueResponseFields(),
		MaxIdleTime:  c.maxIdleTime(),
		MaxOpenConns: c.maxOpenConns(),
		Check:        func() error { return c.checkSend(&d, placedAt) },
	})
	headWatchdog.stop()
	if err != nil {
		defer cancel(nil)
		return c.classifySendError(ctx, err)
	}
	c.countSend()
	c.sendCtx, c.cancelSend = ctx, cancel
	return c.classifyResponse(d, resp)
}

// startHeadWatchdog cancels the send if the target sends no response head in time and
// another target may be tried. It returns nil if none may.
func (c *call) startHeadWatchdog(cancel context.CancelCauseFunc) *watchdog {
	if c.route.RetryPolicy == route.AtMostOnce || c.sends+1 >= c.route.MaxTargets || c.route.LatencyObjective <= 0 {
		return nil
	}
	headTimeout := max(minHeadTimeout, time.Duration(headTimeoutObjectives*float64(c.route.LatencyObjective)))
	return newWatchdog(headTimeout, func() { cancel(errUnresponsive) })
}

func (c *call) targetMeta(d admission.Decision, left time.Duration) TargetMeta {
	lastEventID := c.meta.LastEventID
	if c.lastEventID != "" {
		lastEventID = c.lastEventID
	}
	return TargetMeta{TimeLeft: left, TargetID: d.Target.ID, Workspace: c.workspace, LastEventID: lastEventID}
}

func (c *call) maxIdleTime() time.Duration {
	if c.route.RetryPolicy == route.AtMostOnce {
		return onceMaxIdle
	}
	return defaultMaxIdle
}

func (c *call) maxOpenConns() int {
	if c.service == nil || c.service.MaxConnections <= 0 {
		return 0
	}
	return max(minConnections, int(maxConnectionsFraction*float64(c.service.MaxConnections)))
}

func (c *call) classifySendError(ctx context.Context, err error) sendOutcome {
	notSent := errors.Is(err, upstream.ErrNotSent)
	if !notSent {
		c.countSend()
	}
	unresponsive := errors.Is(context.Cause(ctx), errUnresponsive)
	switch {
	case unresponsive && !notSent:
		return sendOutcome{result: admission.ResultFailed, mayHaveRun: true, err: errUnresponsive}
	case ctx.Err() != nil && !unresponsive:
		return sendOutcome{result: admission.ResultWithdrawn, mayHaveRun: !notSent, err: err}
	case errors.Is(err, errNotAvailable) || errors.Is(err, errNotAllowed) || errors.Is(err, errCold) || errors.Is(err, errKeyRefused):
		c.gate.metrics.withheldSends.Inc()
		return sendOutcome{result: admission.ResultUnsent, err: err}
	case errors.Is(err, upstream.ErrBusy):
		return sendOutcome{result: admission.ResultRejected, err: err}
	case notSent:
		return sendOutcome{result: admission.ResultUnreachable, err: err}
	default:
		return sendOutcome{result: admission.ResultLost, mayHaveRun: true, err: err}
	}
}

// classifyResponse decides by the head of a response whether it may be forwarded.
func (c *call) classifyResponse(d admission.Decision, resp *upstream.Response) sendOutcome {
	meta := c.gate.codec.DecodeResponse(resp.Status, resp.Header)
	if !meta.Misdirected {
		c.gate.silent.recordResponse(d.Target.ID)
		c.applyTargetSignals(d, meta)
	}
	switch {
	case meta.Misdirected:
		resp.Body.Close()
		return sendOutcome{result: admission.ResultMisdirected, err: errors.New("another target responded at the address")}
	case meta.NotExecuted && resp.Status != http.StatusBadRequest:
		resp.Body.Close()
		return sendOutcome{result: admission.ResultRejected, err: errors.Newf("target rejected the request with status %d", resp.Status)}
	case meansNotExecuted(resp.Status):
		// The caller would conclude that the request did not run, which this target
		// does not state.
		resp.Body.Close()
		return sendOutcome{result: admission.ResultFailed, mayHaveRun: true, err: errors.Newf("status %d without proof that the request did not run", resp.Status)}
	case resp.Status < http.StatusMultipleChoices && !meta.Sealed:
		resp.Body.Close()
		return sendOutcome{result: admission.ResultLost, mayHaveRun: true, err: errors.Newf("status %d without response seal", resp.Status)}
	default:
		return sendOutcome{result: admission.ResultDone, response: resp, mayHaveRun: true}
	}
}

// applyTargetSignals applies what a target signals in its response: its load, that it is
// draining, a backoff, or a request limit.
func (c *call) applyTargetSignals(d admission.Decision, meta ResponseMeta) {
	g, instance := c.gate, d.Target
	now := g.config.Now()
	d.Lease.RecordStatement(now, meta.Statement)
	if meta.InvalidStatement {
		g.metrics.invalidLoads.Inc()
	}
	if meta.Draining && g.directory.MarkDraining(instance.ID, instance.StartedMillis, now, true) {
		g.metrics.drainingTargets.Inc()
		g.pool.CloseIdle(instance.Addr)
		g.config.Events.Event(logModule, "target leaves", eventlog.Text("request", c.meta.ID),
			eventlog.Text("target", instance.ID), eventlog.Text("addr", instance.Addr), eventlog.Text("told_by", "itself"))
	}
	if meta.Backoff > 0 {
		g.controller.BackOff(now, instance, meta.Backoff)
		g.metrics.backoffs.Inc()
		g.config.Events.Event(logModule, "target pauses", eventlog.Text("request", c.meta.ID),
			eventlog.Text("target", instance.ID), eventlog.Millis("for_ms", meta.Backoff))
	}
	if d.Lease.RecordRequestLimit(now, meta.RequestLimit) {
		g.metrics.requestLimitChanges.Inc()
		g.config.Events.Event(logModule, "target request limit changed", eventlog.Text("request", c.meta.ID),
			eventlog.Text("target", instance.ID), eventlog.Text("per_second", limitText(meta.RequestLimit)))
	}
}

// limitText returns a request limit for log lines: its value, or "none".
func limitText(limit admission.RequestLimit) string {
	if limit.Statement != admission.LimitNamed {
		return "none"
	}
	return strconv.FormatFloat(limit.PerSecond, 'g', 4, 64)
}

// meansNotExecuted reports whether callers conclude from a status that the request did
// not run and never will.
func meansNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
