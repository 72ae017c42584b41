package gate

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/eventlog"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/route"
	"github.com/mastichollow/mastichollow/internal/socket"
	"github.com/mastichollow/mastichollow/internal/upstream"
)

const (
	// onceMaxIdle bounds the idle time of connections for requests that may run
	// once: after a reset of a stale one nobody knows whether they ran.
	onceMaxIdle = time.Second
	// maxIdle bounds it for others; the target's announced timeout is mostly
	// shorter.
	maxIdle = time.Minute
	// maxPlacements bounds the targets tried for one request, those that could
	// not be reached included.
	maxPlacements = 4
	// connectionsShare is the part of a target's connections that one gate may
	// open.
	connectionsShare = 0.25
	// minConnections is the least that a gate may open, however few a target
	// allows.
	minConnections = 4
	// silenceGoals is the silence, in goals of the route, after which a request
	// that may be repeated goes to another target. At twice the goal it is late
	// anyway, and targets that hang answer nothing.
	silenceGoals = 2.5
	// minSilence keeps slow but sound targets from being given up.
	minSilence = time.Second
)

var errSilent = errors.New("target is silent")

// outcome is what became of one send to a target.
type outcome struct {
	result admission.Result
	// answer is set if the target's answer may go to the caller.
	answer *upstream.Answer
	// ran says whether the request may have run.
	ran bool
	// done: the caller has its final answer, or is gone.
	done bool
	// repeat: the budget for one more send has been taken.
	repeat bool
	// final: no other target may go on, since part of the answer is out.
	final bool
	err   error
}

// run sends the request to targets until one answers or nothing more may be
// tried.
func (c *call) run(ctx context.Context) {
	if c.callerLeft() {
		c.abort(request.ReasonCallerGone, eventlog.Text("detail", "before the first send"))
	}
	why := ""
	for placement := 0; placement < maxPlacements; placement++ {
		d := c.place(why)
		if d.Refused != "" {
			c.refusePlacement(d, why)
			return
		}
		o := c.send(ctx, d)
		if o.answer != nil {
			o = c.passOrReplace(ctx, d, o)
		}
		c.end(d, o)
		if o.done {
			return
		}
		c.ran = c.ran || o.ran
		if o.final || !o.repeat && !c.mayRepeat(ctx, o) {
			c.fail(ctx, o)
			return
		}
		why = o.result.String()
	}
	c.fail(ctx, outcome{result: admission.ResultUnreachable, err: errors.New("no target could be reached")})
}

// callerLeft reports whether the caller's connection is closed. The server tells
// so too, but later: a gate that runs late finds the request and the close of
// its connection at the same time.
func (c *call) callerLeft() bool {
	conn, ok := c.r.Context().Value(connKey{}).(net.Conn)
	return ok && socket.Look(conn) == socket.Closed
}

// place asks the policy for a target. why says why the send before ended.
func (c *call) place(why string) admission.Decision {
	g := c.gate
	c.policy.Goal = c.goalLeft()
	c.policy.Repeat = why != ""
	c.policy.Exclude = c.tried
	d := g.controller.Admit(g.config.Now(), &c.policy, g.directory.Current().Of(c.policy.Service))
	if d.Refused != "" {
		return d
	}
	c.tried = append(c.tried, d.Target.ID)
	if why != "" {
		g.metrics.retries.WithLabelValues(why).Inc()
	}
	return d
}

// refusePlacement answers a request for which the policy has no target.
func (c *call) refusePlacement(d admission.Decision, why string) {
	detail := []eventlog.Field{
		eventlog.Text("service", c.policy.Service), eventlog.Text("first_choice", d.Target.ID),
		eventlog.Int("running", d.Load.Running), eventlog.Int("reading", d.Load.Reading),
		eventlog.Int("missing", d.Missing), eventlog.Bool("over_share", d.OverShare),
		eventlog.Int("share_percent", int(100*d.Excess)), eventlog.Text("after", why),
	}
	switch {
	case c.begun:
		c.abort(d.Refused, detail...)
	case c.ran:
		c.refuse(failed(http.StatusBadGateway, d.Refused, detail...))
	case d.OverShare || d.Refused != request.ReasonOverloaded:
		c.refuse(unavailable(d.Refused, retryLater, detail...))
	default:
		c.refuse(unavailable(d.Refused, retrySoon, detail...))
	}
}

