package router

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/request"
)

// eventDepth is the number of events of a request's streams that may wait for
// its goroutine; beyond it the streams wait.
const eventDepth = 16

// execution runs one call: rounds of offers, each of which ends in a whole
// answer or a refusal.
type execution struct {
	r       *Router
	c       *call
	ans     *answer
	legs    *legs
	pauses  *backoff.ExponentialBackOff
	began   time.Time
	round   int
	suspect bool            // an attempt ran at the crash of its target
	unknown bool            // an attempt may have run
	failed  map[string]bool // VM IDs of agents at which an attempt failed
}

func newExecution(r *Router, c *call, ans *answer) *execution {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = r.cfg.Timing.RetryBackoff
	pauses.MaxInterval = r.cfg.Timing.RetryMaxPause
	return &execution{
		r:      r,
		c:      c,
		ans:    ans,
		pauses: pauses,
		began:  time.Now(),
		legs: &legs{
			opener:  r.cfg.Opener,
			timeout: r.cfg.Timing.Open,
			events:  make(chan event, eventDepth),
		},
	}
}

// run runs the call and returns nil once its whole answer has been relayed.
func (x *execution) run(ctx context.Context) *request.RefusedError {
	x.r.budget.earn(x.c.row.ID)
	for {
		refused := x.attempt(ctx)
		if refused == nil {
			return nil
		}
		x.unknown = x.unknown || refused.Outcome != request.OutcomeNotRun
		if refused := x.retry(ctx, refused); refused != nil {
			return x.final(refused)
		}
	}
}

// attempt makes one round of offers and relays the answer of the agent that
// granted one.
func (x *execution) attempt(ctx context.Context) *request.RefusedError {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.round++
	x.ans.reset()
	b := newBinding(x)
	winner, refused := b.bind(ctx)
	if refused != nil {
		return refused
	}
	y := newRelay(x, b, winner)
	refused = y.run(ctx)
	if b.home != nil && b.home != winner {
		b.home.parting.Store(y.parting(b.home.attempt))
	}
	return refused
}

// dropBody frees the request's body once no retry can need it any more: a long
// answer must not hold it.
func (x *execution) dropBody() {
	if x.ans.committed && x.c.run.Body != nil {
		x.c.run.Body = nil
		x.c.held.release()
	}
}

// retry waits before the next round, or returns the refusal that ends the call.
func (x *execution) retry(ctx context.Context, refused *request.RefusedError) *request.RefusedError {
	if !x.mayRetry(ctx, refused) {
		return refused
	}
	pause := max(min(x.pauses.NextBackOff(), x.r.cfg.Timing.RetryMaxPause), refused.RetryAfter)
	if pause > x.r.cfg.Timing.RetryMaxPause || time.Now().Add(pause).After(x.c.deadline) {
		return refused
	}
	if !x.r.budget.take(x.c.row.ID) {
		return &request.RefusedError{
			Reason:     request.ReasonRetryBudget,
			Outcome:    refused.Outcome,
			RetryAfter: refused.RetryAfter,
			Detail:     "last refusal: " + string(refused.Reason),
		}
	}
	x.r.metrics.retries.WithLabelValues(string(refused.Reason), refused.Outcome.String()).Inc()
	if !clock.Sleep(ctx, pause) {
		return x.ended(ctx, refused.Outcome)
	}
	return nil
}

// mayRetry reports whether another round can neither run the request twice
// against its caller's will nor add load to an overload.
func (x *execution) mayRetry(ctx context.Context, refused *request.RefusedError) bool {
	switch {
	case ctx.Err() != nil, x.ans.committed, x.round > x.r.cfg.Timing.MaxRetries:
		return false
	case refused.Outcome != request.OutcomeNotRun && !x.c.repeatable:
		return false
	default:
		return retryable[refused.Reason]
	}
}

// final returns the refusal under which the call ends. Its outcome speaks of
// all attempts.
func (x *execution) final(refused *request.RefusedError) *request.RefusedError {
	end := *refused
	if x.unknown {
		end.Outcome = request.OutcomeUnknown
	}
	return &end
}

// ended returns the refusal of a call whose context has ended.
func (x *execution) ended(ctx context.Context, outcome request.Outcome) *request.RefusedError {
	refused := &request.RefusedError{Reason: request.ReasonCallerGone, Outcome: outcome}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		refused.Reason = request.ReasonDeadline
		refused.Detail = "deadline passed after " + time.Since(x.began).Round(time.Millisecond).String()
	}
	return refused
}

// elsewhere holds the reasons for which one agent refuses an offer that another
// may take.
var elsewhere = map[request.Reason]bool{
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

// retryable holds the reasons for which a round that failed is repeated. Those
// of an overload are not among them.
var retryable = map[request.Reason]bool{
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
