package gate

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/desync"
	"github.com/mastichollow/mastichollow/internal/eventlog"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/route"
	"github.com/mastichollow/mastichollow/internal/socket"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/upstream"
)

// maxTargetsTried bounds the targets tried for one request, unreachable ones included.
const maxTargetsTried = 4

// sendOutcome is the outcome of one send to a target.
type sendOutcome struct {
	result admission.Result
	// response is set if the target's response may be forwarded to the caller.
	response *upstream.Response
	// mayHaveRun: the target may have run the request.
	mayHaveRun bool
	// done: the caller received its final response.
	done bool
	// retryReserved: the retry budget for one more send has been acquired.
	retryReserved bool
	// noRetry: no other target may continue, since part of the response has been
	// forwarded.
	noRetry bool
	err     error
}

// run sends the request to targets until one responds or no further target may be
// tried.
func (c *call) run(ctx context.Context) {
	if c.callerDisconnected() {
		c.abort(request.ReasonCallerGone, eventlog.Text("detail", "before the first send"))
	}
	defer c.returnRetry()
	retryReason := ""
	for tried := 0; tried < maxTargetsTried; tried++ {
		if refused := c.recheckKey(); refused != nil {
			c.refuseKey(refused)
			return
		}
		if c.sends == 0 && c.gate.mayOutlast(c.deadline) {
			c.refuse(c.refusalOfStoppingGate())
			return
		}
		d := c.selectTarget(retryReason)
		if d.Refused != "" {
			c.refuseAdmission(d, retryReason)
			return
		}
		o := c.send(ctx, d)
		if o.response != nil {
			o = c.forwardOrRetry(ctx, d, o)
		}
		c.endSend(d, o)
		if o.done {
			return
		}
		c.mayHaveRun = c.mayHaveRun || o.mayHaveRun
		if o.noRetry || !o.retryReserved && !c.reserveRetry(ctx, o) {
			c.failRequest(ctx, o)
			return
		}
		retryReason = o.result.String()
	}
	c.failRequest(ctx, sendOutcome{result: admission.ResultUnreachable, err: errors.New("no target could be reached")})
}

// callerDisconnected reports whether the caller's connection is closed. http.Server
// reports it too, but later: with a high scheduling delay, a gate finds the request and
// the close of its connection at the same time.
func (c *call) callerDisconnected() bool {
	conn, ok := c.r.Context().Value(connKey{}).(net.Conn)
	return ok && socket.PeekState(conn) == socket.Closed
}

// selectTarget asks the admission controller for a target. retryReason is the result of
// the previous send, empty for the first one.
func (c *call) selectTarget(retryReason string) admission.Decision {
	g := c.gate
	c.admissionRequest.FirstTokenObjective = c.remainingObjective()
	c.admissionRequest.Retry = retryReason != ""
	c.admissionRequest.Exclude = c.triedTargets
	c.admissionRequest.Regions = c.allowedRegions()
	now := g.config.Now()
	c.admissionRequest.TargetsOutdated = g.targetsOutdated()
	d := g.controller.Admit(now, &c.admissionRequest, g.directory.Current().Available(c.admissionRequest.Service))
	c.decision = d
	if d.Refused != "" {
		return d
	}
	c.triedTargets = append(c.triedTargets, d.Target.ID)
	if retryReason != "" {
		g.metrics.retries.WithLabelValues(retryReason).Inc()
	}
	return d
}

// allowedRegions returns the regions in which the request may be served: those that the
// table allows under which it was accepted, and also the newest table.
func (c *call) allowedRegions() target.RegionSet {
	regions := c.gate.directory.Regions()
	allowed := regions.Allowed(c.route.AllowedRegions).Intersect(c.allowedByWorkspace(c.table, regions))
	newest, _ := c.gate.tableCache.Current()
	if newest == c.table {
		return allowed
	}
	if newestRoute := newest.Match(c.r.Host, c.path()); newestRoute != nil {
		allowed = allowed.Intersect(regions.Allowed(newestRoute.AllowedRegions))
	}
	return allowed.Intersect(c.allowedByWorkspace(newest, regions))
}

