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

// run takes a staged attempt to its end.
func (a *Agent) run(at *attempt) {
	defer a.holds.release(at.offer.Fingerprint)
	defer at.cancel(nil)
	end, ok := a.awaitSlot(at)
	if ok {
		end = a.runInSlot(at)
	}
	a.settle(at, end)
	if end.outcome == request.OutcomeCompleted {
		a.holds.prove(at.offer.Fingerprint)
	}
	a.metrics.ended(end)
	a.logEnd(at, end)
	a.attempts.finish(at)
	at.out.finish(end.message(at.offer.Attempt, a.retryAfter(at, end)))
}

// logEnd logs how at ended.
func (a *Agent) logEnd(at *attempt, end ending) {
	level := hclog.Debug
	if end.outcome != request.OutcomeCompleted {
		level = hclog.Info
	}
	a.log.Log(level, "attempt ended",
		"request", at.offer.Request, "attempt", at.offer.Attempt, "workspace", at.offer.Workspace,
		"outcome", end.outcome, "reason", end.reason, "detail", end.detail, "service", end.service)
}

// retryAfter returns when the caller should come back after end.
func (a *Agent) retryAfter(at *attempt, end ending) time.Duration {
	if end.outcome != request.OutcomeNotRun {
		return 0
	}
	return a.sched.retryAfter(at.offer.Workspace)
}

// awaitSlot waits until at has a slot. Otherwise it returns how at ended.
func (a *Agent) awaitSlot(at *attempt) (ending, bool) {
	timer := at.deadlineTimer()
	defer timer.Stop()
	var reason request.Reason
	select {
	case <-at.started:
		return ending{}, true
	case <-at.gone:
		return notRun(at.goneReason(), nil), false
	case <-timer.C:
		reason = request.ReasonDeadline
	case <-at.ctx.Done():
		reason = request.ReasonConnectionLost
	}
	if a.sched.unstage(at) {
		return notRun(reason, nil), false
	}
	return ending{}, true // it got the slot just before
}

// runInSlot runs at in its slot and gives the slot back.
func (a *Agent) runInSlot(at *attempt) ending {
	end := a.execute(at)
	if a.cfg.Kind == target.KindService {
		due, paid := a.sched.chargeTimeOf(at, time.Now())
		a.metrics.service.Add(float64(due))
		end.service = paid
	}
	a.sched.finish(at, end.outcome == request.OutcomeCompleted)
	return end
}

// execute opens what at needs before its handover and hands it over.
func (a *Agent) execute(at *attempt) ending {
	if end, ok := a.openTrial(at); !ok {
		return end
	}
	if at.repeatable() {
		return a.handOver(at)
	}
	answer, end, ok := a.begin(at)
	switch {
	case !ok:
		return end
	case answer != nil:
		return a.replay(at, answer)
	default:
		return a.handOver(at)
	}
}

// handOver gives the request to the target and copies its answer. It is the
// only place from which a request reaches the target.
func (a *Agent) handOver(at *attempt) ending {
	if at.expired(time.Now()) {
		return notRun(request.ReasonDeadline, nil)
	}
	if reason := cancelReason(at); reason != "" {
		return notRun(reason, nil)
	}
	at.marker = a.health.currentMarker()
	if !a.sched.handOver(at) {
		return notRun(request.ReasonWithdrawn, nil)
	}
	stop := a.cancelAtDeadline(at)
	defer stop()
	answer, err := a.cfg.Target.Do(at.ctx, at.call)
	if err != nil {
		return a.callFailed(at, err)
	}
	defer func() { _ = answer.Close() }()
	return a.copyAnswer(at, answer)
}

// cancelAtDeadline cancels a repeatable request at its deadline. One that may
// not be repeated goes on, since its answer is stored under its claim.
func (a *Agent) cancelAtDeadline(at *attempt) (stop func()) {
	if !at.repeatable() || at.deadline.IsZero() {
		return func() {}
	}
	timer := time.AfterFunc(time.Until(at.deadline), func() { at.cancel(errDeadline) })
	return func() { timer.Stop() }
}

// callFailed returns how an attempt ended whose call brought no answer.
func (a *Agent) callFailed(at *attempt, err error) ending {
	switch {
	case errors.Is(err, engine.ErrFenced):
		a.fenced()
		return notRun(request.ReasonFenced, err)
	case errors.Is(err, engine.ErrNotSent):
		if reason := cancelReason(at); reason != "" {
			return notRun(reason, err)
		}
		a.checkTarget(a.base, true)
		return notRun(request.ReasonTargetDown, err)
	default:
		return a.broken(at, err)
	}
}

// broken returns how an attempt ended whose call or answer was cut off.
func (a *Agent) broken(at *attempt, err error) ending {
	if reason := cancelReason(at); reason != "" {
		return unknown(reason, err)
	}
	if a.hasCrashed(at) {
		end := unknown(request.ReasonTargetCrashed, err)
		end.crashed = true
		return end
	}
	if errors.Is(err, engine.ErrStalled) {
		return unknown(request.ReasonTargetStalled, err)
	}
	return unknown(request.ReasonTargetFailed, err)
}

// copyAnswer copies the answer to the output, charging what it costs.
func (a *Agent) copyAnswer(at *attempt, answer engine.Answer) ending {
	at.out.setHead(&wire.Head{
		Attempt: at.offer.Attempt,
		Status:  answer.Status(),
		Header:  fieldsOf(answer.Header()),
	})
	rec := a.newRecorder(at, answer)
	end := ending{outcome: request.OutcomeCompleted}
	for {
		frame, err := answer.Next(at.ctx)
		a.charge(at, frame.Units)
		end.service += frame.Units
		if errors.Is(err, io.EOF) {
			at.stored = rec.answer()
			return end
		}
		if err != nil {
			return a.broken(at, err)
		}
		rec.add(frame.Data)
		end.total += uint64(len(frame.Data))
		if err := at.out.write(at.ctx, frame.Data); err != nil {
			return a.broken(at, err)
		}
	}
}

// replay answers with the stored answer of an earlier attempt.
func (a *Agent) replay(at *attempt, answer *claim.Answer) ending {
	at.out.setHead(&wire.Head{
		Attempt:  at.offer.Attempt,
		Status:   answer.Status,
		Header:   fieldsOf(answer.Header),
		Replayed: true,
	})
	if err := at.out.write(at.ctx, answer.Body); err != nil {
		return unknown(request.ReasonConnectionLost, err)
	}
	return ending{outcome: request.OutcomeCompleted, total: uint64(len(answer.Body))}
}

// fieldsOf returns header as a list.
func fieldsOf(header http.Header) []wire.Field {
	fields := make([]wire.Field, 0, len(header))
	for name, values := range header {
		for _, v := range values {
			fields = append(fields, wire.Field{Name: name, Value: v})
		}
	}
	return fields
}
