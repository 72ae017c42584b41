package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// offerRound is one round of offers of a call. It ends with the first grant, or when
// every available agent has refused.
//
// The home agent gets the first offer. If it does not respond within HedgeDelay, or
// has no free slot, the round hedges: it offers the call to more agents in steps, so
// that the first slot that becomes free in any of them serves the call. A duplicate of
// a running request waits only at the home agent.
type offerRound struct {
	execution        *execution
	streams          map[string]*agentStream // by VM ID
	openOffers       int                     // streams that may still bring a grant
	home             *agentStream
	waitsAsDuplicate bool // the home agent is running an identical request
	hedgeSteps       int  // steps made so far
	spilloverOffers  int  // offers to failure domains in other regions not known to have free slots
	pending          *pendingRequest
	lastRefusal      *request.RefusedError // returned when no agent is left
	order            agentOrder
}

func newOfferRound(e *execution) *offerRound {
	return &offerRound{execution: e, streams: make(map[string]*agentStream)}
}

// awaitGrant returns the stream that received the first grant.
func (o *offerRound) awaitGrant(ctx context.Context) (*agentStream, *request.RefusedError) {
	pending, refused := o.execution.router.pending.add(o.execution.call.row, o.execution.call.pool)
	if refused != nil {
		return nil, refused
	}
	o.pending = pending
	defer pending.remove()
	o.offerToHome(ctx)
	timer := time.NewTimer(o.execution.router.cfg.Timing.HedgeDelay)
	defer timer.Stop()
	for {
		if o.openOffers == 0 && o.offerToMore(ctx) == 0 {
			return nil, o.noAgentLeft()
		}
		select {
		case <-ctx.Done():
			return nil, o.execution.contextRefusal(ctx, request.OutcomeNotRun)
		case <-timer.C:
			o.hedge(ctx)
			timer.Reset(o.hedgeDelay())
		case e := <-o.execution.streams.events:
			winner, refused := o.handleEvent(ctx, e)
			if refused != nil {
				return nil, refused
			}
			if winner != nil {
				pending.markGranted()
				o.withdrawUngranted(winner)
				return winner, nil
			}
		}
	}
}

// handleEvent processes one event. It returns the stream that received a grant, or the
// refusal that ends the round; both are nil if the round continues.
func (o *offerRound) handleEvent(ctx context.Context, e event) (*agentStream, *request.RefusedError) {
	if e.stream.round != o.execution.round || o.streams[e.stream.agent.ID] != e.stream || e.stream.settled {
		return nil, nil
	}
	if e.err != nil {
		o.handleLoss(e.stream, e.err)
		return nil, nil
	}
	if e.msg == nil {
		e.stream.isOpen = true
		return nil, nil
	}
	if attemptOf(e.msg) != e.stream.attempt {
		o.execution.router.metrics.attemptMismatches.Inc()
		o.handleLoss(e.stream, errProtocol)
		return nil, nil
	}
	switch m := e.msg.(type) {
	case *wire.Grant:
		o.execution.router.metrics.countOfferResult(e.stream, "granted")
		return e.stream, nil
	case *wire.Queued:
		return nil, o.handleQueued(ctx, e.stream, m)
	case *wire.Refuse:
		return nil, o.handleRefusal(e.stream, m)
	default:
		o.handleLoss(e.stream, errProtocol)
		return nil, nil
	}
}

// handleQueued records that an agent has queued the offer. If the home agent has
// queued it, the call is offered to more agents, unless it waits as a duplicate.
func (o *offerRound) handleQueued(ctx context.Context, stream *agentStream, m *wire.Queued) *request.RefusedError {
	if refused := o.pending.markQueued(); refused != nil {
		return refused
	}
	if !stream.isHome {
		return nil
	}
	o.waitsAsDuplicate = m.Duplicate
	if o.waitsAsDuplicate {
		o.execution.router.metrics.duplicates.Inc()
		o.cancelOthers(stream)
		return nil
	}
	o.offerToMore(ctx)
	return nil
}

// handleRefusal records an agent's refusal. A refusal for overload ends the round if
// no other offer is open; one that holds for every agent ends it at once.
func (o *offerRound) handleRefusal(stream *agentStream, m *wire.Refuse) *request.RefusedError {
	o.execution.router.metrics.countOfferResult(stream, "refused")
	o.execution.router.metrics.offerRefusals.WithLabelValues(string(m.Reason)).Inc()
	o.settle(stream)
	refused := refusalOf(m)
	if m.Final {
		return refused
	}
	if agentSpecificReasons[m.Reason] {
		o.lastRefusal = refused
		return nil
	}
	if overloadReasons[m.Reason] && o.openOffers > 0 {
		o.lastRefusal = refused
		return nil
	}
	return refused
}

// overloadReasons are the refusals that concern the load of the agent or of the
// workspace.
var overloadReasons = map[request.Reason]bool{
	request.ReasonQueueFull:   true,
	request.ReasonRateLimit:   true,
	request.ReasonConcurrency: true,
}

// handleLoss records that a stream failed before a grant. The attempt has not run,
// because the body never left the router.
func (o *offerRound) handleLoss(stream *agentStream, err error) {
	result := "lost"
	if errors.Is(err, transport.ErrUnreachable) {
		result = "unreachable"
	}
	o.execution.router.metrics.countOfferResult(stream, result)
	o.settle(stream)
	o.lastRefusal = &request.RefusedError{
		Reason:  request.ReasonConnectionLost,
		Outcome: request.OutcomeNotRun,
		Detail:  "agent " + stream.agent.ID + " was not reached",
	}
}

// settle closes a stream that cannot bring a grant any more.
func (o *offerRound) settle(stream *agentStream) {
	stream.abandon()
	stream.settled = true
	o.openOffers--
	if stream.isHome {
		o.waitsAsDuplicate = false
	}
}

// withdrawUngranted withdraws all offers but the winner's. The home agent receives a
// Withdraw, but its stream stays open: it counts the request as running until the
// stream ends.
func (o *offerRound) withdrawUngranted(winner *agentStream) {
	for _, stream := range o.streams {
		switch {
		case stream == winner:
		case stream.isHome:
			o.withdrawHome(stream)
		default:
			stream.cancel()
		}
	}
}

// cancelOthers withdraws all offers except that of stream.
func (o *offerRound) cancelOthers(stream *agentStream) {
	for id, other := range o.streams {
		if other == stream {
			continue
		}
		other.cancel()
		delete(o.streams, id)
	}
	o.openOffers = 1
}

// withdrawHome withdraws the home agent's offer if its stream is open.
func (o *offerRound) withdrawHome(stream *agentStream) {
	if stream.isOpen {
		stream.withdraw()
	}
}

// noAgentLeft returns the refusal of a round in which no agent is left to offer to.
func (o *offerRound) noAgentLeft() *request.RefusedError {
	if o.lastRefusal != nil {
		return o.lastRefusal
	}
	return newRefusal(request.ReasonNoTarget, "pool %q has no live target", o.execution.call.pool)
}

// refusalOf converts an agent's Refuse message.
func refusalOf(m *wire.Refuse) *request.RefusedError {
	return &request.RefusedError{
		Reason:     m.Reason,
		Outcome:    request.OutcomeNotRun,
		RetryAfter: m.RetryAfter,
		Detail:     m.Detail,
	}
}

// attemptOf returns the attempt that a message of an agent belongs to.
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
