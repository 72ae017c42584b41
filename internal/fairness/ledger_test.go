package fairness_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mastichollow/mastichollow/internal/fairness"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

var start = time.Unix(1_000_000, 0)

func report(name string, incarnation uint64, totals ...fairness.Total) fairness.Update {
	return fairness.Update{
		Source: fairness.Source{Name: name, Incarnation: incarnation},
		Totals: totals,
		At:     start,
	}
}

func full(u fairness.Update) fairness.Update {
	u.Full = true
	return u
}

func total(ws workspace.RowID, service uint64, queued uint32) fairness.Total {
	return fairness.Total{Workspace: ws, Service: service, Queued: queued}
}

func push(t *testing.T, q *fairness.Queue, ws workspace.RowID) {
	t.Helper()
	entry := fairness.Entry{Attempt: request.NewAttemptID(), Workspace: ws, Class: request.ClassBatch}
	require.NoError(t, q.Push(entry, 1000))
}

func TestNewlyBackloggedIsLiftedToTheFleetFloor(t *testing.T) {
	l := fairness.NewLedger()
	q := fairness.NewQueue(l)
	l.Apply(report("east", 1, total(1, 0, 5)))
	l.Apply(report("east", 1, total(1, 900, 5)))
	push(t, q, 2)
	assert.InDelta(t, 900, l.Level(2), 0, "workspace 1 waits only elsewhere, and sets the floor")
}

func TestNoSavingsFromIdleTime(t *testing.T) {
	l := fairness.NewLedger()
	q := fairness.NewQueue(l)
	push(t, q, 1)
	l.Charge(1, 1000)
	q.Pop(nil)
	push(t, q, 2)
	assert.InDelta(t, 1000, l.Level(2), 0, "the floor stays when nobody waits")
}

func TestWaitingElsewhereIsNotLiftedAgain(t *testing.T) {
	l := fairness.NewLedger()
	q := fairness.NewQueue(l)
	l.Apply(report("east", 1, total(1, 0, 5), total(2, 0, 3)))
	push(t, q, 2)
	q.Pop(nil)
	l.Charge(2, 500)
	push(t, q, 1)
	assert.Zero(t, l.Level(1), "workspace 1 waited all the time and keeps its due")
}

func TestHeldByItsOwnLimitSavesNothing(t *testing.T) {
	l := fairness.NewLedger()
	l.SetCaps(map[workspace.RowID]int{1: 2})
	q := fairness.NewQueue(l)
	push(t, q, 1)
	held := l.Start(1, 0)
	other := l.Start(1, 0)
	push(t, q, 2)
	l.Charge(2, 700)
	assert.InDelta(t, 700, l.Floor(), 0, "a workspace at its limit does not hold the floor down")
	held.Finish()
	other.Finish()
	assert.InDelta(t, 700, l.Level(1), 0, "it is lifted when it may run again")
}

func TestSilentSourceHoldsNoBacklog(t *testing.T) {
	l := fairness.NewLedger()
	l.Apply(report("east", 1, total(1, 0, 5)))
	require.True(t, l.Backlogged(1))
	l.Expire(start.Add(9 * time.Second))
	require.True(t, l.Backlogged(1))
	l.Expire(start.Add(11 * time.Second))
	assert.False(t, l.Backlogged(1))
	l.Charge(2, 100)
	l.Lift(3, 100)
	l.Apply(fairness.Update{
		Source: fairness.Source{Name: "east", Incarnation: 1},
		Totals: []fairness.Total{total(1, 60, 5)},
		At:     start.Add(12 * time.Second),
	})
	assert.True(t, l.Backlogged(1))
	assert.InDelta(t, 60, l.Level(1), 0, "growth during the silence counts")
}

func TestGrowthOfSources(t *testing.T) {
	tests := []struct {
		name    string
		updates []fairness.Update
		want    float64
	}{
		{"first report sets the baseline", []fairness.Update{report("a", 1, total(1, 500, 0))}, 0},
		{"growth counts", []fairness.Update{report("a", 1, total(1, 500, 0)), report("a", 1, total(1, 520, 0))}, 20},
		{"repeated report", []fairness.Update{
			report("a", 1, total(1, 0, 0)), report("a", 1, total(1, 20, 0)), report("a", 1, total(1, 20, 0)),
		}, 20},
		{"late report", []fairness.Update{
			report("a", 1, total(1, 0, 0)), report("a", 1, total(1, 20, 0)), report("a", 1, total(1, 10, 0)), report("a", 1, total(1, 25, 0)),
		}, 25},
		{"restarted source", []fairness.Update{
			report("a", 1, total(1, 0, 0)), report("a", 1, total(1, 20, 0)),
			report("a", 2, total(1, 5, 0)), report("a", 2, total(1, 9, 0)),
		}, 24},
		{"late report of a former incarnation", []fairness.Update{
			report("a", 1, total(1, 0, 0)), report("a", 1, total(1, 20, 0)),
			report("a", 2, total(1, 0, 0)), report("a", 1, total(1, 20, 0)), report("a", 2, total(1, 9, 0)),
		}, 29},
		{"two relays of one domain", []fairness.Update{
			report("east", 1, total(1, 100, 0)), report("east", 2, total(1, 7, 0)),
			report("east", 1, total(1, 150, 0)), report("east", 2, total(1, 57, 0)),
			report("east", 2, total(1, 67, 0)), report("east", 1, total(1, 160, 0)),
		}, 60},
		{"workspace that a full report did not have", []fairness.Update{
			full(report("a", 1)), report("a", 1, total(1, 30, 0)),
		}, 30},
		{"full reports of two relays", []fairness.Update{
			full(report("east", 1)), report("east", 1, total(1, 30, 0)), full(report("east", 2)),
			report("east", 1, total(1, 35, 0)), report("east", 2, total(1, 5, 0)), report("east", 2, total(1, 6, 0)),
		}, 36},
		{"two domains", []fairness.Update{
			report("east", 1, total(1, 0, 0)), report("west", 1, total(1, 0, 0)),
			report("east", 1, total(1, 5, 0)), report("west", 1, total(1, 6, 0)),
		}, 11},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := fairness.NewLedger()
			for _, u := range tt.updates {
				l.Apply(u)
			}
			assert.InDelta(t, tt.want, l.Level(1), 1e-9)
		})
	}
}

