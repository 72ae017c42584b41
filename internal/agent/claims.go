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

// Bounds of the repetition of a call to the platform that follows an answer.
const (
	persistTime  = time.Hour
	persistPause = 15 * time.Second // between two tries at most; less than suspectMemory
)

// begin claims the request of at. ok is false when it must not run here; then
// end says how it ended. A non-nil answer is replayed.
func (a *Agent) begin(at *attempt) (answer *claim.Answer, end ending, ok bool) {
	ctx, cancel := context.WithTimeout(at.ctx, a.cfg.Limits.Platform)
	defer cancel()
	o := at.offer
	answer, err := a.cfg.Claims.Begin(ctx, o.Claim, o.Attempt, o.Fingerprint)
	switch {
	case err == nil:
		at.claimed = answer == nil
		return answer, ending{}, true
	case errors.Is(err, claim.ErrKeyReused):
		return nil, notRun(request.ReasonKeyReused, err), false
	case errors.Is(err, claim.ErrStarted):
		return nil, unknown(request.ReasonInProgress, err), false
	default:
		return nil, notRun(request.ReasonClaimUnavailable, err), false
	}
}

// settle tells the platform how at ended, before the router learns it. The
// first try is waited for; more follow in the background.
func (a *Agent) settle(at *attempt, end ending) {
	a.settleClaim(at, end)
	a.settleTrial(at, end)
	a.settleCrash(at, end)
}

// settleClaim stores the answer under the claim, or releases a claim whose
// request was not handed over.
func (a *Agent) settleClaim(at *attempt, end ending) {
	if !at.claimed {
		return
	}
	key, id := at.offer.Claim, at.offer.Attempt
	switch {
	case end.outcome == request.OutcomeNotRun:
		a.claimCall("release", func(ctx context.Context) error {
			return a.cfg.Claims.Release(ctx, key, id)
		})
	case end.outcome == request.OutcomeCompleted && at.stored != nil:
		answer := at.stored
		at.stored = nil
		a.claimCall("finish", func(ctx context.Context) error {
			return a.cfg.Claims.Finish(ctx, key, id, answer)
		})
	}
}

// claimCall settles a claim. The claimer itself repeats a call that failed.
func (a *Agent) claimCall(operation string, f func(context.Context) error) {
	if err := a.tryPlatform(f); err != nil {
		a.log.Warn("claim is settled later", "operation", operation, "error", err)
	}
}

// persist calls f until it succeeds. It returns after the first try; the
// others go on in the background.
func (a *Agent) persist(operation string, f func(context.Context) error) {
	err := a.tryPlatform(f)
	if err == nil {
		return
	}
	a.log.Warn("call to the platform failed", "operation", operation, "error", err)
	a.background.Go(func() { a.persistLater(operation, f) })
}

func (a *Agent) persistLater(operation string, f func(context.Context) error) {
	pause := backoff.NewExponentialBackOff()
	pause.MaxInterval = persistPause
	for begun := time.Now(); time.Since(begun) < persistTime; {
		clock.Sleep(a.base, pause.NextBackOff())
		a.metrics.retries.WithLabelValues(operation).Inc()
		if a.tryPlatform(f) == nil || a.base.Err() != nil {
			return
		}
	}
	a.log.Error("call to the platform was given up", "operation", operation)
}

func (a *Agent) tryPlatform(f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.base), a.cfg.Limits.Platform)
	defer cancel()
	return f(ctx)
}

// recorder keeps an answer that is stored under its claim.
type recorder struct {
	limit  int
	stored *claim.Answer // nil: not needed, or too large
}

func (a *Agent) newRecorder(at *attempt, answer engine.Answer) *recorder {
	if at.repeatable() {
		return &recorder{}
	}
	return &recorder{
		limit:  a.cfg.Limits.ClaimBytes,
		stored: &claim.Answer{Status: answer.Status(), Header: answer.Header()},
	}
}

func (r *recorder) add(data []byte) {
	if r.stored == nil {
		return
	}
	if len(r.stored.Body)+len(data) > r.limit {
		r.stored = nil // a resend learns that the request has started
		return
	}
	r.stored.Body = append(r.stored.Body, data...)
}

func (r *recorder) answer() *claim.Answer { return r.stored }
