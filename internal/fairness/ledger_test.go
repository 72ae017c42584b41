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

func pushOffer(t *testing.T, q *fairness.Queue, ws workspace.RowID) {
	t.Helper()
	offer := fairness.WaitingOffer{Attempt: request.NewAttemptID(), Workspace: ws, Class: request.ClassBatch}
	require.NoError(t, q.Push(offer, 1000))
}

func TestNewBacklogAdvancesToFleetMinimum(t *testing.T) {
	l := fairness.NewLedger()
	q := fairness.NewQueue(l)
	l.Apply(report("east", 1, total(1, 0, 5)))
	l.Apply(report("east", 1, total(1, 900, 5)))
	pushOffer(t, q, 2)
	assert.InDelta(t, 900, l.ExpectedVirtualTime(2), 0, "workspace 1 is backlogged only at a remote source, and sets the minimum")
}

func TestIdleWorkspaceAccumulatesNoCredit(t *testing.T) {
	l := fairness.NewLedger()
	q := fairness.NewQueue(l)
	pushOffer(t, q, 1)
	l.Charge(1, 1000)
	q.Pop(nil)
	pushOffer(t, q, 2)
	assert.InDelta(t, 1000, l.ExpectedVirtualTime(2), 0, "the minimum remains when no workspace is backlogged")
}

func TestRemoteBacklogIsNotAdvancedAgain(t *testing.T) {
	l := fairness.NewLedger()
	q := fairness.NewQueue(l)
	l.Apply(report("east", 1, total(1, 0, 5), total(2, 0, 3)))
	pushOffer(t, q, 2)
	q.Pop(nil)
	l.Charge(2, 500)
	pushOffer(t, q, 1)
	assert.Zero(t, l.ExpectedVirtualTime(1), "workspace 1 was backlogged throughout and keeps its virtual time")
}

func TestWorkspaceAtConcurrencyLimitAccumulatesNoCredit(t *testing.T) {
	l := fairness.NewLedger()
	l.SetConcurrencyLimits(map[workspace.RowID]int{1: 2})
	q := fairness.NewQueue(l)
	pushOffer(t, q, 1)
	first := l.Start(1, 0)
	second := l.Start(1, 0)
	pushOffer(t, q, 2)
	l.Charge(2, 700)
	assert.InDelta(t, 700, l.MinVirtualTime(), 0, "a workspace at its limit does not count for the minimum")
	first.Finish()
	second.Finish()
	assert.InDelta(t, 700, l.ExpectedVirtualTime(1), 0, "it is advanced when it may run again")
}

func TestUnresponsiveSourceHasNoBacklog(t *testing.T) {
	l := fairness.NewLedger()
	l.Apply(report("east", 1, total(1, 0, 5)))
	require.True(t, l.Backlogged(1))
	l.Expire(start.Add(9 * time.Second))
	require.True(t, l.Backlogged(1))
	l.Expire(start.Add(11 * time.Second))
	assert.False(t, l.Backlogged(1))
	l.Charge(2, 100)
	l.AdvanceTo(3, 100)
	l.Apply(fairness.Update{
		Source: fairness.Source{Name: "east", Incarnation: 1},
		Totals: []fairness.Total{total(1, 60, 5)},
		At:     start.Add(12 * time.Second),
	})
	assert.True(t, l.Backlogged(1))
	assert.InDelta(t, 60, l.ExpectedVirtualTime(1), 0, "growth while no reports arrived counts")
}

func TestServiceGrowthBySource(t *testing.T) {
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
		{"late report of a previous incarnation", []fairness.Update{
			report("a", 1, total(1, 0, 0)), report("a", 1, total(1, 20, 0)),
			report("a", 2, total(1, 0, 0)), report("a", 1, total(1, 20, 0)), report("a", 2, total(1, 9, 0)),
		}, 29},
		{"two relays of one domain", []fairness.Update{
			report("east", 1, total(1, 100, 0)), report("east", 2, total(1, 7, 0)),
			report("east", 1, total(1, 150, 0)), report("east", 2, total(1, 57, 0)),
			report("east", 2, total(1, 67, 0)), report("east", 1, total(1, 160, 0)),
		}, 60},
		{"workspace missing from a full report", []fairness.Update{
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
			assert.InDelta(t, tt.want, l.ExpectedVirtualTime(1), 1e-9)
		})
	}
}

func TestLateReportDoesNotChangeBacklog(t *testing.T) {
	l := fairness.NewLedger()
	current := report("east", 1, total(1, 0, 0))
	current.Sequence = 9
	late := report("east", 1, total(1, 0, 4))
	late.Sequence = 8
	l.Apply(current)
	l.Apply(late)
	assert.False(t, l.Backlogged(1))
}

func TestLocalServiceInDigestCountsOnce(t *testing.T) {
	l := fairness.NewLedgerWith(fairness.Settings{LocalSource: "east"})
	l.Apply(report("east", 1, total(1, 1000, 0)))
	l.Charge(1, 40)
	l.Apply(report("east", 1, total(1, 1040, 0)))
	assert.InDelta(t, 40, l.ExpectedVirtualTime(1), 0)
	l.Apply(report("east", 1, total(1, 1100, 0)))
	assert.InDelta(t, 100, l.ExpectedVirtualTime(1), 0, "growth above the local service is that of other agents")
}

func TestUnacknowledgedServiceExpires(t *testing.T) {
	l := fairness.NewLedgerWith(fairness.Settings{LocalSource: "east"})
	l.Apply(report("east", 1, total(1, 0, 0)))
	l.Charge(1, 40)
	l.Expire(start)
	l.Expire(start.Add(11 * time.Second))
	l.Apply(report("east", 2, total(1, 0, 0)))
	l.Apply(report("east", 2, total(1, 30, 0)))
	assert.InDelta(t, 70, l.ExpectedVirtualTime(1), 0)
}

func TestMemoryIsBoundedByWorkspacesAndSources(t *testing.T) {
	l := fairness.NewLedger()
	l.SetWeights(map[workspace.RowID]float64{1: 1, 2: 1})
	for n := range 10_000 {
		l.Apply(report("east", uint64(n), total(workspace.RowID(n), 1, 0)))
		l.Apply(report(fmt.Sprint("gone", n), 1, total(1, 1, 0)))
	}
	l.Expire(start.Add(time.Second))
	assert.Equal(t, 2, fairness.WorkspaceCount(l))
	assert.LessOrEqual(t, fairness.IncarnationCount(l, "east"), 4)
	l.Expire(start.Add(time.Hour))
	assert.Zero(t, fairness.SourceCount(l))
	l.Charge(1, 5)
	l.SetWeights(map[workspace.RowID]float64{2: 1})
	assert.Equal(t, 1, fairness.WorkspaceCount(l))
}

// TestReportsConverge checks that the virtual time after the last report does not depend
// on the loss, repetition or order of earlier reports.
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
		if got := l.ExpectedVirtualTime(1); got != float64(want) {
			t.Fatalf("virtual time is %v, sources produced %d", got, want)
		}
	})
}