// goalLeft returns the time to the goal, 0 if the route has none.
func (c *call) goalLeft() time.Duration {
	if c.route.Goal <= 0 {
		return 0
	}
	return max(c.route.Goal-time.Since(c.started), minTime)
}

// send sends the request to one target and judges the head of its answer.
func (c *call) send(ctx context.Context, d admission.Decision) outcome {
	g := c.gate
	left := time.Until(c.deadline)
	if left < minTime {
		return outcome{result: admission.ResultWithdrawn, err: context.DeadlineExceeded}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	patience := c.limitSilence(cancel)
	answer, err := g.pool.Do(ctx, upstream.Call{
		Addr:     d.Target.Addr,
		Method:   c.r.Method,
		URI:      c.r.RequestURI,
		Host:     c.r.Host,
		Header:   g.codec.Outbound(c.r.Header, c.outbound(d, left)),
		Body:     c.body,
		IDHeader: g.codec.IDHeader(),
		MaxIdle:  c.maxIdle(),
		MaxOpen:  c.maxOpen(),
	})
	if patience != nil {
		patience.Stop()
	}
	if err != nil {
		defer cancel(nil)
		return c.sendFailed(ctx, err)
	}
	c.sent++
	c.release = func() { cancel(nil) }
	return c.judge(answer)
}

// limitSilence ends the send when the target stays silent, if another target
// may be tried.
func (c *call) limitSilence(cancel context.CancelCauseFunc) *time.Timer {
	if c.route.Repetition == route.Once || c.sent+1 >= c.route.MaxTargets || c.route.Goal <= 0 {
		return nil
	}
	silence := max(minSilence, time.Duration(silenceGoals*float64(c.route.Goal)))
	return time.AfterFunc(silence, func() { cancel(errSilent) })
}

func (c *call) outbound(d admission.Decision, left time.Duration) Outbound {
	last := c.meta.LastEvent
	if c.lastID != "" {
		last = c.lastID
	}
	return Outbound{Left: left, Instance: d.Target.ID, Workspace: c.workspace, LastEvent: last}
}

func (c *call) maxIdle() time.Duration {
	if c.route.Repetition == route.Once {
		return onceMaxIdle
	}
	return maxIdle
}

func (c *call) maxOpen() int {
	if c.service == nil || c.service.MaxConnections <= 0 {
		return 0
	}
	return max(minConnections, int(connectionsShare*float64(c.service.MaxConnections)))
}

func (c *call) sendFailed(ctx context.Context, err error) outcome {
	notSent := errors.Is(err, upstream.ErrNotSent)
	if !notSent {
		c.sent++
	}
	silent := errors.Is(context.Cause(ctx), errSilent)
	switch {
	case silent && !notSent:
		return outcome{result: admission.ResultFailed, ran: true, err: errSilent}
	case ctx.Err() != nil && !silent:
		return outcome{result: admission.ResultWithdrawn, ran: !notSent, err: err}
	case errors.Is(err, upstream.ErrBusy):
		return outcome{result: admission.ResultRejected, err: err}
	case notSent:
		return outcome{result: admission.ResultUnreachable, err: err}
	default:
		return outcome{result: admission.ResultLost, ran: true, err: err}
	}
}

// judge decides what the head of an answer is worth.
func (c *call) judge(a *upstream.Answer) outcome {
	v := c.gate.codec.Verdict(a.Status, a.Header)
	switch {
	case v.Misdirected:
		a.Body.Close()
		return outcome{result: admission.ResultMisdirected, err: errors.New("another target has the address")}
	case v.NotRun && a.Status != http.StatusBadRequest:
		a.Body.Close()
		return outcome{result: admission.ResultRejected, err: errors.Newf("target rejected the request with status %d", a.Status)}
	case isPromise(a.Status):
		// The caller would take it as "not run", which this target does not say.
		a.Body.Close()
		return outcome{result: admission.ResultFailed, ran: true, err: errors.Newf("status %d without proof that nothing ran", a.Status)}
	case a.Status < http.StatusMultipleChoices && !v.Genuine:
		a.Body.Close()
		return outcome{result: admission.ResultLost, ran: true, err: errors.Newf("status %d without the target's mark", a.Status)}
	default:
		return outcome{result: admission.ResultDone, answer: a, ran: true}
	}
}

// isPromise reports whether callers take a status as "has not run and never
// will".
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// passOrReplace passes an answer on, unless it is a failure that a further
// target may mend.
func (c *call) passOrReplace(ctx context.Context, d admission.Decision, o outcome) outcome {
	defer c.release()
	if c.begun && (o.answer.Status != http.StatusOK) {
		o.answer.Body.Close()
		return outcome{result: admission.ResultFailed, ran: true, err: errors.Newf("status %d to a resumed stream", o.answer.Status)}
	}
	if o.answer.Status >= http.StatusInternalServerError {
		o.result = admission.ResultFailed
		if c.mayRepeat(ctx, o) {
			o.answer.Body.Close()
			return outcome{result: admission.ResultFailed, ran: true, repeat: true, err: errors.Newf("status %d", o.answer.Status)}
		}
	}
	return c.pass(ctx, d, o)
}

// mayRepeat reports whether the request may go to one more target after o. It
// takes the budget for it.
func (c *call) mayRepeat(ctx context.Context, o outcome) bool {
	if (o.ran || c.ran) && c.route.Repetition == route.Once {
		return false
	}
	if c.r.Context().Err() != nil || ctx.Err() != nil || time.Until(c.deadline) <= minTime {
		return false
	}
	if c.sent == 0 {
		return true // no target has had it: the next one costs no retry
	}
	return c.sent < c.route.MaxTargets && c.gate.controller.TakeRetry(c.gate.config.Now(), c.policy.Service)
}

// end ends the lease of a send and logs what became of it.
func (c *call) end(d admission.Decision, o outcome) {
	g := c.gate
	g.metrics.results.WithLabelValues(o.result.String()).Inc()
	left := d.Lease.End(g.config.Now(), o.result, g.directory.Current().Of(c.policy.Service))
	if o.result == admission.ResultDone {
		return
	}
	g.config.Events.Event(logModule, "send failed", eventlog.Text("request", c.meta.ID),
		eventlog.Text("target", d.Target.ID), eventlog.Text("addr", d.Target.Addr), eventlog.Text("result", o.result.String()),
		eventlog.Int("running", d.Load.Running), eventlog.Int("reading", d.Load.Reading), eventlog.Millis("ms", time.Since(c.started)),
		eventlog.Bool("left_out", left), eventlog.Bool("may_have_run", o.ran), eventlog.Text("error", errText(o.err)))
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// fail gives the caller the final answer after the last send failed.
func (c *call) fail(ctx context.Context, o outcome) {
	detail := []eventlog.Field{eventlog.Text("error", errText(o.err))}
	reason := reasonOf(o.result)
	switch {
	case c.r.Context().Err() != nil:
		c.abort(request.ReasonCallerGone, detail...)
	case c.begun:
		c.abort(reason, detail...)
	case !c.ran && !o.ran:
		c.refuse(unavailable(reason, retrySoon, detail...))
	case ctx.Err() != nil:
		c.refuse(failed(http.StatusGatewayTimeout, request.ReasonDeadline, detail...))
	default:
		c.refuse(failed(http.StatusBadGateway, reason, detail...))
	}
}

func reasonOf(r admission.Result) request.Reason {
	switch r {
	case admission.ResultRejected:
		return request.ReasonOverloaded
	case admission.ResultUnreachable, admission.ResultMisdirected:
		return request.ReasonTargetDown
	case admission.ResultWithdrawn:
		return request.ReasonDeadline
	case admission.ResultLost:
		return request.ReasonConnectionLost
	default:
		return request.ReasonTargetFailed
	}
}

// abort ends the connection of a caller that already has the head of an answer
// or is gone. It does not return.
func (c *call) abort(reason request.Reason, detail ...eventlog.Field) {
	c.gate.metrics.refusals.WithLabelValues(string(reason)).Inc()
	c.logEnd(string(reason), detail...)
	panic(http.ErrAbortHandler)
}

func statusLabel(status int) string { return strconv.Itoa(status) }
