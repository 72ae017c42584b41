package fairness_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/fairness"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// update returns a report of rows workspaces with service each.
func update(name string, rows int, service uint64) fairness.Update {
	u := fairness.Update{Source: fairness.Source{Name: name, Incarnation: 1}, Full: true, At: start}
	for n := range rows {
		u.Totals = append(u.Totals, fairness.Total{
			Workspace: workspace.RowID(n + 1), Service: service, Running: 3, Queued: 2,
		})
	}
	return u
}

// BenchmarkMerge measures the merge of one report, by the workspaces in it.
func BenchmarkMerge(b *testing.B) {
	for _, rows := range []int{15, 470, 4700} {
		b.Run(fmt.Sprint("workspaces=", rows), func(b *testing.B) {
			l := fairness.NewLedger()
			u := update("east", rows, 0)
			l.Apply(u)
			b.ReportAllocs()
			for b.Loop() {
				for i := range u.Totals {
					u.Totals[i].Service += 100
				}
				l.Apply(u)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*rows), "ns/row")
		})
	}
}

// BenchmarkOffer measures an offer that is queued and taken back.
func BenchmarkOffer(b *testing.B) {
	for _, workspaces := range []int{15, 470, 4700} {
		b.Run(fmt.Sprint("workspaces=", workspaces), func(b *testing.B) {
			_, q := backlog(b, workspaces)
			e := offer("new", 7, request.ClassBatch)
			b.ReportAllocs()
			for b.Loop() {
				_ = q.Push(e, 100)
				q.Remove(e)
			}
		})
	}
}

// BenchmarkRequest measures the account of one request, with a charge for each
// of 100 pieces.
func BenchmarkRequest(b *testing.B) {
	l, q := backlog(b, 470)
	b.ReportAllocs()
	for b.Loop() {
		e, _ := q.Pop(nil)
		r := l.Start(e.Workspace, 0)
		for range 100 {
			r.Charge(5)
		}
		r.Finish()
		_ = q.Push(e, 100)
	}
}

// BenchmarkMemory reports the memory of a ledger, by workspace alone and by
// workspace and source.
func BenchmarkMemory(b *testing.B) {
	for _, sources := range []int{0, 1, 34} {
		b.Run(fmt.Sprint("sources=", sources), func(b *testing.B) {
			const rows = 4700
			before := heap()
			l := fairness.NewLedger()
			for n := range rows {
				l.Charge(workspace.RowID(n+1), 1)
			}
			for s := range sources {
				l.Apply(update(fmt.Sprint("domain-", s), rows, 1))
			}
			bytes := heap() - before
			runtime.KeepAlive(l)
			b.ReportMetric(float64(bytes)/rows, "B/row")
			b.ReportMetric(float64(bytes)/(1<<20), "MB")
			require.Len(b, l.Own(), rows)
		})
	}
}

// heap returns the bytes in use.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