// allowedByWorkspace returns the regions that a table allows to the workspace of the key.
// It includes keys that callers send to public routes.
func (c *call) allowedByWorkspace(table *route.Table, regions *target.Regions) target.RegionSet {
	ws := table.Authenticate(c.meta.Key)
	if ws == nil {
		return target.RegionSet{}
	}
	return regions.Allowed(ws.AllowedRegions)
}

// refuseKey ends a request whose key is no longer accepted.
func (c *call) refuseKey(refused *refusal) {
	switch {
	case c.headSent:
		c.abort(refused.reason, refused.detail...)
	case c.mayHaveRun:
		c.refuse(failure(http.StatusBadGateway, refused.reason, refused.detail...))
	default:
		c.refuse(refused)
	}
}

// refuseAdmission ends a request that the admission controller did not admit.
func (c *call) refuseAdmission(d admission.Decision, retryReason string) {
	detail := []eventlog.Field{
		eventlog.Text("service", c.admissionRequest.Service), eventlog.Bool("restricted", !c.admissionRequest.Regions.Unrestricted()), eventlog.Text("first_choice", d.Target.ID),
		eventlog.Bool("over_share", d.OverShare),
		eventlog.Int("share_percent", int(100*d.ShareMultiple)), eventlog.Text("after", retryReason),
	}
	if d.BlockedPart != 0 {
		detail = append(detail, eventlog.Text("blocked_part", strconv.FormatUint(d.BlockedPart, hexBase)))
	}
	switch {
	case c.headSent:
		c.abort(d.Refused, detail...)
	case c.mayHaveRun:
		c.refuse(failure(http.StatusBadGateway, d.Refused, detail...))
	case d.RetryAfter > 0:
		c.refuse(unavailable(d.Refused, d.RetryAfter, detail...))
	default:
		c.refuse(unavailable(d.Refused, retryAfterLong, detail...))
	}
}

// remainingObjective returns the time left of the route's latency objective, at least
// minServiceTime; 0 if the route has none.
func (c *call) remainingObjective() time.Duration {
	if c.route.LatencyObjective <= 0 {
		return 0
	}
	return max(c.route.LatencyObjective-time.Since(c.started), minServiceTime)
}

// forwardOrRetry forwards a response, unless it is a failure and another target may be
// tried.
func (c *call) forwardOrRetry(ctx context.Context, d admission.Decision, o sendOutcome) sendOutcome {
	defer c.cancelSend(nil)
	if c.headSent && !c.continuesStream(o.response) {
		o.response.Body.Close()
		return sendOutcome{result: admission.ResultFailed, mayHaveRun: true, err: errors.Newf("status %d without a stream to a resumed stream", o.response.Status)}
	}
	if o.response.Status >= http.StatusInternalServerError {
		o.result = admission.ResultFailed
		if c.reserveRetry(ctx, o) {
			o.response.Body.Close()
			o.retryReserved, o.err = true, errors.Newf("status %d", o.response.Status)
			return o
		}
	}
	return c.forward(ctx, d, o)
}

// reserveRetry reports whether the request may be sent to one more target after o, and
// acquires the retry budget for it, unless it is still held from a send that did not reach
// its target.
func (c *call) reserveRetry(ctx context.Context, o sendOutcome) bool {
	if (o.mayHaveRun || c.mayHaveRun) && c.route.RetryPolicy == route.AtMostOnce {
		return false
	}
	if c.r.Context().Err() != nil || ctx.Err() != nil || time.Until(c.deadline) <= minServiceTime {
		return false
	}
	if c.sends == 0 {
		return true // no target received it: the next send is no retry
	}
	if c.sends >= c.route.MaxTargets {
		return false
	}
	if c.retry == nil {
		c.retry = c.gate.controller.AcquireRetry(c.gate.config.Now(), c.admissionRequest.Service)
	}
	return c.retry != nil
}

