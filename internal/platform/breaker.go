package platform

import (
	"math/rand/v2"
	"sync"
	"time"
)

// breaker is a circuit breaker. It opens after failureThreshold consecutive failures and
// rejects all calls for openDuration, extended at random by up to half. Then it admits
// one trial call at a time until one succeeds.
type breaker struct {
	failureThreshold int           // consecutive failures
	openDuration     time.Duration // minimum time between opening and the first trial call

	mu                  sync.Mutex
	consecutiveFailures int
	openUntil           time.Time // zero: closed
	trialInFlight       bool      // a trial call is in flight
}

// allow reports whether a call may be made. Each allowed call must be followed by one
// call of record.
func (b *breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openUntil.IsZero() {
		return true
	}
	if b.trialInFlight || time.Now().Before(b.openUntil) {
		return false
	}
	b.trialInFlight = true
	return true
}

// record records whether an allowed call succeeded.
func (b *breaker) record(ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trialInFlight = false
	if ok {
		b.consecutiveFailures, b.openUntil = 0, time.Time{}
		return
	}
	b.consecutiveFailures++
	if b.consecutiveFailures >= b.failureThreshold {
		b.openUntil = time.Now().Add(b.openDuration + rand.N(b.openDuration/2+1))
	}
}

// isOpen reports whether the breaker is open.
func (b *breaker) isOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.openUntil.IsZero()
}

// retryBudget limits retries to a share of the calls: each first call deposits a part of
// a retry, each retry withdraws a whole one. Amounts are thousandths of a retry.
type retryBudget struct {
	mu         sync.Mutex
	balance    int
	perCall    int // deposited by each first call
	maxBalance int // largest balance, which bounds a burst of retries
}

const retryCost = 1000 // thousandths of a retry

func newRetryBudget(percent, burst int) *retryBudget {
	maxBalance := burst * retryCost
	return &retryBudget{balance: maxBalance, perCall: percent * retryCost / 100, maxBalance: maxBalance}
}

// deposit adds the share of one first call.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+b.perCall, b.maxBalance)
}

// withdraw reports whether a retry may be made and deducts it.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < retryCost {
		return false
	}
	b.balance -= retryCost
	return true
}
