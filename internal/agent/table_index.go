package agent

import (
	"sync"

	"github.com/mastichollow/mastichollow/internal/fairness"
	"github.com/mastichollow/mastichollow/internal/fleet"
	"github.com/mastichollow/mastichollow/internal/limit"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// tableIndex finds rows of the workspace table in force. It updates the weights
// of the ledger and the limits when the table changes.
type tableIndex struct {
	store  *fleet.Store
	ledger *fairness.Ledger
	limits *limit.ConcurrencyLimiter

	mu    sync.Mutex
	table *workspace.Table
	rows  map[workspace.RowID]*workspace.Row
}

func newTableIndex(store *fleet.Store, ledger *fairness.Ledger, limits *limit.ConcurrencyLimiter) *tableIndex {
	return &tableIndex{store: store, ledger: ledger, limits: limits}
}

// row returns the row of ws, or nil.
func (t *tableIndex) row(ws workspace.RowID) *workspace.Row {
	t.refresh()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[ws]
}

// refresh indexes the table in force if it has changed.
func (t *tableIndex) refresh() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if table := t.store.Snapshot().Table; table != t.table {
		t.index(table)
	}
}

// index indexes table and applies its weights and limits. t.mu is held.
func (t *tableIndex) index(table *workspace.Table) {
	t.table = table
	t.rows = make(map[workspace.RowID]*workspace.Row, len(table.Rows))
	weights := make(map[workspace.RowID]float64, len(table.Rows))
	concurrencyLimits := make(map[workspace.RowID]int, len(table.Rows))
	limits := make(map[workspace.RowID]limit.Limits, len(table.Rows))
	for i := range table.Rows {
		row := &table.Rows[i]
		t.rows[row.ID] = row
		weights[row.ID] = row.Weight
		concurrencyLimits[row.ID] = row.Concurrency
		limits[row.ID] = limit.LimitsOf(row)
	}
	t.ledger.SetWeights(weights)
	t.ledger.SetConcurrencyLimits(concurrencyLimits)
	t.limits.SetLimits(limits)
}
