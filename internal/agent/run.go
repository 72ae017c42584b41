package agent

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/mastichollow/mastichollow/internal/claim"
	"github.com/mastichollow/mastichollow/internal/engine"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// run executes a staged attempt until it has ended and closes its answer.
func (a *Agent) run(at *attempt) {
	defer a.locks.release(at.offer.Fingerprint)
	defer at.cancel(nil)
	result, ok := a.awaitSlot(at)
	if ok {
		result = a.runInSlot(at)
	}
	a.settle(at, result)
	if result.outcome == request.OutcomeCompleted {
		a.locks.markCompleted(at.offer.Fingerprint)
	}
	a.metrics.countResult(result)
	a.logResult(at, result)
	a.attempts.finish(at)
	at.buffer.finish(result.message(at.offer.Attempt, a.retryAfter(at, result)))
}

func (a *Agent) logResult(at *attempt, result attemptResult) {
	level := hclog.Debug
	if result.outcome != request.OutcomeCompleted {
		level = hclog.Info
	}
	a.log.Log(level, "attempt ended",
		"request", at.offer.Request, "attempt", at.offer.Attempt, "workspace", at.offer.Workspace,
		"outcome", result.outcome, "reason", result.reason, "detail", result.detail, "service", result.serviceUnits)
}

// retryAfter returns the delay after which the caller may try again; 0 if the
// request may have run.
func (a *Agent) retryAfter(at *attempt, result attemptResult) time.Duration {
	if result.outcome != request.OutcomeNotRun {
		return 0
	}
	return a.sched.retryAfter(at.offer.Workspace)
}

// awaitSlot waits until at has a slot and returns true. Otherwise it returns
// how the attempt ended.
func (a *Agent) awaitSlot(at *attempt) (attemptResult, bool) {
	deadline := at.deadlineTimer()
	defer deadline.Stop()
	var reason request.Reason
	select {
	case <-at.started:
		return attemptResult{}, true
	case <-at.dropped:
		return notRunResult(at.dropReason(), nil), false
	case <-deadline.C:
		reason = request.ReasonDeadline
	case <-at.ctx.Done():
		reason = request.ReasonConnectionLost
	}
	if a.sched.unstage(at) {
		return notRunResult(reason, nil), false
	}
	return attemptResult{}, true // it was given a slot in the meantime
}

// runInSlot executes at in its slot and releases the slot.
func (a *Agent) runInSlot(at *attempt) attemptResult {
	result := a.execute(at)
	if a.cfg.Kind == target.KindService {
		added, charged := a.sched.chargeTimeOf(at, time.Now())
		a.metrics.serviceUnits.Add(float64(added))
		result.serviceUnits = charged
	}
	a.sched.finish(at, result.outcome == request.OutcomeCompleted)
	return result
}

// execute opens the trial and begins the claim of at, as far as it needs them,
// and forwards the request.
func (a *Agent) execute(at *attempt) attemptResult {
	if result, ok := a.openTrial(at); !ok {
		return result
	}
	if at.repeatable() {
		return a.forward(at)
	}
	answer, result, ok := a.beginClaim(at)
	switch {
	case !ok:
		return result
	case answer != nil:
		return a.replayAnswer(at, answer)
	default:
		return a.forward(at)
	}
}

// forward forwards the request to the target and copies its answer. No other
// code sends a request to the target.
func (a *Agent) forward(at *attempt) attemptResult {
	if at.expired(time.Now()) {
		return notRunResult(request.ReasonDeadline, nil)
	}
	if reason := cancelReason(at); reason != "" {
		return notRunResult(reason, nil)
	}
	at.marker = a.health.currentMarker()
	if !a.sched.markForwarded(at) {
		return notRunResult(request.ReasonWithdrawn, nil)
	}
	stop := a.cancelAtDeadline(at)
	defer stop()
	answer, err := a.cfg.Target.Do(at.ctx, at.call)
	if err != nil {
		return a.failedCallResult(at, err)
	}
	defer func() { _ = answer.Close() }()
	a.sched.recordRequestLimit(at, answer.Header())
	return a.copyAnswer(at, answer)
}

// cancelAtDeadline cancels a repeatable request at its deadline. A request with
// a claim continues, since its answer is stored under the claim.
func (a *Agent) cancelAtDeadline(at *attempt) (stop func()) {
	if !at.repeatable() || at.deadline.IsZero() {
		return func() {}
	}
	timer := time.AfterFunc(time.Until(at.deadline), func() { at.cancel(errDeadline) })
	return func() { timer.Stop() }
}

// failedCallResult returns the result of an attempt whose call returned no
// answer.
func (a *Agent) failedCallResult(at *attempt, err error) attemptResult {
	switch {
	case errors.Is(err, engine.ErrFenced):
		a.stopFenced()
		return notRunResult(request.ReasonFenced, err)
	case errors.Is(err, engine.ErrNotSent):
		if reason := cancelReason(at); reason != "" {
			return notRunResult(reason, err)
		}
		a.checkTarget(a.baseCtx, true)
		return notRunResult(request.ReasonTargetDown, err)
	default:
		return a.brokenCallResult(at, err)
	}
}

// brokenCallResult returns the result of an attempt whose call or answer was
// interrupted after the request may have reached the target.
func (a *Agent) brokenCallResult(at *attempt, err error) attemptResult {
	if reason := cancelReason(at); reason != "" {
		return unknownResult(reason, err)
	}
	if a.targetCrashedDuring(at) {
		result := unknownResult(request.ReasonTargetCrashed, err)
		result.crashed = true
		return result
	}
	if errors.Is(err, engine.ErrStalled) {
		return unknownResult(request.ReasonTargetStalled, err)
	}
	return unknownResult(request.ReasonTargetFailed, err)
}

// copyAnswer copies the answer to the answer buffer and charges its service
// units.
func (a *Agent) copyAnswer(at *attempt, answer engine.Answer) attemptResult {
	at.buffer.setHead(&wire.Head{
		Attempt: at.offer.Attempt,
		Status:  answer.Status(),
		Header:  fieldsOf(answer.Header()),
	})
	recorder := a.newAnswerRecorder(at, answer)
	result := attemptResult{outcome: request.OutcomeCompleted}
	for {
		frame, err := answer.Next(at.ctx)
		a.charge(at, frame.Units)
		result.serviceUnits += frame.Units
		if errors.Is(err, io.EOF) {
			at.claimAnswer = recorder.answer()
			return result
		}
		if err != nil {
			return a.brokenCallResult(at, err)
		}
		recorder.add(frame.Data)
		result.totalBytes += uint64(len(frame.Data))
		if err := at.buffer.write(at.ctx, frame.Data); err != nil {
			return a.brokenCallResult(at, err)
		}
	}
}

// replayAnswer answers with the stored answer of an earlier attempt.
func (a *Agent) replayAnswer(at *attempt, answer *claim.Answer) attemptResult {
	at.buffer.setHead(&wire.Head{
		Attempt:  at.offer.Attempt,
		Status:   answer.Status,
		Header:   fieldsOf(answer.Header),
		Replayed: true,
	})
	if err := at.buffer.write(at.ctx, answer.Body); err != nil {
		return unknownResult(request.ReasonConnectionLost, err)
	}
	return attemptResult{outcome: request.OutcomeCompleted, totalBytes: uint64(len(answer.Body))}
}

// fieldsOf returns header as a list of fields.
func fieldsOf(header http.Header) []wire.Field {
	fields := make([]wire.Field, 0, len(header))
	for name, values := range header {
		for _, v := range values {
			fields = append(fields, wire.Field{Name: name, Value: v})
		}
	}
	return fields
}
