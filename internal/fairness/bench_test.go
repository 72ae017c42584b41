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

// fullUpdate returns a full report of a number of workspaces with equal service.
func fullUpdate(name string, workspaces int, service uint64) fairness.Update {
	u := fairness.Update{Source: fairness.Source{Name: name, Incarnation: 1}, Full: true, At: start}
	for n := range workspaces {
		u.Totals = append(u.Totals, fairness.Total{
			Workspace: workspace.RowID(n + 1), Service: service, Running: 3, Queued: 2,
		})
	}
	return u
}

// BenchmarkMerge measures the merge of one report by the number of its workspaces.
func BenchmarkMerge(b *testing.B) {
	for _, workspaces := range []int{15, 470, 4700} {
		b.Run(fmt.Sprint("workspaces=", workspaces), func(b *testing.B) {
			l := fairness.NewLedger()
			u := fullUpdate("east", workspaces, 0)
			l.Apply(u)
			b.ReportAllocs()
			for b.Loop() {
				for i := range u.Totals {
					u.Totals[i].Service += 100
				}
				l.Apply(u)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*workspaces), "ns/row")
		})
	}
}

// BenchmarkOffer measures an offer that is queued and withdrawn.
func BenchmarkOffer(b *testing.B) {
	for _, workspaces := range []int{15, 470, 4700} {
		b.Run(fmt.Sprint("workspaces=", workspaces), func(b *testing.B) {
			_, q := newBacklog(b, workspaces)
			offer := newOffer("new", 7, request.ClassBatch)
			b.ReportAllocs()
			for b.Loop() {
				_ = q.Push(offer, 100)
				q.Remove(offer)
			}
		})
	}
}

// BenchmarkRequest measures the accounting of one request with 100 charges.
func BenchmarkRequest(b *testing.B) {
	l, q := newBacklog(b, 470)
	b.ReportAllocs()
	for b.Loop() {
		offer, _ := q.Pop(nil)
		r := l.Start(offer.Workspace, 0)
		for range 100 {
			r.Charge(5)
		}
		r.Finish()
		_ = q.Push(offer, 100)
	}
}

// BenchmarkMemory reports the memory of a ledger per workspace, by number of sources.
func BenchmarkMemory(b *testing.B) {
	for _, sources := range []int{0, 1, 34} {
		b.Run(fmt.Sprint("sources=", sources), func(b *testing.B) {
			const workspaces = 4700
			before := heapBytes()
			l := fairness.NewLedger()
			for n := range workspaces {
				l.Charge(workspace.RowID(n+1), 1)
			}
			for s := range sources {
				l.Apply(fullUpdate(fmt.Sprint("domain-", s), workspaces, 1))
			}
			bytes := heapBytes() - before
			runtime.KeepAlive(l)
			b.ReportMetric(float64(bytes)/workspaces, "B/row")
			b.ReportMetric(float64(bytes)/(1<<20), "MB")
			require.Len(b, l.LocalTotals(), workspaces)
		})
	}
}

// heapBytes returns the allocated heap bytes after garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
