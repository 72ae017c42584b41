package operator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/fleet"
	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

func TestApplyConflictReportsBothVersions(t *testing.T) {
	ctx := context.Background()
	table := newFaultyTable()
	one, two := testOperator(table), testOperator(table)
	first, err := one.Apply(ctx, []workspace.Row{testRow("shop", 1)}, 0)
	require.NoError(t, err)

	rows := []workspace.Row{testRow("shop", 1), testRow("letters", 2)}
	planOne, err := one.Plan(ctx, rows)
	require.NoError(t, err)
	planTwo, err := two.Plan(ctx, []workspace.Row{testRow("shop", 5)})
	require.NoError(t, err)
	second, err := one.Apply(ctx, rows, planOne.BaseVersion)
	require.NoError(t, err)
	_, err = two.Apply(ctx, []workspace.Row{testRow("shop", 5)}, planTwo.BaseVersion)

	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, first.Version, conflict.BaseVersion)
	require.Equal(t, second.Version, conflict.CurrentVersion)
	require.Equal(t, ExitConflict, ExitCode(err))
	current, err := one.Current(ctx)
	require.NoError(t, err)
	require.Empty(t, workspace.Diff(current, table.history[1]), "the conflicting change had an effect")
}

// Another operator's change is committed between the read of the table and the write.
func TestApplyConflictDuringWrite(t *testing.T) {
	ctx := context.Background()
	table := newFaultyTable()
	op := testOperator(table)
	_, err := op.Apply(ctx, []workspace.Row{testRow("shop", 1)}, 0)
	require.NoError(t, err)
	plan, err := op.Plan(ctx, []workspace.Row{testRow("shop", 2)})
	require.NoError(t, err)
	table.beforeWrite = func() {
		table.beforeWrite = func() {}
		_, err := testOperator(table).Apply(ctx, []workspace.Row{testRow("shop", 3)}, plan.BaseVersion)
		require.NoError(t, err)
	}
	_, err = op.Apply(ctx, []workspace.Row{testRow("shop", 2)}, plan.BaseVersion)
	require.ErrorIs(t, err, ErrConflict)
	current, err := op.Current(ctx)
	require.NoError(t, err)
	require.InDelta(t, 3.0, current.Rows[0].Weight, 0)
}

func TestApplyWriteOutcomes(t *testing.T) {
	always := func(outcome writeOutcome) func() writeOutcome { return func() writeOutcome { return outcome } }
	once := func(outcome writeOutcome) func() writeOutcome {
		next := outcome
		return func() writeOutcome {
			now := next
			next = outcomeApplied
			return now
		}
	}
	for _, tc := range []struct {
		name    string
		choose  func() writeOutcome
		code    int
		commits int
	}{
		{"response lost", once(outcomeResponseLost), ExitOK, 1},
		{"request lost", once(outcomeRequestLost), ExitOK, 1},
		{"write delayed", once(outcomeDelayed), ExitOK, 1},
		{"unavailable once", once(outcomeUnavailable), ExitOK, 1},
		{"responses always lost", always(outcomeResponseLost), ExitOK, 1},
		{"requests always lost", always(outcomeRequestLost), ExitPlatform, 0},
		{"always unavailable", always(outcomeUnavailable), ExitPlatform, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := newFaultyTable()
			table.chooseOutcome = tc.choose
			result, err := testOperator(table).Apply(context.Background(), []workspace.Row{testRow("shop", 1)}, 0)
			require.Equal(t, tc.code, ExitCode(err), "%v", err)
			require.Len(t, table.history, tc.commits)
			if err == nil {
				require.Equal(t, table.history[0].Version, result.Version)
			}
		})
	}
}

// The response to a write is lost and another change is committed before the table is read.
// The first change must be reported as applied, and must not be written again.
func TestApplyResponseLostBeforeLaterChange(t *testing.T) {
	ctx := context.Background()
	table := newFaultyTable()
	op := testOperator(table)
	choices := []writeOutcome{outcomeResponseLost, outcomeApplied}
	table.chooseOutcome = func() writeOutcome {
		next := choices[0]
		choices = choices[1:]
		return next
	}
	table.afterWrite = func() { // before the operator notices that the response was lost
		table.afterWrite = func() {}
		_, err := testOperator(table).Mark(ctx, "vm-1", workspace.MarkLeaving, true)
		require.NoError(t, err)
	}
	_, err := op.Apply(ctx, []workspace.Row{testRow("shop", 1)}, 0)
	require.NoError(t, err)
	require.Len(t, table.history, 2)
}

