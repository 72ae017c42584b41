package workspace

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed marks a stored table that cannot be decoded or breaks a rule.
var ErrMalformed = errors.New("stored workspace table is malformed")

var decodeMode = mustDecodeMode()

func mustDecodeMode() cbor.DecMode {
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

// Encode returns the stored form of t. It omits the version, which the table service
// assigns.
func (t *Table) Encode() ([]byte, error) {
	stored := *t
	stored.Version = 0
	data, err := cbor.Marshal(&stored)
	return data, errors.Wrap(err, "encoding the workspace table")
}

// Decode decodes the stored form of a table that was committed at version. Its errors are
// marked ErrMalformed.
func Decode(data []byte, version uint64) (*Table, error) {
	t := &Table{}
	if err := decodeMode.Unmarshal(data, t); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "decoding the workspace table of version %d", version), ErrMalformed)
	}
	t.Version = version
	if err := t.validate(); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "workspace table of version %d", version), ErrMalformed)
	}
	return t, nil
}

// validate returns an error for the first rule of stored tables that t breaks.
func (t *Table) validate() error {
	seenIDs := make(map[RowID]bool, len(t.Rows))
	seenNames := make(map[string]bool, len(t.Rows))
	seenHashes := make(map[string]bool)
	for i := range t.Rows {
		row := &t.Rows[i]
		if row.ID == 0 || row.ID >= t.NextID || seenIDs[row.ID] {
			return errors.Newf("row ID %d of workspace %q is zero, duplicated or not below the next ID %d", row.ID, row.Name, t.NextID)
		}
		if seenNames[row.Name] {
			return errors.Newf("workspace %q is duplicated", row.Name)
		}
		seenIDs[row.ID], seenNames[row.Name] = true, true
		if faults := row.validate(seenHashes); len(faults) > 0 {
			return errors.Newf("workspace %q: column %q: %s", row.Name, faults[0].Column, faults[0].Reason)
		}
	}
	if len(t.Marks) > MaxMarks || len(t.Recent) > MaxRecentChanges {
		return errors.Newf("%d marks of VMs (at most %d), %d change IDs (at most %d)",
			len(t.Marks), MaxMarks, len(t.Recent), MaxRecentChanges)
	}
	for id, mark := range t.Marks {
		if id == "" || (mark != MarkJoining && mark != MarkLeaving) {
			return errors.Newf("VM %q has unknown mark %q", id, mark)
		}
	}
	return nil
}
