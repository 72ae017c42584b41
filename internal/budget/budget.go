// Package budget bounds the memory that many users of one process share.
//
// Invariant: the users of a budget never hold more bytes than its limit.
package budget

import "sync/atomic"

// Bytes is a shared budget. Its methods are safe for concurrent use. A nil budget is
// unlimited.
type Bytes struct {
	limit int64
	used  atomic.Int64
}

// NewBytes returns a budget of limit bytes.
func NewBytes(limit int64) *Bytes { return &Bytes{limit: limit} }

// Used returns the number of bytes that leases hold.
func (b *Bytes) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// Lease returns a lease that holds nothing yet.
func (b *Bytes) Lease() *Lease { return &Lease{budget: b} }

// Lease is the part of a budget that one user holds. Its methods are not safe for
// concurrent use.
type Lease struct {
	budget *Bytes
	held   int64
}

// Grow adds n bytes to the lease. It reports false, and adds nothing, if the budget has
// fewer left.
func (l *Lease) Grow(n int64) bool {
	if l.budget == nil {
		return true
	}
	if l.budget.used.Add(n) > l.budget.limit {
		l.budget.used.Add(-n)
		return false
	}
	l.held += n
	return true
}

// Release returns what the lease holds. It may be called more than once.
func (l *Lease) Release() {
	if l.held > 0 {
		l.budget.used.Add(-l.held)
		l.held = 0
	}
}
