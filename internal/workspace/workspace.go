// Package workspace defines the workspace table: one row per workspace with its keys,
// weight and limits, and the marks that operators set on VMs. The table is stored as CBOR
// and exchanged with operators as CSV.
//
// Invariant: a table has one version, which the table service assigns on commit. Versions
// only increase; a process replaces its table only by one of a higher version.
package workspace

import "slices"

// RowID is the short identifier of a workspace in reports between processes. It is
// assigned when the row is first applied and never reused.
type RowID uint32

// Row configures one workspace.
type Row struct {
	ID          RowID    `cbor:"1,keyasint" json:"id"`
	Name        string   `cbor:"2,keyasint" json:"name"`
	KeyHashes   []string `cbor:"3,keyasint" json:"key_hashes"`  // hex SHA-256 of each API key
	Weight      float64  `cbor:"4,keyasint" json:"weight"`      // relative weight of its share of a pool, > 0
	RateLimit   float64  `cbor:"5,keyasint" json:"rate_limit"`  // requests/s in the whole fleet, 0: no limit
	Concurrency int      `cbor:"6,keyasint" json:"concurrency"` // running requests in the whole fleet, 0: no limit
	QueueLimit  int      `cbor:"7,keyasint" json:"queue_limit"` // queued requests per pool in the whole fleet, > 0
	Pools       []string `cbor:"8,keyasint" json:"pools"`       // models and services that it may call; "*": all
}

// Allows reports whether the workspace may call pool.
func (r *Row) Allows(pool string) bool {
	for _, p := range r.Pools {
		if p == pool || p == "*" {
			return true
		}
	}
	return false
}

// Mark is a lifecycle state that an operator set for a VM.
type Mark string

// Marks on VMs.
const (
	MarkJoining Mark = "joining"
	MarkLeaving Mark = "leaving"
)

// Table is the operators' configuration at one version. A Table that has been
// published is immutable.
type Table struct {
	Version  uint64          `cbor:"1,keyasint" json:"version"`
	ChangeID string          `cbor:"2,keyasint" json:"change_id"`
	NextID   RowID           `cbor:"3,keyasint" json:"next_id"`
	Rows     []Row           `cbor:"4,keyasint" json:"rows"`
	Marks    map[string]Mark `cbor:"5,keyasint" json:"marks"` // by VM ID
	// Recent holds the IDs of the changes before ChangeID, newest first. They show that a
	// change was committed even when others were committed after it.
	Recent []string `cbor:"6,keyasint,omitempty" json:"recent,omitempty"`
}

// IncludesChange reports whether the change with the given ID is part of t, among the last
// MaxRecentChanges changes before the newest.
func (t *Table) IncludesChange(changeID string) bool {
	return changeID != "" && (t.ChangeID == changeID || slices.Contains(t.Recent, changeID))
}
