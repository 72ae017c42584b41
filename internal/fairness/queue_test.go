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

func offer(id string, ws workspace.RowID, class request.Class) fairness.Entry {
	return fairness.Entry{Attempt: request.AttemptID(id), Workspace: ws, Class: class}
}

func TestQueueOrder(t *testing.T) {
	l := fairness.NewLedger()
	l.SetWeights(map[workspace.RowID]float64{1: 1, 2: 4})
	q := fairness.NewQueue(l)
	require.NoError(t, q.Push(offer("1-batch", 1, request.ClassBatch), 9))
	require.NoError(t, q.Push(offer("1-quick", 1, request.ClassInteractive), 9))
	require.NoError(t, q.Push(offer("2-a", 2, request.ClassBatch), 9))
	require.NoError(t, q.Push(offer("2-b", 2, request.ClassBatch), 9))
	require.ErrorIs(t, q.Push(offer("2-c", 2, request.ClassBatch), 2), fairness.ErrQueueFull)
	l.Charge(1, 100)
	l.Charge(2, 300)
	var order []string
	for {
		e, ok := q.Pop(nil)
		if !ok {
			break
		}
		order = append(order, string(e.Attempt))
		l.Charge(e.Workspace, 150)
	}
	assert.Equal(t, []string{"2-a", "1-quick", "2-b", "1-batch"}, order)
	assert.Zero(t, q.Len())
}

func TestPopPassesOverIneligibleOffers(t *testing.T) {
	l := fairness.NewLedger()
	q := fairness.NewQueue(l)
	require.NoError(t, q.Push(offer("a", 1, request.ClassBatch), 9))
	require.NoError(t, q.Push(offer("b", 2, request.ClassInteractive), 9))
	l.Charge(2, 1)
	quick := func(e fairness.Entry) bool { return e.Class == request.ClassInteractive }
	e, ok := q.Pop(quick)
	assert.True(t, ok)
	assert.Equal(t, request.AttemptID("b"), e.Attempt)
	_, ok = q.Pop(quick)
	assert.False(t, ok)
	assert.Equal(t, 1, q.LenOf(1))
}

func TestPopTakesTheLeastOfTheEligible(t *testing.T) {
	l := fairness.NewLedger()
	q := fairness.NewQueue(l)
	for ws := workspace.RowID(1); ws <= 40; ws++ {
		require.NoError(t, q.Push(offer(fmt.Sprint(ws), ws, request.ClassBatch), 9))
	}
	for ws := workspace.RowID(1); ws <= 40; ws++ {
		l.Charge(ws, int64(ws*37%41))
	}
	odd := func(e fairness.Entry) bool { return e.Workspace%2 == 1 }
	e, ok := q.Pop(odd)
	assert.True(t, ok)
	assert.Equal(t, workspace.RowID(9), e.Workspace)
}

// TestPopTakesTheLeastLevel compares Pop with a plain search over any sequence
// of offers, charges and ends of requests that cost less than foreseen.
func TestPopTakesTheLeastLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := fairness.NewLedger()
		q := fairness.NewQueue(l)
		var running []*fairness.Running
		for n := range rapid.IntRange(1, 80).Draw(t, "steps") {
			ws := workspace.RowID(rapid.IntRange(1, 6).Draw(t, "workspace"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				_ = q.Push(offer(fmt.Sprint(n), ws, request.ClassBatch), 5)
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
	least, found := 0.0, false
	for ws := workspace.RowID(1); ws <= 6; ws++ {
		if q.LenOf(ws) > 0 && (!found || l.Level(ws) < least) {
			least, found = l.Level(ws), true
		}
	}
	e, ok := q.Pop(nil)
	if ok != found || (ok && l.Level(e.Workspace) != least) {
		t.Fatalf("popped %+v at %v, least level is %v", e, l.Level(e.Workspace), least)
	}
}

// TestRunningRequestsCountBeforeTheyProduce grants many slots at one moment to a
// workspace that is behind: it gets no more than brings it level.
func TestRunningRequestsCountBeforeTheyProduce(t *testing.T) {
	l := fairness.NewLedger()
	q := fairness.NewQueue(l)
	past := l.Start(3, 0)
	past.Charge(100)
	past.Finish()
	for n := range 8 {
		require.NoError(t, q.Push(offer(fmt.Sprint("1-", n), 1, request.ClassBatch), 9))
		require.NoError(t, q.Push(offer(fmt.Sprint("2-", n), 2, request.ClassBatch), 9))
	}
	l.Charge(2, 250)
	granted := make(map[workspace.RowID]int)
	for range 9 {
		e, _ := q.Pop(nil)
		l.Start(e.Workspace, 0)
		granted[e.Workspace]++
	}
	assert.Equal(t, map[workspace.RowID]int{1: 6, 2: 3}, granted, "600 units ahead against 250 + 300")
}

func TestRequestsRunningElsewhereCount(t *testing.T) {
	l := fairness.NewLedger()
	q := fairness.NewQueue(l)
	past := l.Start(3, 0)
	past.Charge(100)
	past.Finish()
	require.NoError(t, q.Push(offer("1", 1, request.ClassBatch), 9))
	require.NoError(t, q.Push(offer("2", 2, request.ClassBatch), 9))
	l.Charge(2, 250)
	l.Apply(report("east", 1, fairness.Total{Workspace: 1, Running: 3}))
	e, _ := q.Pop(nil)
	assert.Equal(t, workspace.RowID(2), e.Workspace, "three requests of 100 units against 250 units")
}

func backlog(b *testing.B, workspaces int) (*fairness.Ledger, *fairness.Queue) {
	b.Helper()
	l := fairness.NewLedger()
	q := fairness.NewQueue(l)
	for n := range workspaces {
		ws := workspace.RowID(n + 1)
		require.NoError(b, q.Push(offer(fmt.Sprint(n), ws, request.ClassBatch), 100))
		l.Charge(ws, int64(n))
	}
	return l, q
}

// BenchmarkGrant measures one grant and the offer that takes its place.
func BenchmarkGrant(b *testing.B) {
	for _, workspaces := range []int{15, 470, 4700} {
		b.Run(fmt.Sprint("workspaces=", workspaces), func(b *testing.B) {
			l, q := backlog(b, workspaces)
			b.ReportAllocs()
			for b.Loop() {
				e, _ := q.Pop(nil)
				l.Charge(e.Workspace, 1000)
				_ = q.Push(e, 100)
			}
		})
	}
}

// BenchmarkPopIneligible measures a search in which nothing may be granted.
func BenchmarkPopIneligible(b *testing.B) {
	for _, workspaces := range []int{15, 470, 4700} {
		b.Run(fmt.Sprint("workspaces=", workspaces), func(b *testing.B) {
			_, q := backlog(b, workspaces)
			never := func(fairness.Entry) bool { return false }
			b.ReportAllocs()
			for b.Loop() {
				q.Pop(never)
			}
		})
	}
}
