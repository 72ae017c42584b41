package gate

import (
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
	table     atomic.Pointer[route.Table]
	confirmed atomic.Int64 // on the clock now
	now       func() time.Duration
}

// NewTableCache returns a cache without a table. now is a clock that includes time
// for which the machine was suspended.
func NewTableCache(now func() time.Duration) *TableCache {
	return &TableCache{now: now}
}

// Confirm stores a table that was the newest one at asOf or, if table is nil, confirms
// that the cached one was. It reports whether the cached version increased.
func (c *TableCache) Confirm(table *route.Table, asOf time.Duration) bool {
	c.confirmMu.Lock()
	defer c.confirmMu.Unlock()
	cached := c.table.Load()
	updated := table != nil && (cached == nil || table.Version() > cached.Version())
	if updated {
		c.table.Store(table)
	}
	if c.table.Load() != nil && int64(asOf) > c.confirmed.Load() {
		c.confirmed.Store(int64(asOf))
	}
	return updated
}

// Current returns the cached table, nil if there is none yet, and its age: the time
// since it was last confirmed to be the newest.
func (c *TableCache) Current() (*route.Table, time.Duration) {
	table := c.table.Load()
	if table == nil {
		return nil, 0
	}
	return table, c.now() - time.Duration(c.confirmed.Load())
}