func TestLateReportDoesNotChangeTheBacklog(t *testing.T) {
	l := fairness.NewLedger()
	now := report("east", 1, total(1, 0, 0))
	now.Sequence = 9
	late := report("east", 1, total(1, 0, 4))
	late.Sequence = 8
	l.Apply(now)
	l.Apply(late)
	assert.False(t, l.Backlogged(1))
}

func TestOwnServiceInADigestCountsOnce(t *testing.T) {
	l := fairness.NewLedgerWith(fairness.Settings{Own: "east"})
	l.Apply(report("east", 1, total(1, 1000, 0)))
	l.Charge(1, 40)
	l.Apply(report("east", 1, total(1, 1040, 0)))
	assert.InDelta(t, 40, l.Level(1), 0)
	l.Apply(report("east", 1, total(1, 1100, 0)))
	assert.InDelta(t, 100, l.Level(1), 0, "growth beyond the own service is that of others")
}

func TestOwnServiceThatNeverComesBackIsGivenUp(t *testing.T) {
	l := fairness.NewLedgerWith(fairness.Settings{Own: "east"})
	l.Apply(report("east", 1, total(1, 0, 0)))
	l.Charge(1, 40)
	l.Expire(start)
	l.Expire(start.Add(11 * time.Second))
	l.Apply(report("east", 2, total(1, 0, 0)))
	l.Apply(report("east", 2, total(1, 30, 0)))
	assert.InDelta(t, 70, l.Level(1), 0)
}

func TestMemoryIsBoundedByRowsAndSources(t *testing.T) {
	l := fairness.NewLedger()
	l.SetWeights(map[workspace.RowID]float64{1: 1, 2: 1})
	for n := range 10_000 {
		l.Apply(report("east", uint64(n), total(workspace.RowID(n), 1, 0)))
		l.Apply(report(fmt.Sprint("gone", n), 1, total(1, 1, 0)))
	}
	l.Expire(start.Add(time.Second))
	assert.Equal(t, 2, fairness.RowsOf(l))
	assert.LessOrEqual(t, fairness.IncarnationsOf(l, "east"), 4)
	l.Expire(start.Add(time.Hour))
	assert.Zero(t, fairness.SourcesOf(l))
	l.Charge(1, 5)
	l.SetWeights(map[workspace.RowID]float64{2: 1})
	assert.Equal(t, 1, fairness.RowsOf(l))
}

// TestReportsConverge checks that any loss, repetition or order of reports
// leaves the same level once the last report has come.
func TestReportsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := fairness.NewLedger()
		var service, base, last [3]uint64
		for s := range service {
			base[s] = rapid.Uint64Range(0, 1<<40).Draw(t, "base")
			service[s] = base[s]
			l.Apply(report(fmt.Sprint(s), 1, total(1, base[s], 0)))
		}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			s := rapid.IntRange(0, 2).Draw(t, "source")
			last[s] = service[s]
			service[s] += rapid.Uint64Range(0, 1000).Draw(t, "growth")
			switch rapid.SampledFrom([]string{"lost", "sent", "twice", "late"}).Draw(t, "fate") {
			case "sent":
				l.Apply(report(fmt.Sprint(s), 1, total(1, service[s], 0)))
			case "twice":
				l.Apply(report(fmt.Sprint(s), 1, total(1, service[s], 0)))
				l.Apply(report(fmt.Sprint(s), 1, total(1, service[s], 0)))
			case "late":
				l.Apply(report(fmt.Sprint(s), 1, total(1, service[s], 0)))
				l.Apply(report(fmt.Sprint(s), 1, total(1, last[s], 0)))
			}
		}
		want := uint64(0)
		for s := range service {
			l.Apply(report(fmt.Sprint(s), 1, total(1, service[s], 0)))
			want += service[s] - base[s]
		}
		if got := l.Level(1); got != float64(want) {
			t.Fatalf("level is %v, sources produced %d", got, want)
		}
	})
}
