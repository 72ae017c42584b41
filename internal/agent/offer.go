package agent

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// inboxDepth is the number of a router's messages read ahead of one stream.
const inboxDepth = 2

// inbox holds the messages received on a stream.
type inbox struct {
	messages chan wire.Message // closed when the stream has ended
	err      error             // why it ended; set before messages is closed
}

// receive reads the messages of s until it ends.
func receive(ctx context.Context, s transport.Stream) *inbox {
	in := &inbox{messages: make(chan wire.Message, inboxDepth)}
	go func() {
		defer close(in.messages)
		for {
			m, err := s.Recv(ctx)
			if err != nil {
				in.err = err
				return
			}
			select {
			case in.messages <- m:
			case <-ctx.Done():
				in.err = ctx.Err()
				return
			}
		}
	}()
	return in
}

// drain waits until the stream ends, or ctx, and reports whether the peer
// closed its side in order. see gets each message.
func (in *inbox) drain(ctx context.Context, see func(wire.Message)) bool {
	for {
		select {
		case m, ok := <-in.messages:
			if !ok {
				return errors.Is(in.err, io.EOF)
			}
			see(m)
		case <-ctx.Done():
			return false
		}
	}
}

// offering is the service of one offer's stream.
type offering struct {
	*Agent
	at     *attempt
	stream transport.Stream
	inbox  *inbox
	reader uint64 // the stream's number at the output, once Run has come
}

// serveOffer serves an offer until its stream ends.
func (a *Agent) serveOffer(ctx context.Context, o *wire.Offer, s transport.Stream) {
	if refusal := a.check(o); refusal != nil {
		a.refuse(ctx, s, o, refusal)
		return
	}
	if o.Suspect {
		a.suspects.put(o.Fingerprint, false)
	}
	at := newAttempt(a.base, o, a.cfg.Limits.WindowBytes, time.Now())
	if !a.attempts.add(at) {
		a.refuse(ctx, s, o, &wire.Refuse{Reason: request.ReasonMalformed, Detail: "attempt is known"})
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	of := &offering{Agent: a, at: at, stream: s, inbox: receive(ctx, s)}
	defer of.end()
	if !of.acquire(ctx) {
		return
	}
	defer a.holds.release(o.Fingerprint)
	if of.await(ctx) && of.awaitRun(ctx) {
		of.accepted(ctx)
		return
	}
	of.end()
	if o.Home {
		a.keepHome(ctx, at, of.inbox)
	}
}

// end notes an offer that did not come to run.
func (of *offering) end() {
	if of.sched.drop(of.at) {
		of.attempts.drop(of.at)
		of.at.cancel(errWithdrawn)
	}
}

// acquire holds the offer's fingerprint, waiting while another request with it
// runs. It reports whether it is held.
func (of *offering) acquire(ctx context.Context) bool {
	o := of.at.offer
	ticket := of.holds.acquire(o.Fingerprint, o.Request, o.Workspace)
	if ticket == nil {
		return true
	}
	of.metrics.duplicate.Inc()
	of.sched.park(of.at)
	if of.stream.Send(ctx, &wire.Queued{Attempt: o.Attempt, Duplicate: true}) == nil {
		if of.wait(ctx, ticket.ready) {
			return true
		}
	}
	of.holds.cancel(o.Fingerprint, ticket)
	return false
}

// await queues the offer and reports whether it was granted.
func (of *offering) await(ctx context.Context) bool {
	at := of.at
	ahead, refusal, err := of.sched.admit(at, of.queueLimit(at))
	if err != nil {
		refusal = of.queueFull(at.offer)
	}
	if refusal != nil {
		of.refuse(ctx, of.stream, at.offer, refusal)
		return false
	}
	select {
	case <-at.granted:
		return true
	default:
	}
	queued := &wire.Queued{Attempt: at.offer.Attempt, Ahead: uint32(ahead)}
	if of.stream.Send(ctx, queued) != nil {
		return false
	}
	return of.wait(ctx, at.granted)
}

// wait waits for ready and reports whether it came. Otherwise the offer is
// dropped and, unless its stream is lost, refused.
func (of *offering) wait(ctx context.Context, ready <-chan struct{}) bool {
	timer := of.at.deadlineTimer()
	defer timer.Stop()
	select {
	case <-ready:
		return true
	case <-of.at.gone:
		of.refuseGone(ctx)
		return false
	case <-timer.C:
		of.drop(ctx, request.ReasonDeadline)
		return false
	case m, ok := <-of.inbox.messages:
		of.unexpected(ctx, m, ok)
		return false
	case <-ctx.Done():
		return false
	}
}

// awaitRun grants the offer and reports whether its Run came in time.
func (of *offering) awaitRun(ctx context.Context) bool {
	at, hold := of.at, of.cfg.Limits.Hold
	timer := time.NewTimer(hold)
	defer timer.Stop()
	of.metrics.grants.WithLabelValues(at.offer.Class.String()).Inc()
	sendCtx, cancel := context.WithTimeout(ctx, hold)
	err := of.stream.Send(sendCtx, &wire.Grant{Attempt: at.offer.Attempt, Hold: hold})
	cancel()
	if err != nil {
		return false
	}
	select {
	case <-at.gone:
		of.refuseGone(ctx)
		return false
	case <-timer.C:
		of.drop(ctx, request.ReasonGrantExpired)
		return false
	case m, ok := <-of.inbox.messages:
		run, isRun := m.(*wire.Run)
		if isRun && run.Attempt == at.offer.Attempt {
			return of.stage(ctx, run)
		}
		of.unexpected(ctx, m, ok)
		return false
	case <-ctx.Done():
		return false
	}
}

// stage takes the request's body and starts the attempt's own goroutine, which
// outlives the stream.
func (of *offering) stage(ctx context.Context, run *wire.Run) bool {
	at := of.at
	of.holds.acquire(at.offer.Fingerprint, at.offer.Request, at.offer.Workspace)
	if !of.sched.stage(at, run, of.fence.number()) {
		of.holds.release(at.offer.Fingerprint)
		of.refuseGone(ctx)
		return false
	}
	of.reader = at.out.attachFirst() // before anything is written
	of.background.Go(func() { of.run(at) })
	return true
}

// unexpected ends an offer whose router withdrew it, closed its stream or sent
// what does not belong here.
func (of *offering) unexpected(ctx context.Context, m wire.Message, ok bool) {
	if !ok {
		return
	}
	reason := request.ReasonMalformed
	if m.Type() == wire.TypeWithdraw {
		reason = request.ReasonWithdrawn
	}
	of.drop(ctx, reason)
}

// drop takes the offer back and refuses it.
func (of *offering) drop(ctx context.Context, reason request.Reason) {
	if of.sched.drop(of.at) {
		of.refuse(ctx, of.stream, of.at.offer, &wire.Refuse{Reason: reason})
	}
}

// refuseGone sends the refusal of an offer that the scheduler handed back. An
// offer that another stream asked for with Resume gets none here.
func (of *offering) refuseGone(ctx context.Context) {
	if refusal := of.at.refusal; refusal != nil {
		of.refuse(ctx, of.stream, of.at.offer, refusal)
	}
}

// accepted relays the answer.
func (of *offering) accepted(ctx context.Context) {
	id := of.at.offer.Attempt
	if of.stream.Send(ctx, &wire.Accepted{Attempt: id}) != nil {
		of.detach(of.at, of.reader)
		return
	}
	of.relay(ctx, &relay{at: of.at, stream: of.stream, inbox: of.inbox, reader: of.reader})
}
