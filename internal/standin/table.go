package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/platform"
)

// Fault is the fault that is injected into one call of a stand-in.
type Fault uint8

// Faults of a call.
const (
	FaultNone Fault = iota
	// FaultDown refuses the call without effect.
	FaultDown
	// FaultResponseLost executes the call and drops its response.
	FaultResponseLost
	// FaultRequestLost drops the call without effect. The caller cannot distinguish it
	// from FaultResponseLost.
	FaultRequestLost
)

// Table is an in-memory table service, which deletes rows as soon as they
// expire. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	version uint64
	items   map[string]row
	fault   func(op, key string) Fault
	reads   uint64
	writes  uint64
}

// row is an item with its expiry time; the zero time means that it does not expire.
type row struct {
	platform.Item
	expires time.Time
}

// live reports whether the row exists and has not expired.
func (r row) live() bool {
	return r.Version > 0 && (r.expires.IsZero() || time.Now().Before(r.expires))
}

// cloneItem returns a copy of the row's item that shares no memory with the table.
func (r row) cloneItem() platform.Item {
	item := r.Item
	item.Value = slices.Clone(item.Value)
	return item
}

// NewTable returns an empty table without faults.
func NewTable() *Table {
	return &Table{items: make(map[string]row)}
}

// SetFault sets the function that returns the fault of each call; nil means no faults. op is
// "get", "list" or "commit"; key is the first key of the call.
func (t *Table) SetFault(f func(op, key string) Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
}

// Calls returns the numbers of reads and writes received so far.
func (t *Table) Calls() (reads, writes uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

// Get implements platform.TableService.
func (t *Table) Get(_ context.Context, key string) (platform.Item, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.callFault("get", key) != FaultNone {
		return platform.Item{}, errors.Wrapf(platform.ErrUnavailable, "reading %q", key)
	}
	found := t.items[key]
	if !found.live() {
		return platform.Item{}, errors.Wrapf(platform.ErrNotFound, "reading %q", key)
	}
	return found.cloneItem(), nil
}

// List implements platform.TableService.
func (t *Table) List(_ context.Context, prefix string) ([]platform.Item, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.callFault("list", prefix) != FaultNone {
		return nil, errors.Wrapf(platform.ErrUnavailable, "listing %q", prefix)
	}
	var found []platform.Item
	for key, r := range t.items {
		if strings.HasPrefix(key, prefix) && r.live() {
			found = append(found, r.cloneItem())
		}
	}
	slices.SortFunc(found, func(a, b platform.Item) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

// Commit implements platform.TableService.
func (t *Table) Commit(_ context.Context, writes ...platform.Write) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	if len(writes) == 0 {
		return t.version, nil
	}
	fault := t.callFault("commit", writes[0].Key)
	switch fault {
	case FaultDown:
		return 0, errors.Wrapf(platform.ErrUnavailable, "committing %q", writes[0].Key)
	case FaultRequestLost:
		return 0, errors.Wrapf(platform.ErrUncertain, "committing %q", writes[0].Key)
	}
	version, err := t.apply(writes)
	if fault == FaultResponseLost {
		return 0, errors.Wrapf(platform.ErrUncertain, "committing %q", writes[0].Key)
	}
	return version, err
}

// apply applies all writes, or returns a platform.ConflictError and applies none. t.mu is
// held.
func (t *Table) apply(writes []platform.Write) (uint64, error) {
	var conflicts []string
	for _, w := range writes {
		if t.versionOf(w.Key) != w.If {
			conflicts = append(conflicts, w.Key)
		}
	}
	if len(conflicts) > 0 {
		return 0, &platform.ConflictError{Keys: conflicts}
	}
	t.version++
	for _, w := range writes {
		if w.Delete {
			delete(t.items, w.Key)
			continue
		}
		item := platform.Item{Key: w.Key, Value: slices.Clone(w.Value), Version: t.version}
		t.items[w.Key] = row{Item: item, expires: w.Expires}
	}
	return t.version, nil
}

// versionOf returns the version of key, 0 if it does not exist. t.mu is held.
func (t *Table) versionOf(key string) uint64 {
	if r := t.items[key]; r.live() {
		return r.Version
	}
	return 0
}

// callFault returns the fault of a call. t.mu is held.
func (t *Table) callFault(op, key string) Fault {
	if t.fault == nil {
		return FaultNone
	}
	return t.fault(op, key)
}
