package fairness_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/mastichollow/mastichollow/internal/fairness"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

func newOffer(attempt string, ws workspace.RowID, class request.Class) fairness.WaitingOffer {
	return fairness.WaitingOffer{Attempt: request.AttemptID(attempt), Workspace: ws, Class: class}
}

func TestQueueOrder(t *testing.T) {
	l := fairness.NewLedger()
	l.SetWeights(map[workspace.RowID]float64{1: 1, 2: 4})
	q := fairness.NewQueue(l)
	require.NoError(t, q.Push(newOffer("1-batch", 1, request.ClassBatch), 9))
	require.NoError(t, q.Push(newOffer("1-quick", 1, request.ClassInteractive), 9))
	require.NoError(t, q.Push(newOffer("2-a", 2, request.ClassBatch), 9))
	require.NoError(t, q.Push(newOffer("2-b", 2, request.ClassBatch), 9))
	require.ErrorIs(t, q.Push(newOffer("2-c", 2, request.ClassBatch), 2), fairness.ErrQueueFull)
	l.Charge(1, 100)
	l.Charge(2, 300)
	var order []string
	for {
		offer, ok := q.Pop(nil)
		if !ok {
			break
		}
		order = append(order, string(offer.Attempt))
		l.Charge(offer.Workspace, 150)
	}
	assert.Equal(t, []string{"2-a", "1-quick", "2-b", "1-batch"}, order)
	assert.Zero(t, q.Len())
}

func TestPopSkipsIneligibleOffers(t *testing.T) {
	l := fairness.NewLedger()
	q := fairness.NewQueue(l)
	require.NoError(t, q.Push(newOffer("a", 1, request.ClassBatch), 9))
	require.NoError(t, q.Push(newOffer("b", 2, request.ClassInteractive), 9))
	l.Charge(2, 1)
	interactive := func(offer fairness.WaitingOffer) bool { return offer.Class == request.ClassInteractive }
	offer, ok := q.Pop(interactive)
	assert.True(t, ok)
	assert.Equal(t, request.AttemptID("b"), offer.Attempt)
	_, ok = q.Pop(interactive)
	assert.False(t, ok)
	assert.Equal(t, 1, q.LenOf(1))
}

func TestPopReturnsLeastServedEligibleWorkspace(t *testing.T) {
	l := fairness.NewLedger()
	q := fairness.NewQueue(l)
	for ws := workspace.RowID(1); ws <= 40; ws++ {
		require.NoError(t, q.Push(newOffer(fmt.Sprint(ws), ws, request.ClassBatch), 9))
	}
	for ws := workspace.RowID(1); ws <= 40; ws++ {
		l.Charge(ws, int64(ws*37%41))
	}
	odd := func(offer fairness.WaitingOffer) bool { return offer.Workspace%2 == 1 }
	offer, ok := q.Pop(odd)
	assert.True(t, ok)
	assert.Equal(t, workspace.RowID(9), offer.Workspace)
}

// TestPopReturnsMinVirtualTime compares Pop with a linear search, for any sequence of
// offers, charges and ends of requests. Keys decrease when a request costs less than
// estimated.
func TestPopReturnsMinVirtualTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := fairness.NewLedger()
		q := fairness.NewQueue(l)
		var running []*fairness.RunningRequest
		for n := range rapid.IntRange(1, 80).Draw(t, "steps") {
			ws := workspace.RowID(rapid.IntRange(1, 6).Draw(t, "workspace"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				_ = q.Push(newOffer(fmt.Sprint(n), ws, request.ClassBatch), 5)
			case 2:
				l.Charge(ws, rapid.Int64Range(1, 50).Draw(t, "units"))
			case 3:
				running = append(running, l.Start(ws, rapid.Int64Range(0, 90).Draw(t, "hint")))
			case 4:
				if len(running) > 0 {
					running[0].Charge(rapid.Int64Range(1, 90).Draw(t, "cost"))
					running[0].Finish()
					running = running[1:]
				}
			}
			if rapid.Bool().Draw(t, "pop") {
				checkPop(t, l, q)
			}
		}
	})
}

