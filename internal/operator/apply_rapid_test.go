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

// reportedChange is the result of a change as reported to an operator.
type reportedChange struct {
	rows       []workspace.Row
	uniqueName string // name of a row that no other change has
	err        error
}

// TestApplyWithWriteFaultsAndRaces runs concurrent plans and changes while writes are lost
// or delayed or their responses are lost. It compares the reported results with the
// committed tables.
func TestApplyWithWriteFaultsAndRaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		table := newFaultyTable()
		table.chooseOutcome = func() writeOutcome {
			return writeOutcome(rapid.IntRange(0, int(outcomeCount)-1).Draw(t, "write outcome"))
		}
		table.failRead = func() bool { return rapid.IntRange(0, 3).Draw(t, "read fails") == 0 }
		racing := false
		changes := 0
		var reported []reportedChange
		apply := func(baseVersion uint64) {
			changes++
			name := fmt.Sprintf("unique-%d", changes)
			rows := randomRows(t, name)
			_, err := testOperator(table).Apply(ctx, rows, baseVersion)
			reported = append(reported, reportedChange{rows: rows, uniqueName: name, err: err})
		}
		race := func() {
			if racing || !rapid.Bool().Draw(t, "race") {
				return
			}
			racing = true
			defer func() { racing = false }()
			apply(currentVersion(table))
		}
		table.beforeWrite, table.afterWrite = race, race
		plannedVersion := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"plan":  func(*rapid.T) { plannedVersion = currentVersion(table) },
			"apply": func(*rapid.T) { apply(plannedVersion) },
		})
		table.beforeWrite, table.afterWrite = func() {}, func() {}
		table.failRead = func() bool { return false }
		for len(table.delayed) > 0 {
			table.applyDelayed(ctx)
		}
		checkReported(t, reported, table.history)
		checkHistory(t, table.history)
	})
}

func randomRows(t *rapid.T, unique string) []workspace.Row {
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

// checkReported checks that a change reported as applied was committed exactly once, one
// reported as uncertain at most once, and one reported as not applied never.
func checkReported(t *rapid.T, reported []reportedChange, history []*workspace.Table) {
	for _, c := range reported {
		commits := 0
		for i, table := range history {
			if hasRow(table, c.uniqueName) && (i == 0 || !hasRow(history[i-1], c.uniqueName)) {
				commits++
			}
		}
		switch {
		case c.err == nil:
			require.Equal(t, 1, commits, "change %s was reported as applied", c.uniqueName)
		case errors.Is(c.err, ErrUncertain):
			require.LessOrEqual(t, commits, 1, "change %s", c.uniqueName)
		default:
			require.Zero(t, commits, "change %s was reported as not applied: %v", c.uniqueName, c.err)
		}
	}
}

func hasRow(table *workspace.Table, name string) bool {
	for _, row := range table.Rows {
		if row.Name == name {
			return true
		}
	}
	return false
}

// checkHistory checks that versions increase, that each table is a change of the previous
// one, and that no row ID is used for two workspaces or reused after its removal.
func checkHistory(t *rapid.T, history []*workspace.Table) {
	owners := make(map[workspace.RowID]string)
	removed := make(map[workspace.RowID]bool)
	for i, table := range history {
		if i > 0 {
			previous := history[i-1]
			require.Greater(t, table.Version, previous.Version)
			require.Equal(t, previous.ChangeID, table.Recent[0], "a committed change was lost")
			for _, row := range previous.Rows {
				removed[row.ID] = !hasRow(table, row.Name) || removed[row.ID]
			}
		}
		for _, row := range table.Rows {
			owner, used := owners[row.ID]
			require.True(t, !used || owner == row.Name, "row ID %d was assigned to %q and %q", row.ID, owner, row.Name)
			require.False(t, removed[row.ID], "row ID %d was reused", row.ID)
			owners[row.ID] = row.Name
		}
	}
}
