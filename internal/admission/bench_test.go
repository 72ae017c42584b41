package admission

import (
	"testing"
	"time"
)

// BenchmarkAdmitRefused is the cost of a refusal when all engines are full: the
// path that a flood takes.
func BenchmarkAdmitRefused(b *testing.B) {
	c := newTestController()
	all := engines(40)
	load := make(map[string]Load)
	for _, in := range all {
		load[in.ID] = Load{Running: 64}
	}
	c.Merge(0, "peer", Report{Loads: load})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c.Admit(time.Second, letter("w", uint64(i%200), i), all)
	}
}

func BenchmarkAdmitAndEnd(b *testing.B) {
	c := newTestController()
	all := engines(40)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d := c.Admit(time.Duration(i)*time.Millisecond, letter("w", uint64(i%200), i), all)
		d.Lease.Began()
		d.Lease.End(0, ResultDone, all)
	}
}
