// Package platform declares the interfaces of the platform services that the system
// depends on, a transactional table service, an object store and a list of VMs, and
// contains their HTTP clients. Its errors distinguish a write that had no effect,
// which may be repeated, from one that may have had an effect.
package platform

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/target"
)

// Errors of the platform.
var (
	// ErrNotFound marks a key that does not exist.
	ErrNotFound = errors.New("key does not exist")
	// ErrConflict marks a transaction that was not applied because a
	// condition did not hold. See ConflictError.
	ErrConflict = errors.New("condition of the transaction does not hold")
	// ErrUnavailable marks a call that had no effect: the service rejected it
	// or was not reached.
	ErrUnavailable = errors.New("platform service is unavailable")
	// ErrUncertain marks a write whose response was lost: it may have taken effect
	// or not, or may still take effect.
	ErrUncertain = errors.New("effect of the write is uncertain")
)

// ConflictError lists the keys of the writes whose conditions did not hold. Its Is
// method marks it with ErrConflict.
type ConflictError struct {
	Keys []string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "conditions do not hold for keys " + quoteAll(e.Keys)
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Item is a row of the table service.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"` // of the transaction that wrote the row; at least 1
}

// Write is one write of a transaction.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
	// If is the version that the key must have; 0 means that the key must
	// not exist.
	If uint64 `json:"if"`
	// Expires is the time after which the table service may delete the row;
	// zero: never.
	Expires time.Time `json:"expires,omitzero"`
}

// TableService is the platform's transactional table.
type TableService interface {
	// Get returns the item under key or an error marked ErrNotFound or
	// ErrUnavailable.
	Get(ctx context.Context, key string) (Item, error)
	// List returns the items whose keys start with prefix, sorted by key. An
	// error is marked ErrUnavailable.
	List(ctx context.Context, prefix string) ([]Item, error)
	// Commit applies all writes or none and returns the version of the
	// transaction. Versions increase over all transactions of the table. The error
	// is marked ErrConflict, ErrUnavailable or ErrUncertain.
	Commit(ctx context.Context, writes ...Write) (uint64, error)
}

// ObjectStore is the platform's store of immutable objects.
type ObjectStore interface {
	Put(ctx context.Context, key string, data []byte) error
	// Get returns an error marked ErrNotFound if the key does not exist.
	Get(ctx context.Context, key string) ([]byte, error)
}

// VMList is the platform's list of VMs. It lags behind the actual state.
type VMList interface {
	List(ctx context.Context) ([]target.VM, error)
}

// Keys of the table service.
const (
	// KeyTable is the key of the workspace table.
	KeyTable = "config/table"
	// KeyTableVersion is the key of a small item that is written in the same
	// transactions as the workspace table and therefore has the same version.
	KeyTableVersion = "config/version"
	// PrefixStatus precedes the name of a failure domain in the keys of the table
	// versions that the domain has confirmed.
	PrefixStatus = "status/"
	// PrefixClaim precedes the hex claim hash in the keys of claims.
	PrefixClaim = "claim/"
	// PrefixFence precedes a VM ID in the keys of fencing numbers.
	PrefixFence = "fence/"
	// PrefixSuspect precedes a fingerprint in the keys of suspects.
	PrefixSuspect = "suspect/"
)
