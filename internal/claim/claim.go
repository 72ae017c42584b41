// Package claim ensures that a non-idempotent request runs at most once. An attempt may
// send its request to a target only after it has written a claim, a record under the
// request's idempotency key in the table service.
//
// Problem: the same request may reach many routers and agents at once, its agent may be
// suspended or killed at any step, and the response to a write may be lost after the write
// took effect.
//
// Invariants:
//   - Only the attempt whose ID is in the claim sends the request to a target.
//   - A claim is never taken over while its attempt may have run.
//   - Only the attempt that owns a claim releases it, and only if it has not sent the
//     request. Once it has begun to release the claim, it never sends the request.
//
// Rejected alternatives:
//   - Leases on claims: an owner that was suspended past its lease cannot detect that the
//     lease has expired.
//   - Deduplication in agents or routers: they lose their state on a restart.
package claim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/request"
)

// Errors of a claim. Their texts reach callers in the detail of a problem document.
var (
	// ErrUnavailable marks a claim that could not be made, so that the request must not
	// run. The write of the claim may still take effect later; it then blocks the key.
	ErrUnavailable = errors.New("claim could not be made")
	// ErrKeyReused marks a key that was used with another request body.
	ErrKeyReused = errors.New("idempotency key was used with another request")
	// ErrStarted marks a key whose request has started and whose answer is not
	// available.
	ErrStarted = errors.New("request under this idempotency key has started")
)

// Key is the hash of a workspace and an idempotency key. It identifies a claim.
type Key []byte

// Answer is the stored complete answer of a request.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint"`
	Body   []byte              `cbor:"3,keyasint"`
}

// Claimer makes, finishes and releases claims.
type Claimer interface {
	// Begin claims key for attempt. It returns (nil, nil) when attempt owns the claim and
	// may send the request; the stored answer when the request has already
	// completed; or an error marked ErrKeyReused, ErrStarted or ErrUnavailable. The
	// fingerprint identifies the request's content.
	Begin(ctx context.Context, key Key, attempt request.AttemptID, fingerprint []byte) (*Answer, error)
	// Finish stores the complete answer in the claim of attempt.
	Finish(ctx context.Context, key Key, attempt request.AttemptID, answer *Answer) error
	// Release releases the claim of attempt, so that another attempt can claim the key.
	// The caller must not have sent the request and must never do so.
	Release(ctx context.Context, key Key, attempt request.AttemptID) error
}

// Retention is the minimum time for which the table service retains a claim after its last
// write.
const Retention = 30 * 24 * time.Hour
