package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// relay hands a call over to the agent that granted it and relays the answer.
// A stream that is lost, silent or speaks of something else is replaced by a
// new one on which the same attempt is resumed at the offset received.
type relay struct {
	x       *execution
	binding *binding
	leg     *leg
	resumes int // since the last message that fitted
	misfits int // messages that did not fit since the answer last grew
	whole   bool
	crashed bool // the target crashed while the attempt ran
}

func newRelay(x *execution, b *binding, winner *leg) *relay {
	return &relay{x: x, binding: b, leg: winner}
}

// run returns nil once the whole answer has gone to the caller.
func (y *relay) run(ctx context.Context) *request.RefusedError {
	if refused := y.handOver(ctx); refused != nil {
		return refused
	}
	progress := time.NewTimer(y.x.r.cfg.Timing.Progress)
	defer progress.Stop()
	for {
		var done bool
		var refused *request.RefusedError
		select {
		case <-ctx.Done():
			return y.x.ended(ctx, request.OutcomeUnknown)
		case <-progress.C:
			refused = y.silent(ctx)
		case e := <-y.x.legs.events:
			done, refused = y.handle(ctx, e)
		}
		if done || refused != nil {
			return refused
		}
		progress.Reset(y.x.r.cfg.Timing.Progress)
	}
}

// handOver sends the request to the agent.
func (y *relay) handOver(ctx context.Context) *request.RefusedError {
	m := y.x.c.run
	m.Attempt = y.leg.attempt
	sendCtx, cancel := context.WithTimeout(ctx, y.x.r.cfg.Timing.Progress)
	defer cancel()
	err := y.leg.send(sendCtx, &m)
	if err == nil {
		y.x.r.metrics.sent(y.leg, len(m.Body))
		return nil
	}
	if ctx.Err() != nil {
		return y.x.ended(ctx, request.OutcomeUnknown)
	}
	if errors.Is(err, wire.ErrFrameTooLarge) {
		return refuse(request.ReasonTooLarge, "request does not fit into a frame")
	}
	return y.resume(ctx, "lost")
}

// handle takes one event of any of the call's streams.
func (y *relay) handle(ctx context.Context, e event) (done bool, refused *request.RefusedError) {
	if e.leg != y.leg {
		y.handleOther(e)
		return false, nil
	}
	if e.err != nil {
		return false, y.resume(ctx, "lost")
	}
	if e.msg == nil {
		return false, nil
	}
	if attemptOf(e.msg) != y.leg.attempt {
		y.x.r.metrics.crossed.Inc()
		return false, y.misfit(ctx, "crossed")
	}
	done, refused, err := y.accept(e.msg)
	switch {
	case err == nil:
		y.progressed(e.msg)
		return done, refused
	case errors.Is(err, errCallerGone):
		return false, &request.RefusedError{Reason: request.ReasonCallerGone, Outcome: request.OutcomeUnknown}
	default:
		y.x.r.log.Warn("answer does not fit", "request", y.x.c.id, "agent", y.leg.agent.ID, "error", err)
		return false, y.misfit(ctx, "invalid")
	}
}

// handleOther takes an event of the home agent's stream, which stays open while
// the call runs elsewhere.
func (y *relay) handleOther(e event) {
	if e.leg != y.binding.home || e.msg != nil || e.err != nil {
		return
	}
	e.leg.isOpen = true
	y.binding.withdrawHome(e.leg)
}

// accept takes a message of the running attempt.
func (y *relay) accept(m wire.Message) (done bool, refused *request.RefusedError, err error) {
	ans := y.x.ans
	switch m := m.(type) {
	case *wire.Accepted, *wire.Grant, *wire.Queued:
		return false, nil, nil
	case *wire.Head:
		return false, nil, ans.begin(m)
	case *wire.Chunk:
		y.x.r.metrics.received(y.leg, len(m.Data))
		err := ans.add(m, len(y.x.legs.events) == 0)
		y.x.dropBody()
		return false, nil, err
	case *wire.End:
		err := ans.end(m)
		y.whole = err == nil
		return y.whole, nil, err
	case *wire.Refuse:
		return false, y.failed(refusalOf(m), false), nil
	case *wire.Fail:
		return false, y.failed(failureOf(m), m.Suspect), nil
	default:
		return false, nil, errors.Wrapf(errBroken, "message of type %d", m.Type())
	}
}

// failed notes the end of the attempt without a whole answer. An attempt whose
// answer has begun did run, whatever the agent says.
func (y *relay) failed(refused *request.RefusedError, suspect bool) *request.RefusedError {
	if y.x.ans.head != nil || refused.Outcome == request.OutcomeCompleted {
		refused.Outcome = request.OutcomeUnknown
	}
	y.crashed = suspect
	y.x.suspect = y.x.suspect || suspect
	y.x.markFailed(y.leg.agent.ID)
	return refused
}

// parting returns what the home agent has to know of an attempt that ran
// elsewhere: that it ended with a whole answer, or that it ran at a crash.
func (y *relay) parting(home request.AttemptID) *wire.Message {
	var m wire.Message
	switch {
	case y.whole:
		m = &wire.End{Attempt: home, Total: y.x.ans.offset}
	case y.crashed:
		m = &wire.Withdraw{Attempt: home, Suspect: true}
	default:
		return nil
	}
	return &m
}

// failureOf translates an agent's Fail.
func failureOf(m *wire.Fail) *request.RefusedError {
	return &request.RefusedError{
		Reason:     m.Reason,
		Outcome:    m.Outcome,
		RetryAfter: m.RetryAfter,
		Detail:     m.Detail,
	}
}
