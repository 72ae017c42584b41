package workspace

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// Errors of a change.
var (
	// ErrVersionMismatch marks a change whose base version is not the version of the table.
	ErrVersionMismatch = errors.New("change was planned against another version of the table")
	// ErrMarkNotAllowed marks a mark that the rules forbid.
	ErrMarkNotAllowed = errors.New("mark is not allowed")
	// ErrTooManyRows marks a table with more than MaxRows rows.
	ErrTooManyRows = errors.New("table has too many rows")
)

// Change is an operator's change of the table: a full replacement of the rows, marks of
// VMs, or both.
type Change struct {
	ID          string // unique; shows whether a write took effect whose response was lost
	BaseVersion uint64 // version that the change was planned against; 0: no table
	// Rows replaces all rows when HasRows is set. IDs in it are ignored.
	Rows    []Row
	HasRows bool
	// Marks are merged into those of the table, by VM ID. An empty mark removes one.
	Marks map[string]Mark
}

// NewTable returns the empty table of version 0, which the first change is applied to.
func NewTable() *Table {
	return &Table{NextID: 1, Marks: make(map[string]Mark)}
}

// Apply returns a copy of the table with change applied. Its version is 0, since the table
// service assigns one on commit. A row keeps its ID as long as its workspace keeps its
// name; the ID of a removed row is never reused.
func (t *Table) Apply(change Change) (*Table, error) {
	if change.BaseVersion != t.Version {
		return nil, errors.Wrapf(ErrVersionMismatch, "change was planned against version %d, but the table has version %d", change.BaseVersion, t.Version)
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
		next.Recent = append([]string{t.ChangeID}, t.Recent[:min(len(t.Recent), MaxRecentChanges-1)]...)
	}
	if change.HasRows {
		next.replaceRows(change.Rows)
	}
	if len(next.Rows) > MaxRows {
		return nil, errors.Wrapf(ErrTooManyRows, "%d rows exceed the maximum of %d", len(next.Rows), MaxRows)
	}
	for id, mark := range change.Marks {
		if err := next.setMark(id, mark); err != nil {
			return nil, err
		}
	}
	return next, next.validate()
}

// replaceRows replaces the rows. Workspaces that are in both keep their IDs.
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

// setMark sets the mark of a VM, or removes it. MarkLeaving is irrevocable for a VM ID.
func (t *Table) setMark(id string, mark Mark) error {
	current := t.Marks[id]
	switch {
	case id == "":
		return errors.Wrap(ErrMarkNotAllowed, "VM has no ID")
	case mark != MarkLeaving && current == MarkLeaving:
		return errors.Wrapf(ErrMarkNotAllowed, "VM %q is marked leaving, which is irrevocable for its ID", id)
	case mark == "":
		delete(t.Marks, id)
	default:
		t.Marks[id] = mark
	}
	return nil
}

// DifferenceKind says how a row or mark differs.
type DifferenceKind string

// Kinds of differences.
const (
	Added   DifferenceKind = "add"
	Removed DifferenceKind = "remove"
	Changed DifferenceKind = "change"
)

// Difference is one difference between two tables.
type Difference struct {
	Kind   DifferenceKind `json:"kind"`
	Row    string         `json:"row,omitempty"`    // workspace name
	VM     string         `json:"vm,omitempty"`     // VM ID, when the difference is in a mark
	Column string         `json:"column,omitempty"` // changed column, or "mark"
	Old    string         `json:"old,omitempty"`
	New    string         `json:"new,omitempty"`
}

// String returns the difference as one line.
func (d Difference) String() string {
	subject := "workspace " + d.Row
	if d.VM != "" {
		subject = "VM " + d.VM
	}
	if d.Kind == Changed {
		return fmt.Sprintf("%s %s: %s %q -> %q", d.Kind, subject, d.Column, d.Old, d.New)
	}
	return fmt.Sprintf("%s %s", d.Kind, subject)
}

// Diff returns the differences from old to next: those of rows sorted by name and column
// order, then those of marks sorted by VM ID.
func Diff(old, next *Table) []Difference {
	return append(diffRows(old, next), diffMarks(old, next)...)
}

func diffRows(old, next *Table) []Difference {
	oldRows, newRows := old.rowsByName(), next.rowsByName()
	var diffs []Difference
	for _, name := range sortedUnionOfKeys(oldRows, newRows) {
		oldRow, inOld := oldRows[name]
		newRow, inNext := newRows[name]
		switch {
		case !inOld:
			diffs = append(diffs, Difference{Kind: Added, Row: name})
		case !inNext:
			diffs = append(diffs, Difference{Kind: Removed, Row: name})
		default:
			diffs = append(diffs, diffRow(oldRow, newRow)...)
		}
	}
	return diffs
}

func diffRow(oldRow, newRow Row) []Difference {
	var diffs []Difference
	oldCells, newCells := oldRow.cells(), newRow.cells()
	for i, column := range Columns {
		if oldCells[i] != newCells[i] {
			diffs = append(diffs, Difference{Kind: Changed, Row: oldRow.Name, Column: column, Old: oldCells[i], New: newCells[i]})
		}
	}
	return diffs
}

func diffMarks(old, next *Table) []Difference {
	var diffs []Difference
	for _, id := range sortedUnionOfKeys(old.Marks, next.Marks) {
		if oldMark, newMark := old.Marks[id], next.Marks[id]; oldMark != newMark {
			diffs = append(diffs, Difference{Kind: Changed, VM: id, Column: "mark", Old: string(oldMark), New: string(newMark)})
		}
	}
	return diffs
}

func (t *Table) rowsByName() map[string]Row {
	rows := make(map[string]Row, len(t.Rows))
	for _, row := range t.Rows {
		rows[row.Name] = row
	}
	return rows
}

// sortedUnionOfKeys returns the keys of both maps, each once, sorted.
func sortedUnionOfKeys[V any](a, b map[string]V) []string {
	keys := slices.Collect(maps.Keys(a))
	for key := range b {
		if _, ok := a[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
