package workspace

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/mastichollow/mastichollow/internal/fixedseed"
)

func TestApplyNeverReusesRowIDs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		owners := make(map[RowID]string)
		removed := make(map[RowID]bool)
		for version := range uint64(rapid.IntRange(1, 8).Draw(t, "changes")) {
			next, err := table.Apply(Change{BaseVersion: table.Version, HasRows: true, Rows: randomRows(t)})
			require.NoError(t, err)
			nextRows := next.rowsByName()
			for _, row := range table.Rows {
				after, stays := nextRows[row.Name]
				require.True(t, !stays || after.ID == row.ID, "workspace %q changed its row ID", row.Name)
				removed[row.ID] = removed[row.ID] || !stays
			}
			for _, row := range next.Rows {
				owner, used := owners[row.ID]
				require.True(t, !used || owner == row.Name)
				require.False(t, removed[row.ID], "row ID %d was reused", row.ID)
				owners[row.ID] = row.Name
			}
			data, err := next.Encode()
			require.NoError(t, err)
			table, err = Decode(data, version+1)
			require.NoError(t, err)
		}
	})
}

func TestApplyVersionMismatch(t *testing.T) {
	table := NewTable()
	table.Version = 4
	_, err := table.Apply(Change{BaseVersion: 3})
	require.ErrorIs(t, err, ErrVersionMismatch)
	require.ErrorContains(t, err, "version 3")
	require.ErrorContains(t, err, "version 4")
}

func TestApplyDoesNotModifyBaseTable(t *testing.T) {
	old, err := NewTable().Apply(Change{HasRows: true, Rows: []Row{testRow("a")}, Marks: map[string]Mark{"vm": MarkJoining}})
	require.NoError(t, err)
	_, err = old.Apply(Change{HasRows: true, Rows: []Row{testRow("b")}, Marks: map[string]Mark{"vm": MarkLeaving}})
	require.NoError(t, err)
	require.Equal(t, "a", old.Rows[0].Name)
	require.Equal(t, map[string]Mark{"vm": MarkJoining}, old.Marks)
}

func TestLeavingMarkIrrevocable(t *testing.T) {
	for _, mark := range []Mark{MarkJoining, ""} {
		table, err := NewTable().Apply(Change{Marks: map[string]Mark{"vm": MarkLeaving}})
		require.NoError(t, err)
		_, err = table.Apply(Change{Marks: map[string]Mark{"vm": mark}})
		require.ErrorIs(t, err, ErrMarkNotAllowed)
	}
}

func TestIncludesChange(t *testing.T) {
	table := NewTable()
	ids := []string{"c1", "c2", "c3"}
	for _, id := range ids {
		var err error
		table, err = table.Apply(Change{ID: id})
		require.NoError(t, err)
	}
	for _, id := range ids {
		require.True(t, table.IncludesChange(id), id)
	}
	require.False(t, table.IncludesChange("c4"))
	require.False(t, NewTable().IncludesChange(""))
	for range 2 * MaxRecentChanges {
		var err error
		table, err = table.Apply(Change{ID: "more"})
		require.NoError(t, err)
	}
	require.Len(t, table.Recent, MaxRecentChanges)
}

func TestApplySizeLimits(t *testing.T) {
	marks := make(map[string]Mark)
	for i := range MaxMarks + 1 {
		marks[string(rune('a'+i))] = MarkLeaving
	}
	_, err := NewTable().Apply(Change{Marks: marks})
	require.Error(t, err)
	_, err = NewTable().Apply(Change{HasRows: true, Rows: make([]Row, MaxRows+1)})
	require.ErrorIs(t, err, ErrTooManyRows)
}

func TestDecodeInvalidTable(t *testing.T) {
	duplicateName := testRow("a")
	duplicateName.ID = 2
	for name, table := range map[string]Table{
		"row ID 0":                     {NextID: 2, Rows: []Row{testRow("a")}},
		"row ID not below the next ID": {NextID: 1, Rows: []Row{withID(testRow("a"), 1)}},
		"duplicate row ID":             {NextID: 2, Rows: []Row{withID(testRow("a"), 1), withID(testRow("b"), 1)}},
		"duplicate workspace":          {NextID: 3, Rows: []Row{withID(testRow("a"), 1), duplicateName}},
		"weight 0":                     {NextID: 2, Rows: []Row{{ID: 1, Name: "a", QueueLimit: 1, Pools: []string{"*"}}}},
		"unknown mark":                 {NextID: 1, Marks: map[string]Mark{"vm": "sleeping"}},
		"mark without a VM":            {NextID: 1, Marks: map[string]Mark{"": MarkLeaving}},
		"too many change IDs":          {NextID: 1, Recent: make([]string, MaxRecentChanges+1)},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := table.Encode()
			require.NoError(t, err)
			_, err = Decode(data, 1)
			require.True(t, errors.Is(err, ErrMalformed), "%v", err)
		})
	}
}

func testRow(name string) Row {
	return Row{Name: name, Weight: 1, QueueLimit: 1, Pools: []string{"*"}}
}

func withID(row Row, id RowID) Row {
	row.ID = id
	return row
}

func FuzzDecode(f *testing.F) {
	table, err := NewTable().Apply(Change{
		ID: "c", HasRows: true, Rows: []Row{testRow("a")}, Marks: map[string]Mark{"vm": MarkLeaving},
	})
	require.NoError(f, err)
	data, err := table.Encode()
	require.NoError(f, err)
	f.Add(data)
	f.Add(data[:len(data)-1])
	f.Add([]byte{0xa1, 0x04, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xbf})
	f.Fuzz(func(t *testing.T, data []byte) {
		table, err := Decode(data, 7)
		if err != nil {
			require.True(t, errors.Is(err, ErrMalformed), "%v", err)
			return
		}
		require.Equal(t, uint64(7), table.Version)
		again, err := table.Encode()
		require.NoError(t, err)
		_, err = Decode(again, 7)
		require.NoError(t, err)
	})
}
