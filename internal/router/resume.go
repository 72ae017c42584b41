package router

import (
	"context"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// recordProgress resets the failure counters after a valid message. Only messages that
// extend the answer (Head and Chunk) reset protocolErrors.
func (r *answerRelay) recordProgress(m wire.Message) {
	switch m.(type) {
	case *wire.Head, *wire.Chunk:
		r.protocolErrors = 0
		r.resumesWithoutProgress = 0
	case *wire.Accepted:
		r.resumesWithoutProgress = 0
	}
}

// handleProtocolError resumes the attempt after an invalid message. After more than
// MaxResumes such messages without progress, the attempt is abandoned.
func (r *answerRelay) handleProtocolError(ctx context.Context, cause string) *request.RefusedError {
	r.protocolErrors++
	if r.protocolErrors <= r.execution.router.cfg.Timing.MaxResumes {
		return r.resume(ctx, cause)
	}
	r.stream.abandon()
	r.execution.markFailed(r.stream.agent.ID)
	return &request.RefusedError{
		Reason:  request.ReasonAnswerInvalid,
		Outcome: request.OutcomeUnknown,
		Detail:  "agent " + r.stream.agent.ID + " sent what does not fit the answer",
	}
}

// handleProgressTimeout resumes an attempt whose agent has sent no heartbeat for
// ProgressTimeout. The first time, the connection is kept, since answers to other
// requests may still arrive on it. If nothing arrives on the new stream either, the
// connection is dropped.
func (r *answerRelay) handleProgressTimeout(ctx context.Context) *request.RefusedError {
	if r.resumesWithoutProgress > 0 {
		r.execution.router.dropper.drop(r.stream.agent.Addr, r.stream.openStarted)
	}
	return r.resume(ctx, "silent")
}

// resume replaces the stream of the running attempt by a new one that continues at the
// offset received. After MaxResumes resumptions without a message between them, the
// attempt is abandoned.
func (r *answerRelay) resume(ctx context.Context, cause string) *request.RefusedError {
	r.stream.abandon()
	if r.resumesWithoutProgress >= r.execution.router.cfg.Timing.MaxResumes {
		r.execution.markFailed(r.stream.agent.ID)
		return &request.RefusedError{
			Reason:  request.ReasonConnectionLost,
			Outcome: request.OutcomeUnknown,
			Detail:  "stream to agent " + r.stream.agent.ID + " was lost and not found again",
		}
	}
	if r.resumesWithoutProgress > 0 && !r.awaitResume(ctx) {
		return r.execution.contextRefusal(ctx, request.OutcomeUnknown)
	}
	r.resumesWithoutProgress++
	r.execution.router.metrics.resumes.WithLabelValues(cause).Inc()
	r.execution.router.log.Debug("resuming attempt", "request", r.execution.call.id, "attempt", r.stream.attempt, "cause", cause)
	r.stream = r.newResumeStream()
	r.execution.streams.start(ctx, r.stream)
	return nil
}

// newResumeStream returns a stream, not yet opened, that resumes the attempt.
func (r *answerRelay) newResumeStream() *agentStream {
	answer := r.execution.answer
	return &agentStream{
		attempt:      r.stream.attempt,
		agent:        r.stream.agent,
		link:         r.stream.link,
		isHome:       r.stream.isHome,
		round:        r.stream.round,
		firstMessage: &wire.Resume{Attempt: r.stream.attempt, Offset: answer.offset, Head: answer.head == nil},
	}
}

// awaitResume waits before another resumption and reports whether the context is still
// active.
func (r *answerRelay) awaitResume(ctx context.Context) bool {
	return clock.Sleep(ctx, r.execution.router.cfg.Timing.InitialRetryBackoff<<(r.resumesWithoutProgress-1))
}

// markFailed records that an attempt failed at the agent.
func (e *execution) markFailed(id string) {
	if e.failedAgents == nil {
		e.failedAgents = make(map[string]bool)
	}
	e.failedAgents[id] = true
}

// connectionDropper drops connections that have become unresponsive. A connection is
// dropped once, however many requests detect that.
type connectionDropper struct {
	opener      transport.Opener
	mu          sync.Mutex
	lastDropped map[string]time.Time // by address
}

func newConnectionDropper(opener transport.Opener) *connectionDropper {
	return &connectionDropper{opener: opener, lastDropped: make(map[string]time.Time)}
}

// drop drops the connection to addr, unless it was already dropped after streamOpened,
// when the unresponsive stream was opened.
func (d *connectionDropper) drop(addr string, streamOpened time.Time) {
	d.mu.Lock()
	alreadyDropped := d.lastDropped[addr].After(streamOpened)
	if !alreadyDropped {
		d.lastDropped[addr] = time.Now()
	}
	d.mu.Unlock()
	if !alreadyDropped {
		d.opener.Forget(addr)
	}
}