func checkPop(t *rapid.T, l *fairness.Ledger, q *fairness.Queue) {
	minimum, found := 0.0, false
	for ws := workspace.RowID(1); ws <= 6; ws++ {
		if q.LenOf(ws) > 0 && (!found || l.ExpectedVirtualTime(ws) < minimum) {
			minimum, found = l.ExpectedVirtualTime(ws), true
		}
	}
	offer, ok := q.Pop(nil)
	if ok != found || (ok && l.ExpectedVirtualTime(offer.Workspace) != minimum) {
		t.Fatalf("popped %+v at %v, minimum expected virtual time is %v", offer, l.ExpectedVirtualTime(offer.Workspace), minimum)
	}
}

// TestRunningRequestsCountBeforeProducing grants many slots at once while one workspace
// is behind. It gets no more of them than it needs to catch up.
func TestRunningRequestsCountBeforeProducing(t *testing.T) {
	l := fairness.NewLedger()
	q := fairness.NewQueue(l)
	ended := l.Start(3, 0)
	ended.Charge(100)
	ended.Finish()
	for n := range 8 {
		require.NoError(t, q.Push(newOffer(fmt.Sprint("1-", n), 1, request.ClassBatch), 9))
		require.NoError(t, q.Push(newOffer(fmt.Sprint("2-", n), 2, request.ClassBatch), 9))
	}
	l.Charge(2, 250)
	granted := make(map[workspace.RowID]int)
	for range 9 {
		offer, _ := q.Pop(nil)
		l.Start(offer.Workspace, 0)
		granted[offer.Workspace]++
	}
	assert.Equal(t, map[workspace.RowID]int{1: 6, 2: 3}, granted, "600 units ahead against 250 + 300")
}

func TestRemoteRunningRequestsCount(t *testing.T) {
	l := fairness.NewLedger()
	q := fairness.NewQueue(l)
	ended := l.Start(3, 0)
	ended.Charge(100)
	ended.Finish()
	require.NoError(t, q.Push(newOffer("1", 1, request.ClassBatch), 9))
	require.NoError(t, q.Push(newOffer("2", 2, request.ClassBatch), 9))
	l.Charge(2, 250)
	l.Apply(report("east", 1, fairness.Total{Workspace: 1, Running: 3}))
	offer, _ := q.Pop(nil)
	assert.Equal(t, workspace.RowID(2), offer.Workspace, "three requests of 100 units against 250 units")
}

func newBacklog(b *testing.B, workspaces int) (*fairness.Ledger, *fairness.Queue) {
	b.Helper()
	l := fairness.NewLedger()
	q := fairness.NewQueue(l)
	for n := range workspaces {
		ws := workspace.RowID(n + 1)
		require.NoError(b, q.Push(newOffer(fmt.Sprint(n), ws, request.ClassBatch), 100))
		l.Charge(ws, int64(n))
	}
	return l, q
}

// BenchmarkGrant measures one grant and the offer that replaces the granted one.
func BenchmarkGrant(b *testing.B) {
	for _, workspaces := range []int{15, 470, 4700} {
		b.Run(fmt.Sprint("workspaces=", workspaces), func(b *testing.B) {
			l, q := newBacklog(b, workspaces)
			b.ReportAllocs()
			for b.Loop() {
				offer, _ := q.Pop(nil)
				l.Charge(offer.Workspace, 1000)
				_ = q.Push(offer, 100)
			}
		})
	}
}

// BenchmarkPopIneligible measures a search without eligible offers.
func BenchmarkPopIneligible(b *testing.B) {
	for _, workspaces := range []int{15, 470, 4700} {
		b.Run(fmt.Sprint("workspaces=", workspaces), func(b *testing.B) {
			_, q := newBacklog(b, workspaces)
			never := func(fairness.WaitingOffer) bool { return false }
			b.ReportAllocs()
			for b.Loop() {
				q.Pop(never)
			}
		})
	}
}
