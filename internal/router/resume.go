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

// progressed notes a message that fitted.
func (y *relay) progressed(m wire.Message) {
	switch m.(type) {
	case *wire.Head, *wire.Chunk:
		y.misfits = 0
		y.resumes = 0
	case *wire.Accepted:
		y.resumes = 0
	}
}

// misfit resumes after a message that did not fit. An agent that keeps sending
// such is given up.
func (y *relay) misfit(ctx context.Context, cause string) *request.RefusedError {
	y.misfits++
	if y.misfits <= y.x.r.cfg.Timing.MaxResumes {
		return y.resume(ctx, cause)
	}
	y.leg.abandon()
	y.x.markFailed(y.leg.agent.ID)
	return &request.RefusedError{
		Reason:  request.ReasonAnswerInvalid,
		Outcome: request.OutcomeUnknown,
		Detail:  "agent " + y.leg.agent.ID + " sent what does not fit the answer",
	}
}

// silent resumes an attempt whose agent has sent no heartbeat for long. At first
// the connection is kept, since other answers may well come on it. If the agent
// stays silent on a new stream, the connection is not trusted any more.
func (y *relay) silent(ctx context.Context) *request.RefusedError {
	if y.resumes > 0 {
		y.x.r.forget.forget(y.leg.agent.Addr, y.leg.opened)
	}
	return y.resume(ctx, "silent")
}

// resume replaces the stream of the running attempt by a new one that goes on
// at the offset received. It gives up after a bounded number of tries without
// a message between them.
func (y *relay) resume(ctx context.Context, cause string) *request.RefusedError {
	y.leg.abandon()
	if y.resumes >= y.x.r.cfg.Timing.MaxResumes {
		y.x.markFailed(y.leg.agent.ID)
		return &request.RefusedError{
			Reason:  request.ReasonConnectionLost,
			Outcome: request.OutcomeUnknown,
			Detail:  "stream to agent " + y.leg.agent.ID + " was lost and not found again",
		}
	}
	if y.resumes > 0 && !y.pause(ctx) {
		return y.x.ended(ctx, request.OutcomeUnknown)
	}
	y.resumes++
	y.x.r.metrics.resumes.WithLabelValues(cause).Inc()
	y.x.r.log.Debug("resuming attempt", "request", y.x.c.id, "attempt", y.leg.attempt, "cause", cause)
	y.leg = y.next()
	y.x.legs.start(ctx, y.leg)
	return nil
}

// next returns a leg that resumes the attempt.
func (y *relay) next() *leg {
	ans := y.x.ans
	return &leg{
		attempt: y.leg.attempt,
		agent:   y.leg.agent,
		link:    y.leg.link,
		home:    y.leg.home,
		round:   y.leg.round,
		first:   &wire.Resume{Attempt: y.leg.attempt, Offset: ans.offset, Head: ans.head == nil},
	}
}

// pause waits before another resumption and reports whether the call goes on.
func (y *relay) pause(ctx context.Context) bool {
	return clock.Sleep(ctx, y.x.r.cfg.Timing.RetryBackoff<<(y.resumes-1))
}

// markFailed notes that an attempt failed at the agent.
func (x *execution) markFailed(id string) {
	if x.failed == nil {
		x.failed = make(map[string]bool)
	}
	x.failed[id] = true
}

// forgetter drops connections that have gone silent. Each is dropped once,
// however many requests found it silent.
type forgetter struct {
	opener transport.Opener
	mu     sync.Mutex
	last   map[string]time.Time // by address
}

func newForgetter(opener transport.Opener) *forgetter {
	return &forgetter{opener: opener, last: make(map[string]time.Time)}
}

// forget drops the connection to addr on which a stream was opened at opened,
// unless that has been done since.
func (f *forgetter) forget(addr string, opened time.Time) {
	f.mu.Lock()
	done := f.last[addr].After(opened)
	if !done {
		f.last[addr] = time.Now()
	}
	f.mu.Unlock()
	if !done {
		f.opener.Forget(addr)
	}
}
