package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// answerRelay sends a call to the agent that granted it and relays the answer. A stream
// that is lost, sends no data or violates the protocol is replaced by a new stream, on which the same attempt is resumed at the offset received.
type answerRelay struct {
	execution              *execution
	offers                 *offerRound
	stream                 *agentStream
	resumesWithoutProgress int  // resumptions since the last valid message
	protocolErrors         int  // invalid messages since the answer last grew
	complete               bool // the complete answer has been relayed
	targetCrashed          bool // the target crashed while the attempt ran
}

func newAnswerRelay(e *execution, offers *offerRound, stream *agentStream) *answerRelay {
	return &answerRelay{execution: e, offers: offers, stream: stream}
}

// run returns nil once the complete answer has been written to the caller.
func (r *answerRelay) run(ctx context.Context) *request.RefusedError {
	if refused := r.sendRun(ctx); refused != nil {
		return refused
	}
	progressTimer := time.NewTimer(r.execution.router.cfg.Timing.ProgressTimeout)
	defer progressTimer.Stop()
	for {
		var done bool
		var refused *request.RefusedError
		select {
		case <-ctx.Done():
			return r.execution.contextRefusal(ctx, request.OutcomeUnknown)
		case <-progressTimer.C:
			refused = r.handleProgressTimeout(ctx)
		case e := <-r.execution.streams.events:
			done, refused = r.handleEvent(ctx, e)
		}
		if done || refused != nil {
			return refused
		}
		progressTimer.Reset(r.execution.router.cfg.Timing.ProgressTimeout)
	}
}

// sendRun sends the request, with its body, to the agent.
func (r *answerRelay) sendRun(ctx context.Context) *request.RefusedError {
	m := r.execution.call.runMessage
	m.Attempt = r.stream.attempt
	sendCtx, cancel := context.WithTimeout(ctx, r.execution.router.cfg.Timing.ProgressTimeout)
	defer cancel()
	err := r.stream.send(sendCtx, &m)
	if err == nil {
		r.execution.router.metrics.countSentBytes(r.stream, len(m.Body))
		return nil
	}
	if ctx.Err() != nil {
		return r.execution.contextRefusal(ctx, request.OutcomeUnknown)
	}
	if errors.Is(err, wire.ErrFrameTooLarge) {
		return newRefusal(request.ReasonTooLarge, "request does not fit into a frame")
	}
	return r.resume(ctx, "lost")
}

// handleEvent processes an event of any of the call's streams.
func (r *answerRelay) handleEvent(ctx context.Context, e event) (done bool, refused *request.RefusedError) {
	if e.stream != r.stream {
		r.handleHomeEvent(e)
		return false, nil
	}
	if e.err != nil {
		return false, r.resume(ctx, "lost")
	}
	if e.msg == nil {
		return false, nil
	}
	if attemptOf(e.msg) != r.stream.attempt {
		r.execution.router.metrics.attemptMismatches.Inc()
		return false, r.handleProtocolError(ctx, "crossed")
	}
	done, refused, err := r.handleMessage(e.msg)
	switch {
	case err == nil:
		r.recordProgress(e.msg)
		return done, refused
	case errors.Is(err, errCallerGone):
		return false, &request.RefusedError{Reason: request.ReasonCallerGone, Outcome: request.OutcomeUnknown}
	default:
		r.execution.router.log.Warn("agent sent an invalid message", "request", r.execution.call.id, "agent", r.stream.agent.ID, "error", err)
		return false, r.handleProtocolError(ctx, "invalid")
	}
}

// handleHomeEvent withdraws the offer to the home agent when its stream opens only
// after another agent granted the call. Later events of that stream, which stays open
// while the call runs at the other agent, are ignored.
func (r *answerRelay) handleHomeEvent(e event) {
	if e.stream != r.offers.home || e.msg != nil || e.err != nil {
		return
	}
	e.stream.isOpen = true
	r.offers.withdrawHome(e.stream)
}

// handleMessage processes a message of the running attempt.
func (r *answerRelay) handleMessage(m wire.Message) (done bool, refused *request.RefusedError, err error) {
	answer := r.execution.answer
	switch m := m.(type) {
	case *wire.Accepted, *wire.Grant, *wire.Queued:
		return false, nil, nil
	case *wire.Head:
		return false, nil, answer.setHead(m)
	case *wire.Chunk:
		r.execution.router.metrics.countReceivedBytes(r.stream, len(m.Data))
		err := answer.writeChunk(m, len(r.execution.streams.events) == 0)
		r.execution.releaseBody()
		return false, nil, err
	case *wire.End:
		err := answer.finish(m)
		r.complete = err == nil
		return r.complete, nil, err
	case *wire.Refuse:
		return false, r.attemptFailed(refusalOf(m), false), nil
	case *wire.Fail:
		return false, r.attemptFailed(failureOf(m), m.Suspect), nil
	default:
		return false, nil, errors.Wrapf(errProtocol, "message of type %d", m.Type())
	}
}

// attemptFailed records that the attempt ended without a complete answer. An attempt
// whose answer has begun did run, whatever outcome the agent reports.
func (r *answerRelay) attemptFailed(refused *request.RefusedError, suspect bool) *request.RefusedError {
	if r.execution.answer.head != nil || refused.Outcome == request.OutcomeCompleted {
		refused.Outcome = request.OutcomeUnknown
	}
	r.targetCrashed = suspect
	r.execution.suspect = r.execution.suspect || suspect
	r.execution.markFailed(r.stream.agent.ID)
	return refused
}

// noticeToHome returns the final message to the home agent about an attempt that ran
// at another agent: that it ended with a complete answer, or that its target crashed.
// It returns nil in all other cases.
func (r *answerRelay) noticeToHome(homeAttempt request.AttemptID) *wire.Message {
	var m wire.Message
	switch {
	case r.complete:
		m = &wire.End{Attempt: homeAttempt, Total: r.execution.answer.offset}
	case r.targetCrashed:
		m = &wire.Withdraw{Attempt: homeAttempt, Suspect: true}
	default:
		return nil
	}
	return &m
}

// failureOf converts an agent's Fail message.
func failureOf(m *wire.Fail) *request.RefusedError {
	return &request.RefusedError{
		Reason:     m.Reason,
		Outcome:    m.Outcome,
		RetryAfter: m.RetryAfter,
		Detail:     m.Detail,
	}
}
