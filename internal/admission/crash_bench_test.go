package admission

import (
	"testing"
	"time"

	"github.com/mastichollow/mastichollow/internal/prompt"
	"github.com/mastichollow/mastichollow/internal/quarantine"
)

// A target with 64 slots, and prompts of as many parts as fit into a head.
const (
	lostPrompts = 64
	promptParts = 1800
)

// longPrompt returns the n-th of many prompts that share no part.
func longPrompt(n int) []prompt.Part {
	parts := make([]prompt.Part, promptParts)
	for i := range parts {
		parts[i] = prompt.Part{Hash: uint64(n*promptParts + i + 1), Tokens: 1}
	}
	return parts
}

// BenchmarkCrashOfLongPrompts measures the crash of a target that runs long prompts. max-ms is the longest
// time for which a call holds the lock that all requests of the gate need.
func BenchmarkCrashOfLongPrompts(b *testing.B) {
	var longest, total time.Duration
	timed := func(call func()) {
		start := time.Now()
		call()
		took := time.Since(start)
		longest, total = max(longest, took), total+took
	}
	for n := 0; b.Loop(); n++ {
		b.StopTimer()
		c := newTestController()
		target := newEngines(1)
		var leases []*Lease
		for i := range lostPrompts {
			lease := &Lease{controller: c, target: target[0], fingerprint: quarantine.Fingerprint(i), parts: longPrompt(i), workspace: "w", responded: true}
			c.loads.add(target[0].ID, lease.load)
			leases = append(leases, lease)
		}
		b.StartTimer()
		for _, lease := range leases {
			timed(func() { lease.End(10*time.Millisecond, ResultLost, target) })
		}
		for range 3 { // callers and checks of the target
			timed(func() { c.RecordRefused(20*time.Millisecond, &target[0]) })
		}
		for more := true; more; {
			timed(func() { more = c.takeUpStep() })
		}
		timed(func() { c.Report(30 * time.Millisecond) })
		timed(func() { c.Admit(600*time.Millisecond, letterRequest("w", 1, 1), newEngines(2)) })
	}
	b.ReportMetric(float64(longest.Microseconds())/1000, "max-ms")
	b.ReportMetric(float64(total.Microseconds())/1000/float64(b.N), "total-ms")
}
