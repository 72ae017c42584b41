// Package claim makes a request that may not be repeated run at most once.
//
// Problem: the same request may reach many routers and agents at once, its
// agent may be frozen or killed at any step, and the answer to a write may be
// lost after the write took effect.
//
// Invariants: a request is handed to a target only by the attempt whose ID
// stands in the claim; a claim is never taken over while its attempt may have
// run; only the owner of a claim releases it, before any handover, and once it
// has begun to release it never hands over.
//
// Rejected: leases on claims, since a holder that was paused past its lease
// cannot know it; deduplication in agents or routers, which lose their memory.
package claim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/request"
)

// Errors of a claim.
var (
	// ErrUnavailable marks a claim that could not be made: the request must
	// not run. The claim may still appear later; it then blocks its key.
	ErrUnavailable = errors.New("claim could not be made")
	// ErrKeyReused marks a key that was used with another request body.
	ErrKeyReused = errors.New("idempotency key was used with another request")
	// ErrStarted marks a key whose request has started and whose answer is
	// not known.
	ErrStarted = errors.New("request under this idempotency key has started")
)

// Key is the hash of a workspace and an idempotency key.
type Key []byte

// Answer is the stored final answer of a request.
type Answer struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint"`
	Body   []byte              `cbor:"3,keyasint"`
}

// Claimer makes, finishes and releases claims.
type Claimer interface {
	// Begin claims key for attempt. It returns (nil, nil) when the claim is
	// attempt's own and the request may be handed over; the stored answer
	// when the request has completed before; or an error marked
	// ErrKeyReused, ErrStarted or ErrUnavailable.
	Begin(ctx context.Context, key Key, attempt request.AttemptID, fingerprint []byte) (*Answer, error)
	// Finish stores the final answer under attempt's claim.
	Finish(ctx context.Context, key Key, attempt request.AttemptID, answer *Answer) error
	// Release gives up attempt's claim. The caller has not handed the request
	// over and never will.
	Release(ctx context.Context, key Key, attempt request.AttemptID) error
}

// Retention is how long the table service keeps a claim at least.
const Retention = 30 * 24 * time.Hour
