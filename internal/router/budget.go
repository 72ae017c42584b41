package router

import (
	"sync"

	"github.com/mastichollow/mastichollow/internal/workspace"
)

// retryBudget bounds the retries of each workspace by a share of its requests,
// so that retries cannot multiply an overload.
type retryBudget struct {
	ratio float64 // retries earned per request
	burst float64 // retries saved up at most

	mu     sync.Mutex
	tokens map[workspace.RowID]float64
}

func newRetryBudget(ratio, burst float64) *retryBudget {
	return &retryBudget{ratio: ratio, burst: burst, tokens: make(map[workspace.RowID]float64)}
}

// earn counts a request.
func (b *retryBudget) earn(row workspace.RowID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[row] = min(b.saved(row)+b.ratio, b.burst)
}

// take spends one retry and reports whether there was one.
func (b *retryBudget) take(row workspace.RowID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	saved := b.saved(row)
	if saved < 1 {
		return false
	}
	b.tokens[row] = saved - 1
	return true
}

// saved returns the retries of row. b.mu is held.
func (b *retryBudget) saved(row workspace.RowID) float64 {
	if saved, ok := b.tokens[row]; ok {
		return saved
	}
	return b.burst
}
