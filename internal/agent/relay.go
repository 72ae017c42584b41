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

// relay is the sending of one answer on one stream.
type relay struct {
	at     *attempt
	stream transport.Stream
	inbox  *inbox
	reader uint64 // the stream's number at the output
}

// serveResume sends the rest of an answer on a new stream.
func (a *Agent) serveResume(ctx context.Context, m *wire.Resume, s transport.Stream) {
	at, fail := a.findResumed(m)
	if fail != nil {
		a.metrics.resumes.WithLabelValues(string(fail.Reason)).Inc()
		_ = s.Send(ctx, fail)
		return
	}
	reader, err := at.out.attach(m.Offset, m.Head)
	if err != nil {
		a.metrics.resumes.WithLabelValues("gap").Inc()
		_ = s.Send(ctx, &wire.Fail{Attempt: m.Attempt, Reason: request.ReasonUnknownAttempt, Detail: err.Error()})
		return
	}
	a.metrics.resumes.WithLabelValues("resumed").Inc()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.relay(ctx, &relay{at: at, stream: s, inbox: receive(ctx, s), reader: reader})
}

// findResumed returns the attempt that m asks for. A router that resumes has
// given up the old stream, so an attempt without Run is dropped: it is proven
// not to run.
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

// relay sends the answer until it is closed, the stream is lost, or a newer
// stream takes over.
func (a *Agent) relay(ctx context.Context, r *relay) {
	for {
		m, last, wait, err := r.at.out.next(r.reader)
		if err != nil {
			return
		}
		if m == nil {
			m, err = a.awaitOutput(ctx, r, wait)
			if err != nil {
				a.detach(r.at, r.reader)
				return
			}
		}
		if m == nil {
			continue
		}
		if err := r.stream.Send(ctx, m); err != nil {
			a.detach(r.at, r.reader)
			return
		}
		if last {
			a.linger(ctx, r)
			return
		}
	}
}

// awaitOutput waits for more of the answer. After a time without any it returns
// Accepted, so that the router can tell a slow target from a silent connection.
// The error says that the stream has ended.
func (a *Agent) awaitOutput(ctx context.Context, r *relay, wait <-chan struct{}) (wire.Message, error) {
	timer := time.NewTimer(a.cfg.Limits.Heartbeat)
	defer timer.Stop()
	select {
	case <-wait:
		return nil, nil
	case <-timer.C:
		return &wire.Accepted{Attempt: r.at.offer.Attempt}, nil
	case m, ok := <-r.inbox.messages:
		if !ok {
			return nil, r.inbox.err
		}
		if m.Type() == wire.TypeWithdraw {
			a.sched.withdraw(r.at)
		}
		return nil, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// linger waits until the router has closed its side: then it has the whole
// answer.
func (a *Agent) linger(ctx context.Context, r *relay) {
	_ = r.stream.CloseSend()
	ctx, cancel := context.WithTimeout(ctx, a.cfg.Limits.Linger)
	defer cancel()
	delivered := r.inbox.drain(ctx, func(wire.Message) {})
	a.detach(r.at, r.reader)
	if delivered {
		a.attempts.forget(r.at)
	}
}

// keepHome keeps the fingerprint of a home offer that does not run here until
// its router closes the stream, or the agent stops. When the stream is lost,
// what became of the request elsewhere is not known, and the fingerprint is
// kept until a suspect would be in the fleet's list.
func (a *Agent) keepHome(ctx context.Context, at *attempt, in *inbox) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(a.base, cancel)
	defer stop()
	closed := in.drain(ctx, func(m wire.Message) {
		switch m := m.(type) {
		case *wire.Withdraw:
			if m.Suspect {
				a.suspects.put(at.offer.Fingerprint, false)
			}
		case *wire.End: // the request has ended whole elsewhere
			a.holds.prove(at.offer.Fingerprint)
		}
	})
	if !closed {
		clock.Sleep(a.base, suspectRetry)
	}
}

// detach ends the reading of r. A repeatable request is cancelled unless
// another stream asks for its answer in time.
func (a *Agent) detach(at *attempt, reader uint64) {
	if !at.out.detach(reader) || !at.repeatable() {
		return
	}
	time.AfterFunc(a.cfg.Limits.Orphan, func() {
		if at.out.abandoned(reader) {
			a.metrics.orphans.Inc()
			at.cancel(errOrphaned)
		}
	})
}

// cancelReason returns the reason for which the agent itself cancelled at, or
// an empty reason.
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
