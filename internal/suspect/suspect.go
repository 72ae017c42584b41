// Package suspect quarantines requests that crash targets.
//
// Problem: occasionally a single request crashes each target that runs it, and its
// caller retries it, perhaps through many routers at once.
//
// Invariants: a fingerprint that was in flight when a target crashed is a suspect; a
// suspect runs on only one target of the fleet at a time, with no other request in flight
// there (a trial); a second crash quarantines it.
package suspect

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/request"
)

// Errors of a trial. Their texts reach callers in the detail of a problem document.
var (
	// ErrQuarantined marks a fingerprint that was in flight at two crashes.
	ErrQuarantined = errors.New("request is quarantined: it crashed two targets")
	// ErrOnTrial marks a suspect that another attempt runs on trial.
	ErrOnTrial = errors.New("request is suspected of crashing its target and is on trial elsewhere")
	// ErrUnavailable marks a failed read or write of a suspect. A request whose trial
	// could not be opened must not run.
	ErrUnavailable = errors.New("suspects cannot be read")
)

// Fingerprint is the hash of a workspace and a request's content.
type Fingerprint []byte

// Registry stores the suspects of the fleet.
type Registry interface {
	// RecordCrash records that the fingerprint was in flight when a target crashed.
	// crashID identifies the crash: repeated calls with the same ID count once.
	RecordCrash(ctx context.Context, f Fingerprint, crashID string) error
	// BeginTrial opens a trial. On nil only the caller may run the suspect, as attempt
	// and with no other request in flight on the target.
	BeginTrial(ctx context.Context, f Fingerprint, attempt request.AttemptID) error
	// Clear ends the trial of a suspect that completed without a crash and removes the
	// suspect.
	Clear(ctx context.Context, f Fingerprint, attempt request.AttemptID) error
	// Quarantine quarantines a suspect whose trial crashed the target.
	Quarantine(ctx context.Context, f Fingerprint, attempt request.AttemptID) error
	// AbandonTrial ends a trial in which the suspect did not run; it remains a suspect.
	AbandonTrial(ctx context.Context, f Fingerprint, attempt request.AttemptID) error
}