func TestApplyUpdatesVersionItem(t *testing.T) {
	ctx := context.Background()
	table := newFaultyTable()
	data, err := workspace.NewTable().Encode()
	require.NoError(t, err)
	first, err := table.Commit(ctx, platform.Write{Key: platform.KeyTable, Value: data})
	require.NoError(t, err)
	for weight := range 2 { // first on a table without a version item, then on one with it
		result, err := testOperator(table).Apply(ctx, []workspace.Row{testRow("shop", float64(weight+1))}, first+uint64(weight))
		require.NoError(t, err)
		item, err := table.Get(ctx, platform.KeyTableVersion)
		require.NoError(t, err)
		require.Equal(t, result.Version, item.Version)
	}
}

func TestMarkRetriesAfterConflict(t *testing.T) {
	ctx := context.Background()
	table := newFaultyTable()
	vm := target.VM{ID: "vm-1", State: target.StateLive}
	op := testOperator(table, vm)
	_, err := op.Apply(ctx, []workspace.Row{testRow("shop", 1)}, 0)
	require.NoError(t, err)
	table.beforeWrite = func() {
		table.beforeWrite = func() {}
		_, err := testOperator(table).Apply(ctx, []workspace.Row{testRow("shop", 4)}, 1)
		require.NoError(t, err)
	}
	_, err = op.Mark(ctx, vm.ID, workspace.MarkLeaving, false)
	require.NoError(t, err)
	current, err := op.Current(ctx)
	require.NoError(t, err)
	require.InDelta(t, 4.0, current.Rows[0].Weight, 0)
	require.Equal(t, workspace.MarkLeaving, current.Marks[vm.ID])

	_, err = op.Mark(ctx, vm.ID, workspace.MarkJoining, false)
	require.ErrorIs(t, err, workspace.ErrMarkNotAllowed)
	_, err = op.Mark(ctx, "vm-2", workspace.MarkLeaving, false)
	require.ErrorIs(t, err, ErrUnlisted)
}

func TestStatusPendingUntilConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		table := newFaultyTable()
		vms := []target.VM{
			{ID: "r1", Domain: "d1", State: target.StateLive},
			{ID: "a1", Domain: "d1", State: target.StateLive},
			{ID: "a2", Domain: "d2", State: target.StateLeaving},
		}
		op := testOperator(table, vms...)
		op.PollInterval = time.Second
		result, err := op.Apply(ctx, []workspace.Row{testRow("shop", 1)}, 0)
		require.NoError(t, err)
		confirm(t, table, "d1", map[string]uint64{"r1": result.Version})

		status, err := op.Status(ctx)
		require.NoError(t, err)
		var pending *PendingError
		require.ErrorAs(t, status.Err(), &pending)
		require.Equal(t, []string{"a1"}, pending.VMs)

		err = op.WaitInForce(ctx, result.Version, 5*time.Second, func([]string) {})
		require.Equal(t, ExitPending, ExitCode(err))

		time.AfterFunc(3*time.Second, func() {
			confirm(t, table, "d1", map[string]uint64{"r1": result.Version, "a1": result.Version})
		})
		var seen [][]string
		err = op.WaitInForce(ctx, result.Version, 10*time.Second, func(p []string) { seen = append(seen, p) })
		require.NoError(t, err)
		require.Equal(t, [][]string{{"a1"}, nil}, seen)
	})
}

// confirm writes the status row of a failure domain with the versions that its processes
// confirmed.
func confirm(t *testing.T, table *faultyTable, domain string, versions map[string]uint64) {
	t.Helper()
	row := &fleet.Status{Domain: domain, Members: make(map[string]fleet.ConfirmedVersion)}
	for id, version := range versions {
		row.Members[id] = fleet.ConfirmedVersion{Incarnation: 1, Version: version}
	}
	data, err := row.Encode()
	require.NoError(t, err)
	key := platform.PrefixStatus + domain
	item, err := table.Get(context.Background(), key)
	require.True(t, err == nil || errors.Is(err, platform.ErrNotFound))
	_, err = table.Commit(context.Background(), platform.Write{Key: key, Value: data, If: item.Version})
	require.NoError(t, err)
}
