package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// answerStream sends one answer on one stream.
type answerStream struct {
	at     *attempt
	stream transport.Stream
	inbox  *inbox
	reader uint64 // number of the stream at the answer buffer
}

// serveResume sends the rest of an answer on a new stream.
func (a *Agent) serveResume(ctx context.Context, m *wire.Resume, s transport.Stream) {
	at, fail := a.findResumed(m)
	if fail != nil {
		a.metrics.resumes.WithLabelValues(string(fail.Reason)).Inc()
		_ = s.Send(ctx, fail)
		return
	}
	reader, err := at.buffer.attach(m.Offset, m.Head)
	if err != nil {
		a.metrics.resumes.WithLabelValues("gap").Inc()
		_ = s.Send(ctx, &wire.Fail{Attempt: m.Attempt, Reason: request.ReasonUnknownAttempt, Detail: err.Error()})
		return
	}
	a.metrics.resumes.WithLabelValues("resumed").Inc()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.sendAnswer(ctx, &answerStream{at: at, stream: s, inbox: receive(ctx, s), reader: reader})
}

// findResumed returns the attempt that m resumes. A router that resumes has
// abandoned the previous stream. An attempt whose Run has not arrived is
// therefore dropped, which guarantees that it does not run.
func (a *Agent) findResumed(m *wire.Resume) (*attempt, *wire.Fail) {
	at, dropped := a.attempts.find(m.Attempt)
	if at != nil && a.sched.drop(at) {
		dropped = true
	}
	switch {
	case dropped:
		return nil, &wire.Fail{
			Attempt: m.Attempt,
			Outcome: request.OutcomeNotRun,
			Reason:  request.ReasonConnectionLost,
		}
	case at == nil:
		return nil, &wire.Fail{
			Attempt: m.Attempt,
			Outcome: request.OutcomeUnknown,
			Reason:  request.ReasonUnknownAttempt,
		}
	default:
		return at, nil
	}
}

// sendAnswer sends the answer until it has ended, the stream is lost or a newer
// stream supersedes this one.
func (a *Agent) sendAnswer(ctx context.Context, answer *answerStream) {
	for {
		m, last, wait, err := answer.at.buffer.next(answer.reader)
		if err != nil {
			return
		}
		if m == nil {
			m, err = a.awaitOutput(ctx, answer, wait)
			if err != nil {
				a.detach(answer.at, answer.reader)
				return
			}
		}
		if m == nil {
			continue
		}
		if err := answer.stream.Send(ctx, m); err != nil {
			a.detach(answer.at, answer.reader)
			return
		}
		if last {
			a.awaitPeerClose(ctx, answer)
			return
		}
	}
}

// awaitOutput waits until there is more of the answer. After the heartbeat
// interval it returns Accepted, so that the router can tell a slow target from
// an unresponsive connection. An error means that the stream has ended.
func (a *Agent) awaitOutput(ctx context.Context, answer *answerStream, wait <-chan struct{}) (wire.Message, error) {
	timer := time.NewTimer(a.cfg.Limits.HeartbeatInterval)
	defer timer.Stop()
	select {
	case <-wait:
		return nil, nil
	case <-timer.C:
		return &wire.Accepted{Attempt: answer.at.offer.Attempt}, nil
	case m, ok := <-answer.inbox.messages:
		if !ok {
			return nil, answer.inbox.err
		}
		if m.Type() == wire.TypeWithdraw {
			a.sched.withdraw(answer.at)
		}
		return nil, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// awaitPeerClose waits until the router closes its side of the stream, which it
// does once it has the complete answer.
func (a *Agent) awaitPeerClose(ctx context.Context, answer *answerStream) {
	_ = answer.stream.CloseSend()
	ctx, cancel := context.WithTimeout(ctx, a.cfg.Limits.CloseTimeout)
	defer cancel()
	delivered := answer.inbox.drain(ctx, func(wire.Message) {})
	a.detach(answer.at, answer.reader)
	if delivered {
		a.attempts.forget(answer.at)
	}
}

// keepHomeLock holds the fingerprint lock of a home offer that does not run
// here, until its router closes the stream or the agent stops. If the stream is
// lost, it is unknown how the request ended at another agent. The lock is then
// held until a suspect would be in the fleet's list.
func (a *Agent) keepHomeLock(ctx context.Context, at *attempt, in *inbox) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(a.baseCtx, cancel)
	defer stop()
	closed := in.drain(ctx, func(m wire.Message) {
		switch m := m.(type) {
		case *wire.Withdraw:
			if m.Suspect {
				a.suspects.add(at.offer.Fingerprint, false)
			}
		case *wire.End: // the request has completed at another agent
			a.locks.markCompleted(at.offer.Fingerprint)
		}
	})
	if !closed {
		clock.Sleep(a.baseCtx, suspectPropagationDelay)
	}
}

// detach detaches stream number reader from the answer of at. A repeatable
// attempt is cancelled if no other stream resumes the answer within the orphan
// timeout.
func (a *Agent) detach(at *attempt, reader uint64) {
	if !at.buffer.detach(reader) || !at.repeatable() {
		return
	}
	time.AfterFunc(a.cfg.Limits.OrphanTimeout, func() {
		if at.buffer.abandoned(reader) {
			a.metrics.orphans.Inc()
			at.cancel(errOrphaned)
		}
	})
}

// cancelReason returns why the agent itself cancelled at, or an empty reason.
func cancelReason(at *attempt) request.Reason {
	cause := context.Cause(at.ctx)
	switch {
	case errors.Is(cause, errWithdrawn):
		return request.ReasonWithdrawn
	case errors.Is(cause, errDeadline):
		return request.ReasonDeadline
	case errors.Is(cause, errOrphaned):
		return request.ReasonConnectionLost
	default:
		return ""
	}
}
