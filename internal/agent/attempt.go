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

// phase is where an attempt stands. It only moves forward; phaseDropped and
// phaseEnded are final.
type phase uint8

const (
	phaseNew     phase = iota // not yet admitted
	phaseQueued               // waits for a grant
	phaseGranted              // waits for Run
	phaseStaged               // has Run, waits for a slot
	phaseRunning              // has a slot
	phaseDropped              // did not run and never will
	phaseEnded                // gave its slot back
)

// Causes for which a running attempt is cancelled.
var (
	errWithdrawn = errors.New("router withdrew the attempt")
	errDeadline  = errors.New("deadline of the request passed")
	errOrphaned  = errors.New("no router asks for the answer")
)

// attempt is one offer and what becomes of it.
type attempt struct {
	offer    *wire.Offer
	entry    fairness.WaitingOffer
	deadline time.Time // zero: none

	granted chan struct{} // closed on phaseGranted
	started chan struct{} // closed on phaseRunning
	gone    chan struct{} // closed on phaseDropped

	out    *output
	call   engine.Call // set before phaseStaged
	ctx    context.Context
	cancel context.CancelCauseFunc

	// Guarded by scheduler.mu.
	phase     phase
	account   *fairness.RunningRequest // from phaseGranted on
	refusal   *wire.Refuse             // why it was handed back; nil when its own stream dropped it
	suspect   bool                     // runs alone
	withdrawn bool
	handed    bool // may have reached the target
	queuedAt  time.Time
	startedAt time.Time
	charged   time.Duration // of the slot's time, plain services only
	crash     *crash        // the crash at which it ran, or nil

	// Used by the attempt's own goroutine only, marker set before handed.
	marker  string        // of the target's start at the handover
	claimed bool          // the claim is, or may become, the attempt's own
	onTrial bool          // the trial is, or may become, the attempt's own
	stored  *claim.Answer // whole answer to store under the claim
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
		gone:    make(chan struct{}),
		out:     newOutput(o.Attempt, window, len(o.Claim) > 0),
	}
	if o.Deadline > 0 {
		at.deadline = now.Add(o.Deadline)
	}
	at.ctx, at.cancel = context.WithCancelCause(ctx)
	return at
}

// goneReason returns why at was dropped. It is called after gone is closed.
func (at *attempt) goneReason() request.Reason {
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

// setRun takes the request's body from run.
func (at *attempt) setRun(run *wire.Run, fence uint64) {
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

// ending is how an attempt ended, before its answer is closed.
type ending struct {
	outcome request.Outcome
	reason  request.Reason // empty when completed
	detail  string
	crashed bool   // the target crashed while the attempt ran
	total   uint64 // bytes of the answer
	service int64  // service units charged
}

func notRun(reason request.Reason, err error) ending {
	return ending{outcome: request.OutcomeNotRun, reason: reason, detail: detailOf(err)}
}

func unknown(reason request.Reason, err error) ending {
	return ending{outcome: request.OutcomeUnknown, reason: reason, detail: detailOf(err)}
}

func detailOf(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// message returns the message that closes the answer of attempt id.
func (e ending) message(id request.AttemptID, retryAfter time.Duration) wire.Message {
	if e.outcome == request.OutcomeCompleted {
		return &wire.End{Attempt: id, Total: e.total, Service: e.service}
	}
	return &wire.Fail{
		Attempt:    id,
		Outcome:    e.outcome,
		Reason:     e.reason,
		RetryAfter: retryAfter,
		Detail:     e.detail,
		Suspect:    e.crashed,
	}
}
