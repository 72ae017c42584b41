package workspace

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// Errors of a change.
var (
	// ErrVersion marks a change that was planned against another version.
	ErrVersion = errors.New("change was planned against another version of the table")
	// ErrMark marks a mark that the rules forbid.
	ErrMark = errors.New("mark is not allowed")
	// ErrTooManyRows marks a table over MaxRows.
	ErrTooManyRows = errors.New("table has too many rows")
)

// Change is an operator's change of the table: the whole set of rows, or marks
// of VMs, or both.
type Change struct {
	ID      string // unique; by it a write whose answer was lost is recognised
	Against uint64 // version that the change was planned against, 0: no table
	// Rows replaces all rows when HasRows is set. IDs in it are ignored.
	Rows    []Row
	HasRows bool
	// Marks are added to those of the table. An empty mark removes one.
	Marks map[string]Mark
}

// New returns the empty table that stands before the first change.
func New() *Table {
	return &Table{NextID: 1, Marks: make(map[string]Mark)}
}

// Apply returns the table with change applied. Its version is not known before
// it is committed and stands at 0. A row keeps its ID as long as its workspace
// keeps its name; the ID of a removed row is never given again.
func (t *Table) Apply(change Change) (*Table, error) {
	if change.Against != t.Version {
		return nil, errors.Wrapf(ErrVersion, "change against version %d, table has version %d", change.Against, t.Version)
	}
	next := &Table{
		ChangeID: change.ID,
		NextID:   t.NextID,
		Rows:     slices.Clone(t.Rows),
		Marks:    maps.Clone(t.Marks),
	}
	if next.Marks == nil {
		next.Marks = make(map[string]Mark)
	}
	if t.ChangeID != "" {
		next.Recent = append([]string{t.ChangeID}, t.Recent[:min(len(t.Recent), MaxRecent-1)]...)
	}
	if change.HasRows {
		next.replaceRows(change.Rows)
	}
	if len(next.Rows) > MaxRows {
		return nil, errors.Wrapf(ErrTooManyRows, "%d rows are more than %d", len(next.Rows), MaxRows)
	}
	for id, mark := range change.Marks {
		if err := next.mark(id, mark); err != nil {
			return nil, err
		}
	}
	return next, next.check()
}

// replaceRows replaces the rows, keeping the IDs of workspaces that stay.
func (t *Table) replaceRows(rows []Row) {
	ids := make(map[string]RowID, len(t.Rows))
	for _, row := range t.Rows {
		ids[row.Name] = row.ID
	}
	t.Rows = slices.Clone(rows)
	for i := range t.Rows {
		id, known := ids[t.Rows[i].Name]
		if !known {
			id = t.NextID
			t.NextID++
		}
		t.Rows[i].ID = id
	}
}

// mark marks a VM. A VM that was marked leaving stays so under its ID.
func (t *Table) mark(id string, mark Mark) error {
	old := t.Marks[id]
	switch {
	case id == "":
		return errors.Wrap(ErrMark, "VM without an ID")
	case mark != MarkLeaving && old == MarkLeaving:
		return errors.Wrapf(ErrMark, "VM %q was marked leaving and stays so under its ID", id)
	case mark == "":
		delete(t.Marks, id)
	default:
		t.Marks[id] = mark
	}
	return nil
}

// Kind tells how a row or mark differs.
type Kind string

// Kinds of differences.
const (
	Added   Kind = "add"
	Removed Kind = "remove"
	Changed Kind = "change"
)

// Difference is one difference between two tables.
type Difference struct {
	Kind   Kind   `json:"kind"`
	Row    string `json:"row,omitempty"`    // name of the workspace
	VM     string `json:"vm,omitempty"`     // or ID of the VM
	Column string `json:"column,omitempty"` // of a changed row
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
}

// String returns the difference as one line.
func (d Difference) String() string {
	what := "workspace " + d.Row
	if d.VM != "" {
		what = "VM " + d.VM
	}
	if d.Kind == Changed {
		return fmt.Sprintf("%s %s: %s %q -> %q", d.Kind, what, d.Column, d.Old, d.New)
	}
	return fmt.Sprintf("%s %s", d.Kind, what)
}

// Diff returns the differences from old to next, by name.
func Diff(old, next *Table) []Difference {
	return append(diffRows(old, next), diffMarks(old, next)...)
}

func diffRows(old, next *Table) []Difference {
	before, after := old.byName(), next.byName()
	var diffs []Difference
	for _, name := range sortedKeys(before, after) {
		a, inOld := before[name]
		b, inNext := after[name]
		switch {
		case !inOld:
			diffs = append(diffs, Difference{Kind: Added, Row: name})
		case !inNext:
			diffs = append(diffs, Difference{Kind: Removed, Row: name})
		default:
			diffs = append(diffs, diffRow(a, b)...)
		}
	}
	return diffs
}

func diffRow(a, b Row) []Difference {
	var diffs []Difference
	old, next := a.cells(), b.cells()
	for i, column := range Columns {
		if old[i] != next[i] {
			diffs = append(diffs, Difference{Kind: Changed, Row: a.Name, Column: column, Old: old[i], New: next[i]})
		}
	}
	return diffs
}

func diffMarks(old, next *Table) []Difference {
	var diffs []Difference
	for _, id := range sortedKeys(old.Marks, next.Marks) {
		if a, b := old.Marks[id], next.Marks[id]; a != b {
			diffs = append(diffs, Difference{Kind: Changed, VM: id, Column: "mark", Old: string(a), New: string(b)})
		}
	}
	return diffs
}

// byName returns the rows by name.
func (t *Table) byName() map[string]Row {
	rows := make(map[string]Row, len(t.Rows))
	for _, row := range t.Rows {
		rows[row.Name] = row
	}
	return rows
}

// sortedKeys returns the keys of both maps in order.
func sortedKeys[V any](a, b map[string]V) []string {
	keys := slices.Collect(maps.Keys(a))
	for key := range b {
		if _, ok := a[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
