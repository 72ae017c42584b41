// Package request defines the identity and the outcome of a caller's request: its
// identifiers, its class, the outcome of an attempt and the reasons for refusals.
//
// Invariant: OutcomeNotRun is reported only by a process that knows that the attempt has
// not been sent to a target and never will be.
package request

import (
	"fmt"
	"time"

	"github.com/google/uuid"
)

// ID identifies a caller's request. The router that receives the request creates it.
type ID string

// AttemptID identifies one attempt to run a request on one target.
type AttemptID string

// NewID returns a random request ID.
func NewID() ID { return ID(uuid.NewString()) }

// NewAttemptID returns a random attempt ID.
func NewAttemptID() AttemptID { return AttemptID(uuid.NewString()) }

// Class is the priority class of a request within its workspace.
type Class uint8

// Classes of requests.
const (
	// ClassInteractive requests are served before batch requests of their workspace.
	ClassInteractive Class = iota
	// ClassBatch requests tolerate delay.
	ClassBatch
)

// String returns the class's label in metrics.
func (c Class) String() string {
	if c == ClassBatch {
		return "batch"
	}
	return "interactive"
}

// Outcome says whether an attempt ran, as far as the reporting process knows.
type Outcome uint8

// Outcomes of an attempt. The zero value is OutcomeUnknown, so that a missing value does
// not claim anything.
const (
	// OutcomeUnknown means that the attempt may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun means that the attempt did not run and never will.
	OutcomeNotRun
	// OutcomeCompleted means that the attempt ran and its answer is complete.
	OutcomeCompleted
)

// String returns the outcome's label in metrics.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not_run"
	case OutcomeCompleted:
		return "completed"
	default:
		return "unknown"
	}
}

// Reason is the stable name of a refusal or failure. It is a label value of the refusal
// counters and the last element of the type in a problem document.
type Reason string

// Reasons for which a request is refused or fails.
const (
	ReasonMalformed        Reason = "malformed"
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonForbiddenPool    Reason = "pool_not_allowed"
	ReasonUnknownPool      Reason = "pool_unknown"
	ReasonTooLarge         Reason = "too_large"
	ReasonKeyInvalid       Reason = "idempotency_key_invalid"
	ReasonKeyReused        Reason = "idempotency_key_reused"
	ReasonInProgress       Reason = "in_progress"
	ReasonRateLimit        Reason = "rate_limit"
	ReasonConcurrency      Reason = "concurrency_limit"
	ReasonQueueFull        Reason = "queue_full"
	ReasonDeadline         Reason = "deadline"
	ReasonNoTarget         Reason = "no_target"
	ReasonNoAllowedTarget  Reason = "no_allowed_target"
	ReasonDraining         Reason = "draining"
	ReasonNotReady         Reason = "not_ready"
	ReasonClaimUnavailable Reason = "claim_unavailable"
	ReasonQuarantined      Reason = "quarantined"
	ReasonSuspect          Reason = "suspect"
	ReasonTargetDown       Reason = "target_down"
	ReasonTargetFailed     Reason = "target_failed"
	ReasonTargetStalled    Reason = "target_stalled"
	ReasonTargetCrashed    Reason = "target_crashed"
	ReasonFenced           Reason = "fenced"
	ReasonWithdrawn        Reason = "withdrawn"
	ReasonGrantExpired     Reason = "grant_expired"
	ReasonConnectionLost   Reason = "connection_lost"
	ReasonUnknownAttempt   Reason = "attempt_unknown"
	ReasonRetryBudget      Reason = "retry_budget"
	ReasonHeaderTooLarge   Reason = "header_too_large"
	ReasonPromptTooLarge   Reason = "prompt_too_large"
	ReasonPriorityInvalid  Reason = "priority_invalid"
	ReasonTimeoutInvalid   Reason = "timeout_invalid"
	ReasonNotFound         Reason = "not_found"
	ReasonMethodNotAllowed Reason = "method_not_allowed"
	ReasonAnswerInvalid    Reason = "answer_invalid"
	ReasonCallerGone       Reason = "caller_gone"
	ReasonOverloaded       Reason = "overloaded"
)

// RefusedError is the error of a request that was refused or aborted. Outcome says
// whether the request may have run.
type RefusedError struct {
	Reason     Reason
	Outcome    Outcome
	RetryAfter time.Duration // 0: the answer has no Retry-After header
	Detail     string
}

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("request refused: %s (%s)", e.Reason, e.Outcome)
	}
	return fmt.Sprintf("request refused: %s (%s): %s", e.Reason, e.Outcome, e.Detail)
}
