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

// inboxDepth is the number of messages that are read ahead on one stream.
const inboxDepth = 2

// inbox buffers the messages received on a stream.
type inbox struct {
	messages chan wire.Message // closed when the stream has ended
	err      error             // why the stream ended; set before messages is closed
}

// receive reads the messages of s in the background until s or ctx ends.
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

// drain passes messages to handle until the stream or ctx ends. It reports
// whether the peer closed its side of the stream in order.
func (in *inbox) drain(ctx context.Context, handle func(wire.Message)) bool {
	for {
		select {
		case m, ok := <-in.messages:
			if !ok {
				return errors.Is(in.err, io.EOF)
			}
			handle(m)
		case <-ctx.Done():
			return false
		}
	}
}

// offerHandler serves the stream of one offer.
type offerHandler struct {
	*Agent
	at     *attempt
	stream transport.Stream
	inbox  *inbox
	reader uint64 // number of the stream at the answer buffer; set when Run has arrived
}

// serveOffer serves an offer until its stream ends.
func (a *Agent) serveOffer(ctx context.Context, o *wire.Offer, s transport.Stream) {
	if refusal := a.checkOffer(o); refusal != nil {
		a.refuse(ctx, s, o, refusal)
		return
	}
	if o.Suspect {
		a.suspects.add(o.Fingerprint, false)
	}
	at := newAttempt(a.baseCtx, o, a.cfg.Limits.WindowBytes, time.Now())
	if !a.attempts.add(at) {
		a.refuse(ctx, s, o, &wire.Refuse{Reason: request.ReasonMalformed, Detail: "attempt is known"})
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	handler := &offerHandler{Agent: a, at: at, stream: s, inbox: receive(ctx, s)}
	defer handler.recordDropped()
	if !handler.lockFingerprint(ctx) {
		return
	}
	defer a.locks.release(o.Fingerprint)
	if handler.awaitGrant(ctx) && handler.awaitRun(ctx) {
		handler.relayAnswer(ctx)
		return
	}
	handler.recordDropped()
	if o.Home {
		a.keepHomeLock(ctx, at, handler.inbox)
	}
}

// recordDropped drops the attempt unless its Run has arrived, and records that
// it did not run.
func (h *offerHandler) recordDropped() {
	if h.sched.drop(h.at) {
		h.attempts.drop(h.at)
		h.at.cancel(errWithdrawn)
	}
}

// lockFingerprint acquires the lock of the offer's fingerprint, waiting while
// another request with the same fingerprint runs. It reports whether the lock
// was acquired.
func (h *offerHandler) lockFingerprint(ctx context.Context) bool {
	o := h.at.offer
	waiter := h.locks.acquire(o.Fingerprint, o.Request, o.Workspace)
	if waiter == nil {
		return true
	}
	h.metrics.duplicates.Inc()
	h.sched.block(h.at)
	if h.stream.Send(ctx, &wire.Queued{Attempt: o.Attempt, Duplicate: true}) == nil {
		if h.waitFor(ctx, waiter.ready) {
			return true
		}
	}
	h.locks.cancel(o.Fingerprint, waiter)
	return false
}

// awaitGrant queues the offer and reports whether it was granted.
func (h *offerHandler) awaitGrant(ctx context.Context) bool {
	at := h.at
	ahead, refusal, err := h.sched.enqueue(at, h.queueLimit(at))
	if err != nil {
		refusal = h.queueFullRefusal(at.offer)
	}
	if refusal != nil {
		h.refuse(ctx, h.stream, at.offer, refusal)
		return false
	}
	select {
	case <-at.granted:
		return true
	default:
	}
	queued := &wire.Queued{Attempt: at.offer.Attempt, Ahead: uint32(ahead)}
	if h.stream.Send(ctx, queued) != nil {
		return false
	}
	return h.waitFor(ctx, at.granted)
}

// waitFor waits until ready is closed and reports whether it was. Otherwise the
// offer is dropped and, unless its stream is lost, refused.
func (h *offerHandler) waitFor(ctx context.Context, ready <-chan struct{}) bool {
	timer := h.at.deadlineTimer()
	defer timer.Stop()
	select {
	case <-ready:
		return true
	case <-h.at.dropped:
		h.refuseDropped(ctx)
		return false
	case <-timer.C:
		h.dropAndRefuse(ctx, request.ReasonDeadline)
		return false
	case message, ok := <-h.inbox.messages:
		h.handleUnexpected(ctx, message, ok)
		return false
	case <-ctx.Done():
		return false
	}
}

// awaitRun sends the grant and reports whether Run arrived within the grant
// timeout.
func (h *offerHandler) awaitRun(ctx context.Context) bool {
	at, timeout := h.at, h.cfg.Limits.GrantTimeout
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	h.metrics.grants.WithLabelValues(at.offer.Class.String()).Inc()
	sendCtx, cancel := context.WithTimeout(ctx, timeout)
	err := h.stream.Send(sendCtx, &wire.Grant{Attempt: at.offer.Attempt, ReservedFor: timeout})
	cancel()
	if err != nil {
		return false
	}
	select {
	case <-at.dropped:
		h.refuseDropped(ctx)
		return false
	case <-timer.C:
		h.dropAndRefuse(ctx, request.ReasonGrantExpired)
		return false
	case m, ok := <-h.inbox.messages:
		run, isRun := m.(*wire.Run)
		if isRun && run.Attempt == at.offer.Attempt {
			return h.stage(ctx, run)
		}
		h.handleUnexpected(ctx, m, ok)
		return false
	case <-ctx.Done():
		return false
	}
}

// stage stores the request's body and starts the goroutine of the attempt,
// which outlives the stream.
func (h *offerHandler) stage(ctx context.Context, run *wire.Run) bool {
	at := h.at
	h.locks.acquire(at.offer.Fingerprint, at.offer.Request, at.offer.Workspace)
	if !h.sched.stage(at, run, h.fence.number()) {
		h.locks.release(at.offer.Fingerprint)
		h.refuseDropped(ctx)
		return false
	}
	h.reader = at.buffer.attachFirst() // before anything is written to the buffer
	h.background.Go(func() { h.run(at) })
	return true
}

// handleUnexpected ends an offer whose router withdrew it, closed its stream or
// sent a message that is not allowed here.
func (h *offerHandler) handleUnexpected(ctx context.Context, m wire.Message, ok bool) {
	if !ok {
		return
	}
	reason := request.ReasonMalformed
	if m.Type() == wire.TypeWithdraw {
		reason = request.ReasonWithdrawn
	}
	h.dropAndRefuse(ctx, reason)
}

// dropAndRefuse drops the offer and refuses it for reason.
func (h *offerHandler) dropAndRefuse(ctx context.Context, reason request.Reason) {
	if h.sched.drop(h.at) {
		h.refuse(ctx, h.stream, h.at.offer, &wire.Refuse{Reason: reason})
	}
}

// refuseDropped sends the refusal of an offer that the scheduler dropped. If a
// Resume on another stream dropped the offer, there is no refusal to send here.
func (h *offerHandler) refuseDropped(ctx context.Context) {
	if refusal := h.at.refusal; refusal != nil {
		h.refuse(ctx, h.stream, h.at.offer, refusal)
	}
}

// relayAnswer sends Accepted and then the answer.
func (h *offerHandler) relayAnswer(ctx context.Context) {
	id := h.at.offer.Attempt
	if h.stream.Send(ctx, &wire.Accepted{Attempt: id}) != nil {
		h.detach(h.at, h.reader)
		return
	}
	h.sendAnswer(ctx, &answerStream{at: h.at, stream: h.stream, inbox: h.inbox, reader: h.reader})
}
