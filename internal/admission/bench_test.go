package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAdmitRefused measures a refusal when all engines are full, the common case in
// a flood.
func BenchmarkAdmitRefused(b *testing.B) {
	c := newTestController()
	all := newEngines(40)
	load := make(map[string]Load)
	for _, in := range all {
		load[in.ID] = Load{InFlight: 64}
	}
	c.Merge(0, "peer", Report{Loads: load})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c.Admit(time.Second, letterRequest("w", uint64(i%200), i), all)
	}
}

func BenchmarkAdmitAndEnd(b *testing.B) {
	c := newTestController()
	all := newEngines(40)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d := c.Admit(time.Duration(i)*time.Millisecond, letterRequest("w", uint64(i%200), i), all)
		d.Lease.Began(time.Duration(i) * time.Millisecond)
		d.Lease.End(0, ResultDone, all)
	}
}

// BenchmarkChoose measures the choice of a target among many.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{40, 300, 3000, 10_000} {
		b.Run(fmt.Sprint(n, "-targets"), func(b *testing.B) {
			c := newTestController()
			all := newEngines(n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				d := c.Admit(time.Duration(i)*time.Millisecond, letterRequest("w", uint64(i%200), i), all)
				d.Lease.End(0, ResultDone, all)
			}
		})
	}
}

// BenchmarkMerge measures the merge of a peer's report in a fleet with ten targets per
// gate. Each report names as many targets as a gate has requests in flight.
func BenchmarkMerge(b *testing.B) {
	for _, gates := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(gates, "-gates"), func(b *testing.B) {
			c := newTestController()
			reports := make([]Report, gates)
			names := make([]string, gates)
			for g := range reports {
				loads := make(map[string]Load)
				for n := range 20 {
					loads[fmt.Sprint("e", (g*7+n)%(10*gates))] = Load{InFlight: 1, PendingPromptTokens: 1000, Tokens: 6000}
				}
				reports[g], names[g] = Report{Loads: loads}, fmt.Sprint("gate", g)
				c.Merge(0, names[g], reports[g])
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c.Merge(time.Duration(i)*time.Microsecond, names[i%gates], reports[i%gates])
			}
		})
	}
}
