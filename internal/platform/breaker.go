package platform

import (
	"math/rand/v2"
	"sync"
	"time"
)

// breaker is a circuit breaker. After enough consecutive failures it refuses
// calls for a while, then lets single trial calls pass until one succeeds.
type breaker struct {
	failures int           // consecutive failures that open it
	open     time.Duration // least time between opening and the first trial

	mu        sync.Mutex
	failed    int
	openUntil time.Time // zero: closed
	trial     bool      // a trial call is under way
}

// allow reports whether a call may be made. Each allowed call is followed by
// one call of done.
func (b *breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openUntil.IsZero() {
		return true
	}
	if b.trial || time.Now().Before(b.openUntil) {
		return false
	}
	b.trial = true
	return true
}

// done tells the result of an allowed call.
func (b *breaker) done(ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trial = false
	if ok {
		b.failed, b.openUntil = 0, time.Time{}
		return
	}
	b.failed++
	if b.failed >= b.failures {
		b.openUntil = time.Now().Add(b.open + rand.N(b.open/2+1))
	}
}

// isOpen reports whether the breaker is open.
func (b *breaker) isOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.openUntil.IsZero()
}

// budget bounds retries to a share of the calls. Units are thousandths of a
// retry.
type budget struct {
	mu    sync.Mutex
	saved int
	share int // earned by each call
	limit int // most that is saved
}

const retryCost = 1000 // thousandths of a retry

func newBudget(percent, burst int) *budget {
	limit := burst * retryCost
	return &budget{saved: limit, share: percent * retryCost / 100, limit: limit}
}

// earn counts a first call.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.share, b.limit)
}

// spend reports whether a retry may be made.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < retryCost {
		return false
	}
	b.saved -= retryCost
	return true
}
