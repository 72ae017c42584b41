package agent

import (
	"sync"

	"github.com/mastichollow/mastichollow/internal/fairness"
	"github.com/mastichollow/mastichollow/internal/fleet"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// tableIndex finds the rows of the workspace table in force and keeps the
// ledger's weights in step with it.
type tableIndex struct {
	store  *fleet.Store
	ledger *fairness.Ledger

	mu    sync.Mutex
	table *workspace.Table
	rows  map[workspace.RowID]*workspace.Row
}

func newTableIndex(store *fleet.Store, ledger *fairness.Ledger) *tableIndex {
	return &tableIndex{store: store, ledger: ledger}
}

// row returns the row of ws, or nil.
func (t *tableIndex) row(ws workspace.RowID) *workspace.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	if table := t.store.Snapshot().Table; table != t.table {
		t.load(table)
	}
	return t.rows[ws]
}

// load indexes table. t.mu is held.
func (t *tableIndex) load(table *workspace.Table) {
	t.table = table
	t.rows = make(map[workspace.RowID]*workspace.Row, len(table.Rows))
	weights := make(map[workspace.RowID]float64, len(table.Rows))
	for i := range table.Rows {
		row := &table.Rows[i]
		t.rows[row.ID] = row
		weights[row.ID] = row.Weight
	}
	t.ledger.SetWeights(weights)
}
