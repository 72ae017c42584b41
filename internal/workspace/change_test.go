package workspace

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/mastichollow/mastichollow/internal/fixedseed"
)

func TestRowIDsAreNeverUsedAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		owners := make(map[RowID]string)
		gone := make(map[RowID]bool)
		for version := range uint64(rapid.IntRange(1, 8).Draw(t, "changes")) {
			next, err := table.Apply(Change{Against: table.Version, HasRows: true, Rows: drawRows(t)})
			require.NoError(t, err)
			kept := next.byName()
			for _, row := range table.Rows {
				after, stays := kept[row.Name]
				require.True(t, !stays || after.ID == row.ID, "workspace %q changed its row ID", row.Name)
				gone[row.ID] = gone[row.ID] || !stays
			}
			for _, row := range next.Rows {
				owner, used := owners[row.ID]
				require.True(t, !used || owner == row.Name)
				require.False(t, gone[row.ID], "row ID %d was given again", row.ID)
				owners[row.ID] = row.Name
			}
			data, err := next.Encode()
			require.NoError(t, err)
			table, err = Decode(data, version+1)
			require.NoError(t, err)
		}
	})
}

func TestApplyRefusesAnotherVersion(t *testing.T) {
	table := New()
	table.Version = 4
	_, err := table.Apply(Change{Against: 3})
	require.ErrorIs(t, err, ErrVersion)
	require.ErrorContains(t, err, "version 3")
	require.ErrorContains(t, err, "version 4")
}

func TestApplyLeavesTheOldTableAlone(t *testing.T) {
	old, err := New().Apply(Change{HasRows: true, Rows: []Row{testRow("a")}, Marks: map[string]Mark{"vm": MarkJoining}})
	require.NoError(t, err)
	_, err = old.Apply(Change{HasRows: true, Rows: []Row{testRow("b")}, Marks: map[string]Mark{"vm": MarkLeaving}})
	require.NoError(t, err)
	require.Equal(t, "a", old.Rows[0].Name)
	require.Equal(t, map[string]Mark{"vm": MarkJoining}, old.Marks)
}

func TestLeavingMarkStays(t *testing.T) {
	for _, mark := range []Mark{MarkJoining, ""} {
		table, err := New().Apply(Change{Marks: map[string]Mark{"vm": MarkLeaving}})
		require.NoError(t, err)
		_, err = table.Apply(Change{Marks: map[string]Mark{"vm": mark}})
		require.ErrorIs(t, err, ErrMark)
	}
}

func TestTableRemembersChanges(t *testing.T) {
	table := New()
	ids := []string{"c1", "c2", "c3"}
	for _, id := range ids {
		var err error
		table, err = table.Apply(Change{ID: id})
		require.NoError(t, err)
	}
	for _, id := range ids {
		require.True(t, table.Includes(id), id)
	}
	require.False(t, table.Includes("c4"))
	require.False(t, New().Includes(""))
	for range 2 * MaxRecent {
		var err error
		table, err = table.Apply(Change{ID: "more"})
		require.NoError(t, err)
	}
	require.Len(t, table.Recent, MaxRecent)
}

func TestApplyRefusesTooMuch(t *testing.T) {
	marks := make(map[string]Mark)
	for i := range MaxMarks + 1 {
		marks[string(rune('a'+i))] = MarkLeaving
	}
	_, err := New().Apply(Change{Marks: marks})
	require.Error(t, err)
	_, err = New().Apply(Change{HasRows: true, Rows: make([]Row, MaxRows+1)})
	require.ErrorIs(t, err, ErrTooManyRows)
}

func TestDecodeRefusesTablesThatBreakARule(t *testing.T) {
	twice := testRow("a")
	twice.ID = 2
	for name, table := range map[string]Table{
		"row ID 0":           {NextID: 2, Rows: []Row{testRow("a")}},
		"row ID not given":   {NextID: 1, Rows: []Row{withID(testRow("a"), 1)}},
		"row ID twice":       {NextID: 2, Rows: []Row{withID(testRow("a"), 1), withID(testRow("b"), 1)}},
		"workspace twice":    {NextID: 3, Rows: []Row{withID(testRow("a"), 1), twice}},
		"weight 0":           {NextID: 2, Rows: []Row{{ID: 1, Name: "a", QueueLimit: 1, Pools: []string{"*"}}}},
		"unknown mark":       {NextID: 1, Marks: map[string]Mark{"vm": "sleeping"}},
		"mark without a VM":  {NextID: 1, Marks: map[string]Mark{"": MarkLeaving}},
		"too many change ID": {NextID: 1, Recent: make([]string, MaxRecent+1)},
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
	table, err := New().Apply(Change{
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
