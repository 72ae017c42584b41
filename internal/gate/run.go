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

// maxPlacements bounds the targets tried for one request, those that could not be
// reached included.
const maxPlacements = 4

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
		if refused := c.stillAllowed(); refused != nil {
			c.withdraw(refused)
			return
		}
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
	c.policy.FirstTokenObjective = c.goalLeft()
	c.policy.Retry = why != ""
	c.policy.Exclude = c.tried
	d := g.controller.Admit(g.config.Now(), &c.policy, g.directory.Current().Of(c.policy.Service))
	c.decision = d
	if d.Refused != "" {
		return d
	}
	c.tried = append(c.tried, d.Target.ID)
	if why != "" {
		g.metrics.retries.WithLabelValues(why).Inc()
	}
	return d
}

// withdraw ends a request whose key is not valid any more.
func (c *call) withdraw(refused *refusal) {
	switch {
	case c.begun:
		c.abort(refused.reason, refused.detail...)
	case c.ran:
		c.refuse(failed(http.StatusBadGateway, refused.reason, refused.detail...))
	default:
		c.refuse(refused)
	}
}

// refusePlacement answers a request for which the policy has no target.
func (c *call) refusePlacement(d admission.Decision, why string) {
	detail := []eventlog.Field{
		eventlog.Text("service", c.policy.Service), eventlog.Text("first_choice", d.Target.ID),
		eventlog.Bool("over_share", d.OverShare),
		eventlog.Int("share_percent", int(100*d.ShareMultiple)), eventlog.Text("after", why),
	}
	switch {
	case c.begun:
		c.abort(d.Refused, detail...)
	case c.ran:
		c.refuse(failed(http.StatusBadGateway, d.Refused, detail...))
	case d.RetryAfter > 0:
		c.refuse(unavailable(d.Refused, d.RetryAfter, detail...))
	default:
		c.refuse(unavailable(d.Refused, retryLater, detail...))
	}
}

// goalLeft returns the time to the goal, 0 if the route has none.
func (c *call) goalLeft() time.Duration {
	if c.route.Goal <= 0 {
		return 0
	}
	return max(c.route.Goal-time.Since(c.started), minTime)
}

// passOrReplace passes an answer on, unless it is a failure that a further
// target may mend.
func (c *call) passOrReplace(ctx context.Context, d admission.Decision, o outcome) outcome {
	defer c.cancel(nil)
	if c.begun && o.answer.Status != http.StatusOK {
		o.answer.Body.Close()
		return outcome{result: admission.ResultFailed, ran: true, err: errors.Newf("status %d to a resumed stream", o.answer.Status)}
	}
	if o.answer.Status >= http.StatusInternalServerError {
		o.result = admission.ResultFailed
		if c.mayRepeat(ctx, o) {
			o.answer.Body.Close()
			o.repeat, o.err = true, errors.Newf("status %d", o.answer.Status)
			return o
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
	return c.sent < c.route.MaxTargets && c.gate.controller.AcquireRetry(c.gate.config.Now(), c.policy.Service)
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
		eventlog.Int("running", d.Load.InFlight), eventlog.Int("reading", d.Load.PendingPromptTokens), eventlog.Millis("ms", time.Since(c.started)),
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
