package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/claim"
	"github.com/mastichollow/mastichollow/internal/engine"
	"github.com/mastichollow/mastichollow/internal/fairness"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// phase is the state of an attempt. It only moves forward; phaseDropped and
// phaseEnded are final.
type phase uint8

const (
	phaseNew     phase = iota // not yet queued
	phaseQueued               // waits for a grant
	phaseGranted              // waits for Run
	phaseStaged               // Run has arrived, waits for a slot
	phaseRunning              // has a slot
	phaseDropped              // has not run and never will
	phaseEnded                // had a slot and has released it
)

// Causes for which a running attempt is cancelled.
var (
	errWithdrawn = errors.New("router withdrew the attempt")
	errDeadline  = errors.New("deadline of the request passed")
	errOrphaned  = errors.New("no router asks for the answer")
)

// attempt is one offer and its execution.
type attempt struct {
	offer    *wire.Offer
	entry    fairness.WaitingOffer
	deadline time.Time // zero: none

	granted chan struct{} // closed when phaseGranted is entered
	started chan struct{} // closed when phaseRunning is entered
	dropped chan struct{} // closed when phaseDropped is entered

	buffer *answerBuffer
	call   engine.Call // set before phaseStaged
	ctx    context.Context
	cancel context.CancelCauseFunc

	// Guarded by scheduler.mu.
	phase     phase
	account   *fairness.RunningRequest // set from phaseGranted on
	refusal   *wire.Refuse             // sent by the stream of a dropped attempt; nil if that stream itself dropped it
	runsAlone bool                     // a suspect, which must not run beside other attempts
	withdrawn bool
	forwarded bool // may have reached the target
	queuedAt  time.Time
	startedAt time.Time
	charged   time.Duration // charged slot time, plain services only
	crash     *targetCrash  // crash of the target during which it ran, or nil

	// Used by the attempt's goroutine only. marker is set before forwarded and
	// read by others after it.
	marker      string        // start marker of the target when the request was forwarded
	claimed     bool          // the attempt has the claim, or may have it
	onTrial     bool          // the attempt has the trial, or may have it
	claimAnswer *claim.Answer // complete answer to store under the claim
}

func newAttempt(ctx context.Context, o *wire.Offer, window int, now time.Time) *attempt {
	at := &attempt{
		offer: o,
		entry: fairness.WaitingOffer{
			Attempt:   o.Attempt,
			Workspace: o.Workspace,
			Class:     o.Class,
			CostHint:  o.CostHint,
		},
		granted: make(chan struct{}),
		started: make(chan struct{}),
		dropped: make(chan struct{}),
		buffer:  newAnswerBuffer(o.Attempt, window, len(o.Claim) > 0),
	}
	if o.Deadline > 0 {
		at.deadline = now.Add(o.Deadline)
	}
	at.ctx, at.cancel = context.WithCancelCause(ctx)
	return at
}

// dropReason returns why at was dropped. It must be called after dropped is
// closed.
func (at *attempt) dropReason() request.Reason {
	if at.refusal != nil {
		return at.refusal.Reason
	}
	return request.ReasonWithdrawn
}

// repeatable reports whether the request may run more than once.
func (at *attempt) repeatable() bool { return len(at.offer.Claim) == 0 }

// expired reports whether the deadline has passed.
func (at *attempt) expired(now time.Time) bool {
	return !at.deadline.IsZero() && !now.Before(at.deadline)
}

// deadlineTimer returns a timer that fires at the deadline, or never.
func (at *attempt) deadlineTimer() *time.Timer {
	if at.deadline.IsZero() {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	}
	return time.NewTimer(time.Until(at.deadline))
}

// setCall sets the call to the target from run.
func (at *attempt) setCall(run *wire.Run, fence uint64) {
	header := make(http.Header, len(run.Header))
	for _, f := range run.Header {
		header.Add(f.Name, f.Value)
	}
	at.call = engine.Call{
		Attempt: string(at.offer.Attempt),
		Method:  run.Method,
		Path:    run.Path,
		Header:  header,
		Body:    run.Body,
		Fence:   fence,
	}
}

// attemptResult is how an attempt ended.
type attemptResult struct {
	outcome      request.Outcome
	reason       request.Reason // empty if completed
	detail       string
	crashed      bool   // the target crashed while the attempt ran
	totalBytes   uint64 // size of the answer
	serviceUnits int64  // charged to the workspace
}

func notRunResult(reason request.Reason, err error) attemptResult {
	return attemptResult{outcome: request.OutcomeNotRun, reason: reason, detail: errorDetail(err)}
}

func unknownResult(reason request.Reason, err error) attemptResult {
	return attemptResult{outcome: request.OutcomeUnknown, reason: reason, detail: errorDetail(err)}
}

func errorDetail(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// message returns the message that closes the answer of attempt id.
func (r attemptResult) message(id request.AttemptID, retryAfter time.Duration) wire.Message {
	if r.outcome == request.OutcomeCompleted {
		return &wire.End{Attempt: id, Total: r.totalBytes, Service: r.serviceUnits}
	}
	return &wire.Fail{
		Attempt:    id,
		Outcome:    r.outcome,
		Reason:     r.reason,
		RetryAfter: retryAfter,
		Detail:     r.detail,
		Suspect:    r.crashed,
	}
}
