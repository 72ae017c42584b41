package gate

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mastichollow/mastichollow/internal/route"
)

// TableCache holds the newest known table and the time at which it was last
// confirmed to be the newest.
//
// Invariant: the version never decreases during the life of the process.
type TableCache struct {
	confirmMu sync.Mutex // tables arrive from the store and from peers concurrently
	cached    atomic.Pointer[cachedTable]
	confirmed atomic.Int64 // on the clock now; neverConfirmed until the first confirmation
	now       func() time.Duration
}

type cachedTable struct {
	table   *route.Table
	edition route.Edition
}

// NewTableCache returns a cache without a table. now is a clock that includes time
// for which the machine was suspended.
func NewTableCache(now func() time.Duration) *TableCache {
	c := &TableCache{now: now}
	c.confirmed.Store(neverConfirmed)
	return c
}

// neverConfirmed makes the age of a table longer than any bound but the longest duration.
const neverConfirmed = math.MinInt64 / 2

// SetUnconfirmed stores a table of which it is unknown whether it was ever the newest one, if
// it supersedes the cached one and that is unconfirmed too. It reports whether it did.
func (c *TableCache) SetUnconfirmed(table *route.Table, edition route.Edition) bool {
	c.confirmMu.Lock()
	defer c.confirmMu.Unlock()
	cached := c.cached.Load()
	if c.Confirmed() || cached != nil && !edition.Supersedes(cached.edition) {
		return false
	}
	c.cached.Store(&cachedTable{table, edition})
	return true
}

// Confirmed reports whether the cached table was ever confirmed to be the newest one.
func (c *TableCache) Confirmed() bool { return c.confirmed.Load() != neverConfirmed }

// Confirm stores a table that the store had at asOf, if it supersedes the cached one.
// updated reports whether it did, and confirmed whether the table that is cached now was the
// newest one at asOf.
func (c *TableCache) Confirm(table *route.Table, edition route.Edition, asOf time.Duration) (updated, confirmed bool) {
	c.confirmMu.Lock()
	defer c.confirmMu.Unlock()
	cached := c.cached.Load()
	switch {
	case cached == nil || edition.Supersedes(cached.edition):
		c.cached.Store(&cachedTable{table, edition})
		updated = true
	case !edition.Confirms(cached.edition):
		return false, false
	case edition.Same(cached.edition) && edition.Era > cached.edition.Era:
		c.cached.Store(&cachedTable{cached.table, edition})
	}
	if int64(asOf) > c.confirmed.Load() {
		c.confirmed.Store(int64(asOf))
	}
	return updated, true
}

// Edition returns the edition of the cached table, zero if there is none.
func (c *TableCache) Edition() route.Edition {
	if cached := c.cached.Load(); cached != nil {
		return cached.edition
	}
	return route.Edition{}
}

// Current returns the cached table, nil if there is none yet, and its age: the time
// since it was last confirmed to be the newest.
func (c *TableCache) Current() (*route.Table, time.Duration) {
	cached := c.cached.Load()
	if cached == nil {
		return nil, 0
	}
	return cached.table, c.now() - time.Duration(c.confirmed.Load())
}
