package workspace

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed marks a stored row that cannot be read.
var ErrMalformed = errors.New("stored workspace table is malformed")

var storedMode = mustStoredMode()

func mustStoredMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  6,
		MaxArrayElements: MaxRows,
		MaxMapPairs:      MaxMarks,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the stored form of t. The version is not part of it: the
// table service gives it.
func (t *Table) Encode() ([]byte, error) {
	stored := *t
	stored.Version = 0
	data, err := cbor.Marshal(&stored)
	return data, errors.Wrap(err, "encoding the workspace table")
}

// Decode decodes the stored form of a table that was committed at version. A
// table that breaks a rule is an error marked ErrMalformed.
func Decode(data []byte, version uint64) (*Table, error) {
	t := &Table{}
	if err := storedMode.Unmarshal(data, t); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "decoding the workspace table of version %d", version), ErrMalformed)
	}
	t.Version = version
	if err := t.check(); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "workspace table of version %d", version), ErrMalformed)
	}
	return t, nil
}

// check checks the rules that every stored table keeps.
func (t *Table) check() error {
	ids := make(map[RowID]bool, len(t.Rows))
	names := make(map[string]bool, len(t.Rows))
	hashes := make(map[string]bool)
	for i := range t.Rows {
		row := &t.Rows[i]
		if row.ID == 0 || row.ID >= t.NextID || ids[row.ID] {
			return errors.Newf("row ID %d of workspace %q was not given once and below %d", row.ID, row.Name, t.NextID)
		}
		if names[row.Name] {
			return errors.Newf("workspace %q stands twice", row.Name)
		}
		ids[row.ID], names[row.Name] = true, true
		if faults := row.faults(hashes); len(faults) > 0 {
			return errors.Newf("workspace %q: column %q: %s", row.Name, faults[0].Column, faults[0].Reason)
		}
	}
	if len(t.Marks) > MaxMarks || len(t.Recent) > MaxRecent {
		return errors.Newf("%d marks of VMs (at most %d), %d change IDs (at most %d)",
			len(t.Marks), MaxMarks, len(t.Recent), MaxRecent)
	}
	for id, mark := range t.Marks {
		if id == "" || (mark != MarkJoining && mark != MarkLeaving) {
			return errors.Newf("VM %q has the unknown mark %q", id, mark)
		}
	}
	return nil
}
