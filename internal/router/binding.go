package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// binding is one round of offers of a call: it ends with the first grant, or
// when no agent is left that might give one.
//
// The home agent is asked first. When its answer is not quick, or it has no
// free slot, further agents are asked step by step, so that a slot that comes
// free anywhere finds the request. A duplicate of a running request waits at
// the home agent alone.
type binding struct {
	x         *execution
	asked     map[string]*leg // by VM ID
	open      int             // legs that may still grant
	home      *leg
	duplicate bool
	steps     int
	spilled   int // offers to other regions without known free slots
	ticket    *ticket
	last      *request.RefusedError
	order     agentOrder
}

func newBinding(x *execution) *binding {
	return &binding{x: x, asked: make(map[string]*leg)}
}

// bind returns the leg that got the first grant.
func (b *binding) bind(ctx context.Context) (*leg, *request.RefusedError) {
	ticket, refused := b.x.r.waiting.enter(b.x.c.row, b.x.c.pool)
	if refused != nil {
		return nil, refused
	}
	b.ticket = ticket
	defer ticket.leave()
	b.askHome(ctx)
	timer := time.NewTimer(b.x.r.cfg.Timing.HomePatience)
	defer timer.Stop()
	for {
		if b.open == 0 && b.widen(ctx) == 0 {
			return nil, b.exhausted()
		}
		select {
		case <-ctx.Done():
			return nil, b.x.ended(ctx, request.OutcomeNotRun)
		case <-timer.C:
			b.step(ctx)
			timer.Reset(b.pause())
		case e := <-b.x.legs.events:
			winner, refused := b.handle(ctx, e)
			if refused != nil {
				return nil, refused
			}
			if winner != nil {
				ticket.granted()
				b.dismiss(winner)
				return winner, nil
			}
		}
	}
}

// handle takes one event and returns the winner or the refusal that ends the
// round.
func (b *binding) handle(ctx context.Context, e event) (*leg, *request.RefusedError) {
	if e.leg.round != b.x.round || b.asked[e.leg.agent.ID] != e.leg || e.leg.closed {
		return nil, nil
	}
	if e.err != nil {
		b.lost(e.leg, e.err)
		return nil, nil
	}
	if e.msg == nil {
		e.leg.isOpen = true
		return nil, nil
	}
	if attemptOf(e.msg) != e.leg.attempt {
		b.x.r.metrics.crossed.Inc()
		b.lost(e.leg, errBroken)
		return nil, nil
	}
	switch m := e.msg.(type) {
	case *wire.Grant:
		b.x.r.metrics.offer(e.leg, "granted")
		return e.leg, nil
	case *wire.Queued:
		return nil, b.queued(ctx, e.leg, m)
	case *wire.Refuse:
		return nil, b.refused(e.leg, m)
	default:
		b.lost(e.leg, errBroken)
		return nil, nil
	}
}

// queued notes that an offer waits at its agent.
func (b *binding) queued(ctx context.Context, l *leg, m *wire.Queued) *request.RefusedError {
	if refused := b.ticket.queued(); refused != nil {
		return refused
	}
	if !l.home {
		return nil
	}
	b.duplicate = m.Duplicate
	if b.duplicate {
		b.x.r.metrics.duplicates.Inc()
		b.dismissOthers(l)
		return nil
	}
	b.widen(ctx)
	return nil
}

// refused notes an agent's refusal. Those of an overload, and those that hold
// for every agent, end the round.
func (b *binding) refused(l *leg, m *wire.Refuse) *request.RefusedError {
	b.x.r.metrics.offer(l, "refused")
	b.x.r.metrics.offerRefusals.WithLabelValues(string(m.Reason)).Inc()
	b.close(l)
	refused := refusalOf(m)
	if m.Final {
		return refused
	}
	if elsewhere[m.Reason] {
		b.last = refused
		return nil
	}
	if overload[m.Reason] && b.open > 0 {
		b.last = refused
		return nil
	}
	return refused
}

// overload holds the reasons that speak of the load of the agent or workspace.
var overload = map[request.Reason]bool{
	request.ReasonQueueFull:   true,
	request.ReasonRateLimit:   true,
	request.ReasonConcurrency: true,
}

// lost notes that a leg ended before its grant was answered: its attempt has
// not run, since its body never left the router.
func (b *binding) lost(l *leg, err error) {
	result := "lost"
	if errors.Is(err, transport.ErrUnreachable) {
		result = "unreachable"
	}
	b.x.r.metrics.offer(l, result)
	b.close(l)
	b.last = &request.RefusedError{
		Reason:  request.ReasonConnectionLost,
		Outcome: request.OutcomeNotRun,
		Detail:  "agent " + l.agent.ID + " was not reached",
	}
}

// close counts l out.
func (b *binding) close(l *leg) {
	l.abandon()
	l.closed = true
	b.open--
	if l.home {
		b.duplicate = false
	}
}

// dismiss withdraws the offers that were not granted. The home agent is told,
// but its stream stays open: it counts the request as running until the stream
// ends.
func (b *binding) dismiss(winner *leg) {
	for _, l := range b.asked {
		switch {
		case l == winner:
		case l.home:
			b.withdrawHome(l)
		default:
			l.cancel()
		}
	}
}

// dismissOthers withdraws all offers but l.
func (b *binding) dismissOthers(l *leg) {
	for id, other := range b.asked {
		if other == l {
			continue
		}
		other.cancel()
		delete(b.asked, id)
	}
	b.open = 1
}

// withdrawHome takes the offer to the home agent back, as soon as its stream is
// open.
func (b *binding) withdrawHome(l *leg) {
	if l.isOpen {
		l.withdraw()
	}
}

// exhausted returns the refusal of a round in which no agent is left to ask.
func (b *binding) exhausted() *request.RefusedError {
	if b.last != nil {
		return b.last
	}
	return refuse(request.ReasonNoTarget, "pool %q has no live target", b.x.c.pool)
}

// refusalOf translates an agent's refusal.
func refusalOf(m *wire.Refuse) *request.RefusedError {
	return &request.RefusedError{
		Reason:     m.Reason,
		Outcome:    request.OutcomeNotRun,
		RetryAfter: m.RetryAfter,
		Detail:     m.Detail,
	}
}

// attemptOf returns the attempt that an agent's message belongs to.
func attemptOf(m wire.Message) request.AttemptID {
	switch m := m.(type) {
	case *wire.Grant:
		return m.Attempt
	case *wire.Refuse:
		return m.Attempt
	case *wire.Head:
		return m.Attempt
	case *wire.Chunk:
		return m.Attempt
	case *wire.End:
		return m.Attempt
	case *wire.Fail:
		return m.Attempt
	case *wire.Accepted:
		return m.Attempt
	case *wire.Queued:
		return m.Attempt
	default:
		return ""
	}
}
