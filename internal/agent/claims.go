package agent

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/claim"
	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/engine"
	"github.com/mastichollow/mastichollow/internal/request"
)

// Bounds of the retries of a platform call that follows the end of an attempt.
const (
	maxRetryTime     = time.Hour
	maxRetryInterval = 15 * time.Second // less than localSuspectTTL, so that a suspect is not forgotten between retries
)

// beginClaim claims the request of at. ok is false if it must not run here;
// result then says how the attempt ended. A non-nil answer is the stored answer
// to replay.
func (a *Agent) beginClaim(at *attempt) (answer *claim.Answer, result attemptResult, ok bool) {
	ctx, cancel := context.WithTimeout(at.ctx, a.cfg.Limits.PlatformTimeout)
	defer cancel()
	o := at.offer
	answer, err := a.cfg.Claims.Begin(ctx, o.Claim, o.Attempt, o.Fingerprint)
	switch {
	case err == nil:
		at.claimed = answer == nil
		return answer, attemptResult{}, true
	case errors.Is(err, claim.ErrKeyReused):
		return nil, notRunResult(request.ReasonKeyReused, err), false
	case errors.Is(err, claim.ErrStarted):
		return nil, unknownResult(request.ReasonInProgress, err), false
	default:
		return nil, notRunResult(request.ReasonClaimUnavailable, err), false
	}
}

// settle reports to the platform how at ended, before the router is informed.
// It waits for the first try; retries run in the background.
func (a *Agent) settle(at *attempt, result attemptResult) {
	a.settleClaim(at, result)
	a.settleTrial(at, result)
	a.awaitCrashRecord(at, result)
}

// settleClaim stores the answer under the claim, or releases the claim if the
// request did not run.
func (a *Agent) settleClaim(at *attempt, result attemptResult) {
	if !at.claimed {
		return
	}
	key, id := at.offer.Claim, at.offer.Attempt
	switch {
	case result.outcome == request.OutcomeNotRun:
		a.callClaims("release", func(ctx context.Context) error {
			return a.cfg.Claims.Release(ctx, key, id)
		})
	case result.outcome == request.OutcomeCompleted && at.claimAnswer != nil:
		answer := at.claimAnswer
		at.claimAnswer = nil
		a.callClaims("finish", func(ctx context.Context) error {
			return a.cfg.Claims.Finish(ctx, key, id, answer)
		})
	}
}

// callClaims calls the claimer. The claimer itself retries a call that failed.
func (a *Agent) callClaims(operation string, call func(context.Context) error) {
	if err := a.callPlatform(call); err != nil {
		a.log.Warn("claim call failed; the claimer will retry it", "operation", operation, "error", err)
	}
}

// callWithRetry calls the platform until the call succeeds. It returns after
// the first try; retries run in the background.
func (a *Agent) callWithRetry(operation string, call func(context.Context) error) {
	err := a.callPlatform(call)
	if err == nil {
		return
	}
	a.log.Warn("platform call failed; retrying", "operation", operation, "error", err)
	a.background.Go(func() { a.retryInBackground(operation, call) })
}

func (a *Agent) retryInBackground(operation string, call func(context.Context) error) {
	backOff := backoff.NewExponentialBackOff()
	backOff.MaxInterval = maxRetryInterval
	for start := time.Now(); time.Since(start) < maxRetryTime; {
		clock.Sleep(a.baseCtx, backOff.NextBackOff())
		a.metrics.retries.WithLabelValues(operation).Inc()
		if a.callPlatform(call) == nil || a.baseCtx.Err() != nil {
			return
		}
	}
	a.log.Error("aborted a platform call after its maximum retry time", "operation", operation)
}

func (a *Agent) callPlatform(call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.baseCtx), a.cfg.Limits.PlatformTimeout)
	defer cancel()
	return call(ctx)
}

// answerRecorder collects an answer that is stored under its claim.
type answerRecorder struct {
	maxBytes int
	recorded *claim.Answer // nil: not needed, or larger than maxBytes
}

func (a *Agent) newAnswerRecorder(at *attempt, answer engine.Answer) *answerRecorder {
	if at.repeatable() {
		return &answerRecorder{}
	}
	return &answerRecorder{
		maxBytes: a.cfg.Limits.MaxClaimAnswerBytes,
		recorded: &claim.Answer{Status: answer.Status(), Header: answer.Header()},
	}
}

func (r *answerRecorder) add(data []byte) {
	if r.recorded == nil {
		return
	}
	if len(r.recorded.Body)+len(data) > r.maxBytes {
		r.recorded = nil // a repeated request is refused because the first one has started
		return
	}
	r.recorded.Body = append(r.recorded.Body, data...)
}

func (r *answerRecorder) answer() *claim.Answer { return r.recorded }
