// Package workspace holds the workspace table: one row per workspace with its
// keys, weight and limits, and the marks that operators put on VMs.
//
// Invariant: a table has one version, given by the table service when it was
// committed. Versions only grow; a process replaces its table only by one of a
// higher version.
package workspace

import "slices"

// RowID is the small number that stands for a workspace in reports between
// processes. It is given when the row is first applied and never used again.
type RowID uint32

// Row declares one workspace.
type Row struct {
	ID          RowID    `cbor:"1,keyasint" json:"id"`
	Name        string   `cbor:"2,keyasint" json:"name"`
	KeyHashes   []string `cbor:"3,keyasint" json:"key_hashes"`  // hex SHA-256 of each API key
	Weight      float64  `cbor:"4,keyasint" json:"weight"`      // share of the pool, > 0
	RateLimit   float64  `cbor:"5,keyasint" json:"rate_limit"`  // requests/s over the fleet, 0: none
	Concurrency int      `cbor:"6,keyasint" json:"concurrency"` // running requests over the fleet, 0: none
	QueueLimit  int      `cbor:"7,keyasint" json:"queue_limit"` // waiting requests per pool over the fleet, > 0
	Pools       []string `cbor:"8,keyasint" json:"pools"`       // models and services that it may call
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

// Mark is an operator's statement about a VM.
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
	// Recent are the IDs of the changes before ChangeID, the newest first. By
	// them a change is recognised after others were committed on top of it.
	Recent []string `cbor:"6,keyasint,omitempty" json:"recent,omitempty"`
}

// Includes reports whether the change with the given ID led to t, as far back
// as t remembers.
func (t *Table) Includes(changeID string) bool {
	return changeID != "" && (t.ChangeID == changeID || slices.Contains(t.Recent, changeID))
}
