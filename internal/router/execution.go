package router

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/request"
)

// eventBufferSize is the capacity of the channel on which all streams of a request
// deliver events; a stream blocks while it is full.
const eventBufferSize = 16

// execution runs one call as a sequence of rounds. Each round offers the call to
// agents and ends with a complete answer or a refusal.
type execution struct {
	router       *Router
	call         *call
	answer       *answerWriter
	streams      *agentStreams
	retryBackoff *backoff.ExponentialBackOff
	startedAt    time.Time
	round        int
	suspect      bool            // an attempt was running when its target crashed
	mayHaveRun   bool            // an attempt may have run
	failedAgents map[string]bool // by VM ID: an attempt failed at the agent
}

func newExecution(router *Router, c *call, answer *answerWriter) *execution {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = router.cfg.Timing.InitialRetryBackoff
	retryBackoff.MaxInterval = router.cfg.Timing.MaxRetryBackoff
	return &execution{
		router:       router,
		call:         c,
		answer:       answer,
		retryBackoff: retryBackoff,
		startedAt:    time.Now(),
		streams: &agentStreams{
			opener:      router.cfg.Opener,
			openTimeout: router.cfg.Timing.OpenTimeout,
			events:      make(chan event, eventBufferSize),
		},
	}
}

// run executes the call and returns nil once its complete answer has been relayed.
func (e *execution) run(ctx context.Context) *request.RefusedError {
	e.router.retryBudget.earn(e.call.row.ID)
	for {
		refused := e.runRound(ctx)
		if refused == nil {
			return nil
		}
		e.mayHaveRun = e.mayHaveRun || refused.Outcome != request.OutcomeNotRun
		if refused := e.awaitRetry(ctx, refused); refused != nil {
			return e.finalRefusal(refused)
		}
	}
}

// runRound offers the call to agents and relays the answer of the agent that granted
// it.
func (e *execution) runRound(ctx context.Context) *request.RefusedError {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.round++
	e.answer.reset()
	offers := newOfferRound(e)
	winner, refused := offers.awaitGrant(ctx)
	if refused != nil {
		return refused
	}
	relay := newAnswerRelay(e, offers, winner)
	refused = relay.run(ctx)
	if offers.home != nil && offers.home != winner {
		offers.home.finalMessage.Store(relay.noticeToHome(offers.home.attempt))
	}
	return refused
}

// releaseBody frees the request body once the answer is committed: no retry can
// follow, and a long answer must not hold the memory.
func (e *execution) releaseBody() {
	if e.answer.committed && e.call.runMessage.Body != nil {
		e.call.runMessage.Body = nil
		e.call.bodyReservation.release()
	}
}

// awaitRetry waits before the next round, or returns the refusal that ends the call.
func (e *execution) awaitRetry(ctx context.Context, refused *request.RefusedError) *request.RefusedError {
	if !e.mayRetry(ctx, refused) {
		return refused
	}
	delay := max(min(e.retryBackoff.NextBackOff(), e.router.cfg.Timing.MaxRetryBackoff), refused.RetryAfter)
	if delay > e.router.cfg.Timing.MaxRetryBackoff || time.Now().Add(delay).After(e.call.deadline) {
		return refused
	}
	if !e.router.retryBudget.spend(e.call.row.ID) {
		return &request.RefusedError{
			Reason:     request.ReasonRetryBudget,
			Outcome:    refused.Outcome,
			RetryAfter: refused.RetryAfter,
			Detail:     "last refusal: " + string(refused.Reason),
		}
	}
	e.router.metrics.retries.WithLabelValues(string(refused.Reason), refused.Outcome.String()).Inc()
	if !clock.Sleep(ctx, delay) {
		return e.contextRefusal(ctx, refused.Outcome)
	}
	return nil
}

// mayRetry reports whether another round is permitted: it must not run a request twice
// that may run only once, nor add load to an overload.
func (e *execution) mayRetry(ctx context.Context, refused *request.RefusedError) bool {
	switch {
	case ctx.Err() != nil, e.answer.committed, e.round > e.router.cfg.Timing.MaxRetries:
		return false
	case refused.Outcome != request.OutcomeNotRun && !e.call.repeatable:
		return false
	default:
		return retryableReasons[refused.Reason]
	}
}

// finalRefusal returns the refusal that ends the call. Its outcome covers all
// attempts.
func (e *execution) finalRefusal(refused *request.RefusedError) *request.RefusedError {
	final := *refused
	if e.mayHaveRun {
		final.Outcome = request.OutcomeUnknown
	}
	return &final
}

// contextRefusal returns the refusal of a call whose context has ended: the caller has
// disconnected or the deadline has passed.
func (e *execution) contextRefusal(ctx context.Context, outcome request.Outcome) *request.RefusedError {
	refused := &request.RefusedError{Reason: request.ReasonCallerGone, Outcome: outcome}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		refused.Reason = request.ReasonDeadline
		refused.Detail = "deadline passed after " + time.Since(e.startedAt).Round(time.Millisecond).String()
	}
	return refused
}

// agentSpecificReasons are the refusals of an agent that do not apply to other agents;
// the round continues with them.
var agentSpecificReasons = map[request.Reason]bool{
	request.ReasonDraining:       true,
	request.ReasonNotReady:       true,
	request.ReasonTargetDown:     true,
	request.ReasonTargetFailed:   true,
	request.ReasonFenced:         true,
	request.ReasonWithdrawn:      true,
	request.ReasonGrantExpired:   true,
	request.ReasonConnectionLost: true,
	request.ReasonNoTarget:       true,
}

// retryableReasons are the reasons after which another round is made. Overload is not
// among them: retries would add to it.
var retryableReasons = map[request.Reason]bool{
	request.ReasonDraining:       true,
	request.ReasonNotReady:       true,
	request.ReasonTargetDown:     true,
	request.ReasonTargetFailed:   true,
	request.ReasonFenced:         true,
	request.ReasonWithdrawn:      true,
	request.ReasonGrantExpired:   true,
	request.ReasonConnectionLost: true,
	request.ReasonUnknownAttempt: true,
	request.ReasonAnswerInvalid:  true,
	request.ReasonTargetStalled:  true,
	request.ReasonTargetCrashed:  true,
}