// returnRetry returns the retry budget that was acquired for a send that did not happen,
// because admission refused the retry, the key was revoked or the target was unreachable.
func (c *call) returnRetry() {
	if c.retry != nil {
		c.gate.controller.ReturnRetry(c.retry)
		c.retry = nil
	}
}

// countSend counts a send that may have reached its target. The retry budget acquired for
// it is consumed.
func (c *call) countSend() {
	c.sends++
	c.retry = nil
}

// endSend ends the lease of a send and logs the send if it failed.
func (c *call) endSend(d admission.Decision, o sendOutcome) {
	g := c.gate
	g.metrics.sends.WithLabelValues(o.result.String()).Inc()
	ejected := d.Lease.End(g.config.Now(), o.result, g.directory.Current().Available(c.admissionRequest.Service))
	if o.result == admission.ResultDone {
		if c.framing == upstream.FramingClose && len(c.meta.Parts) > 0 {
			g.checkTarget(d.Target) // its end would look the same
		}
		return
	}
	g.markNotWarm(d.Target.ID, o)
	if errors.Is(o.err, desync.ErrJoined) {
		g.metrics.joinedResponses.Inc()
	}
	if o.result == admission.ResultLost && !errors.Is(o.err, upstream.ErrMalformed) {
		g.checkTarget(d.Target)
	}
	fields := []eventlog.Field{
		eventlog.Text("request", c.meta.ID),
		eventlog.Text("target", d.Target.ID), eventlog.Text("addr", d.Target.Addr), eventlog.Text("result", o.result.String()),
		eventlog.Int("running", d.Load.InFlight), eventlog.Int("reading", d.Load.PendingPromptTokens), eventlog.Millis("ms", time.Since(c.started)),
		eventlog.Bool("left_out", ejected), eventlog.Bool("may_have_run", o.mayHaveRun), eventlog.Text("error", errorText(o.err)),
	}
	if c.framing != "" {
		fields = append(fields, c.framingLogFields()...)
	}
	g.config.Events.Event(logModule, "send failed", fields...)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// failRequest ends the request after its last send failed.
func (c *call) failRequest(ctx context.Context, o sendOutcome) {
	detail := []eventlog.Field{eventlog.Text("error", errorText(o.err))}
	reason := refusalReason(o.result)
	switch {
	case c.r.Context().Err() != nil:
		c.abort(request.ReasonCallerGone, detail...)
	case c.headSent:
		c.abort(reason, detail...)
	case !c.mayHaveRun && !o.mayHaveRun:
		c.refuse(unavailable(reason, retryAfterShort, detail...))
	case c.gate.stopped.Err() != nil:
		c.refuse(failure(http.StatusGatewayTimeout, request.ReasonDraining, detail...))
	case ctx.Err() != nil:
		c.refuse(failure(http.StatusGatewayTimeout, request.ReasonDeadline, detail...))
	default:
		c.refuse(failure(http.StatusBadGateway, reason, detail...))
	}
}

func refusalReason(r admission.Result) request.Reason {
	switch r {
	case admission.ResultRejected:
		return request.ReasonOverloaded
	case admission.ResultUnreachable, admission.ResultMisdirected, admission.ResultUnsent:
		return request.ReasonTargetDown
	case admission.ResultWithdrawn:
		return request.ReasonDeadline
	case admission.ResultLost:
		return request.ReasonConnectionLost
	default:
		return request.ReasonTargetFailed
	}
}

// abort closes the connection of a caller that already received the head of a response
// or disconnected. It does not return.
func (c *call) abort(reason request.Reason, detail ...eventlog.Field) {
	c.gate.metrics.refusals.WithLabelValues(string(reason)).Inc()
	c.logRequestEnd(string(reason), detail...)
	socket.AbortResponse(c.w, c.r)
}

func statusLabel(status int) string { return strconv.Itoa(status) }
