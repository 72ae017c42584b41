package router

import (
	"sync"

	"github.com/mastichollow/mastichollow/internal/workspace"
)

// retryBudget bounds the retries of each workspace to a fraction of its requests, so
// that retries cannot multiply an overload.
type retryBudget struct {
	ratio float64 // retries earned per request
	burst float64 // maximum balance, in retries; also the initial balance

	mu       sync.Mutex
	balances map[workspace.RowID]float64
}

func newRetryBudget(ratio, burst float64) *retryBudget {
	return &retryBudget{ratio: ratio, burst: burst, balances: make(map[workspace.RowID]float64)}
}

// earn credits a request.
func (b *retryBudget) earn(row workspace.RowID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balances[row] = min(b.balance(row)+b.ratio, b.burst)
}

// spend consumes one retry. It reports false if the balance is below one.
func (b *retryBudget) spend(row workspace.RowID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balance(row)
	if balance < 1 {
		return false
	}
	b.balances[row] = balance - 1
	return true
}

// balance returns the retries that row may make now. The caller holds b.mu.
func (b *retryBudget) balance(row workspace.RowID) float64 {
	if balance, ok := b.balances[row]; ok {
		return balance
	}
	return b.burst
}
