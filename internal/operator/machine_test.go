package operator

import (
	"context"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/mastichollow/mastichollow/internal/fixedseed"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// claimed is what an operator was told about a change.
type claimed struct {
	rows []workspace.Row
	name string // of a row that no other change has
	err  error
}

// TestApplyUnderLostAnswersAndRaces lets several operators plan and apply
// while writes are lost, late or without an answer, and checks what they were
// told against what was committed.
func TestApplyUnderLostAnswersAndRaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		table := newFaultyTable()
		table.choose = func() fate { return fate(rapid.IntRange(0, int(fates)-1).Draw(t, "fate")) }
		table.deaf = func() bool { return rapid.IntRange(0, 3).Draw(t, "deaf") == 0 }
		racing := false
		changes := 0
		var told []claimed
		apply := func(against uint64) {
			changes++
			name := fmt.Sprintf("unique-%d", changes)
			rows := drawRows(t, name)
			_, err := testOperator(table).Apply(ctx, rows, against)
			told = append(told, claimed{rows: rows, name: name, err: err})
		}
		race := func() {
			if racing || !rapid.Bool().Draw(t, "race") {
				return
			}
			racing = true
			defer func() { racing = false }()
			apply(currentVersion(table))
		}
		table.before, table.after = race, race
		planned := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"plan":  func(*rapid.T) { planned = currentVersion(table) },
			"apply": func(*rapid.T) { apply(planned) },
		})
		table.before, table.after = func() {}, func() {}
		table.deaf = func() bool { return false }
		for len(table.late) > 0 {
			table.landLate(ctx)
		}
		checkTold(t, told, table.history)
		checkHistory(t, table.history)
	})
}

func drawRows(t *rapid.T, unique string) []workspace.Row {
	rows := []workspace.Row{testRow(unique, 1)}
	for _, name := range []string{"shop", "letters", "orders"} {
		if rapid.Bool().Draw(t, name) {
			rows = append(rows, testRow(name, float64(rapid.IntRange(1, 3).Draw(t, "weight"))))
		}
	}
	return rows
}

func currentVersion(table *faultyTable) uint64 {
	current, err := testOperator(table).Current(context.Background())
	if err != nil {
		return 0
	}
	return current.Version
}

// checkTold checks that a change that was reported as done was committed once,
// and that one reported as not done never was.
func checkTold(t *rapid.T, told []claimed, history []*workspace.Table) {
	for _, c := range told {
		commits := 0
		for i, table := range history {
			if has(table, c.name) && (i == 0 || !has(history[i-1], c.name)) {
				commits++
			}
		}
		switch {
		case c.err == nil:
			require.Equal(t, 1, commits, "change %s was reported as done", c.name)
		case errors.Is(c.err, ErrUncertain):
			require.LessOrEqual(t, commits, 1, "change %s", c.name)
		default:
			require.Zero(t, commits, "change %s was reported as not done: %v", c.name, c.err)
		}
	}
}

func has(table *workspace.Table, name string) bool {
	for _, row := range table.Rows {
		if row.Name == name {
			return true
		}
	}
	return false
}

// checkHistory checks that versions grow, that each table stands on the one
// before it, and that no row ID is used for two workspaces.
func checkHistory(t *rapid.T, history []*workspace.Table) {
	owners := make(map[workspace.RowID]string)
	gone := make(map[workspace.RowID]bool)
	for i, table := range history {
		if i > 0 {
			before := history[i-1]
			require.Greater(t, table.Version, before.Version)
			require.Equal(t, before.ChangeID, table.Recent[0], "a committed change was lost")
			for _, row := range before.Rows {
				gone[row.ID] = !has(table, row.Name) || gone[row.ID]
			}
		}
		for _, row := range table.Rows {
			owner, used := owners[row.ID]
			require.True(t, !used || owner == row.Name, "row ID %d was given to %q and %q", row.ID, owner, row.Name)
			require.False(t, gone[row.ID], "row ID %d was given again", row.ID)
			owners[row.ID] = row.Name
		}
	}
}
