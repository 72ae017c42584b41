package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/eventlog"
	"github.com/mastichollow/mastichollow/internal/route"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/upstream"
)

const (
	// onceMaxIdle bounds the idle time of connections for requests that may run
	// once: after a reset of a stale one nobody knows whether they ran.
	onceMaxIdle = time.Second
	// maxIdle bounds it for others; the target's announced timeout is mostly
	// shorter.
	maxIdle = time.Minute
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

// send sends the request to one target and judges the head of its answer.
func (c *call) send(ctx context.Context, d admission.Decision) outcome {
	g := c.gate
	left := time.Until(c.deadline)
	if left < minTime {
		return outcome{result: admission.ResultWithdrawn, err: context.DeadlineExceeded}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	silence := c.limitSilence(cancel)
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
	silence.stop()
	if err != nil {
		defer cancel(nil)
		return c.sendFailed(ctx, err)
	}
	c.sent++
	c.sendCtx, c.cancel = ctx, cancel
	return c.judge(d, answer)
}

// limitSilence ends the send when the target stays silent, if another target
// may be tried.
func (c *call) limitSilence(cancel context.CancelCauseFunc) *watchdog {
	if c.route.Repetition == route.Once || c.sent+1 >= c.route.MaxTargets || c.route.Goal <= 0 {
		return nil
	}
	silence := max(minSilence, time.Duration(silenceGoals*float64(c.route.Goal)))
	return newWatchdog(silence, func() { cancel(errSilent) })
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
func (c *call) judge(d admission.Decision, a *upstream.Answer) outcome {
	v := c.gate.codec.Verdict(a.Status, a.Header)
	if !v.Misdirected {
		c.heed(d.Target, v)
	}
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

// heed notes what a target asks of the gate in its answer.
func (c *call) heed(in target.Instance, v Verdict) {
	g := c.gate
	now := g.config.Now()
	if v.Leaving && g.directory.Leave(in.ID, in.Born, now, true) {
		g.metrics.leaving.Inc()
		g.pool.Forget(in.Addr)
		g.config.Events.Event(logModule, "target leaves", eventlog.Text("request", c.meta.ID),
			eventlog.Text("target", in.ID), eventlog.Text("addr", in.Addr), eventlog.Text("told_by", "itself"))
	}
	if v.Pause > 0 {
		g.controller.BackOff(now, in, v.Pause)
		g.metrics.pauses.Inc()
		g.config.Events.Event(logModule, "target pauses", eventlog.Text("request", c.meta.ID),
			eventlog.Text("target", in.ID), eventlog.Millis("for_ms", v.Pause))
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
