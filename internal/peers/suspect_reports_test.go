package peers

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/quarantine"
)

// suspectReport returns a report with the crashes of requests and parts, all of an age.
func suspectReport(first, requests, parts int, age time.Duration) admission.Report {
	report := admission.Report{Report: quarantine.Report{Suspects: make(map[quarantine.Fingerprint]map[quarantine.TargetRun]time.Duration), SuspectParts: make(map[uint64][]quarantine.PartCrash)}}
	run := func(n int) quarantine.TargetRun { return quarantine.TargetRun(fmt.Sprintf("engine-%d/lk2x9a7d", n%8)) }
	for n := first; n < first+requests; n++ {
		report.Suspects[quarantine.Fingerprint(1<<60+n)] = map[quarantine.TargetRun]time.Duration{run(n): age, run(n + 1): age, run(n + 2): age}
	}
	for n := first; n < first+parts; n++ {
		for i := range 5 {
			report.SuspectParts[uint64(1<<61+n)] = append(report.SuspectParts[uint64(1<<61+n)], quarantine.PartCrash{Run: run(n + i), At: age, Workspaces: []quarantine.WorkspaceID{1 << 30}})
		}
	}
	return report
}

const oldRequests, oldParts = 30, 12

// crashedGate returns a gate that knows of old crashes and has reported for some time.
func crashedGate(t *testing.T) *gate {
	g := newGate(t, "a")
	g.now = time.Hour
	g.controller.Merge(g.now, "peer", suspectReport(0, oldRequests, oldParts, 20*time.Second))
	return g
}

func (g *gate) nextReport(t *testing.T) []byte {
	g.now += reportInterval
	data, err := g.exchange.encodeReport(g.now)
	require.NoError(t, err)
	return data
}

// Guards against crashes that are reported again and again for minutes: the bytes are billed
// between regions.
func TestOldSuspectsAddFewBytesToReports(t *testing.T) {
	const rounds = 26
	without, with := newGate(t, "a"), crashedGate(t)
	added, largest := 0, 0
	for range rounds {
		n := len(with.nextReport(t)) - len(without.nextReport(t))
		added, largest = added+n, max(largest, n)
	}
	report := with.controller.Report(with.now)
	require.Len(t, report.Suspects, oldRequests)
	t.Logf("%d requests and %d parts add %d bytes to a report, at most %d", oldRequests, oldParts, added/rounds, largest)
	require.Less(t, added/rounds, 400, "1,653 bytes when each report named all")
}

// Guards against a peer that never learns some of the older crashes, whichever reports it
// gets or loses.
func TestOldSuspectsReachPeerThatGetsFewReports(t *testing.T) {
	for _, every := range []int{1, 2, 3, 5} {
		a, b := crashedGate(t), newGate(t, "b")
		for round := range every * 13 {
			if data := a.nextReport(t); round%every == 0 {
				b.exchange.mergeReport(data, netip.AddrPort{})
			}
		}
		require.Len(t, b.controller.Report(0).Suspects, oldRequests, "one of %d reports", every)
		require.Len(t, b.controller.Report(0).SuspectParts, oldParts)
	}
}

// Guards against recent crashes that reach peers late: the platform bounds what follows a
// crash by seconds.
func TestRecentSuspectsInEachReport(t *testing.T) {
	a := crashedGate(t)
	a.controller.Merge(a.now, "peer", suspectReport(100, 5, 3, 0))
	for range 20 {
		b := newGate(t, "b")
		b.exchange.mergeReport(a.nextReport(t), netip.AddrPort{})
		report := b.controller.Report(0)
		for n := range 5 {
			require.Contains(t, report.Suspects, quarantine.Fingerprint(1<<60+100+n))
		}
		require.GreaterOrEqual(t, len(report.SuspectParts), 3)
	}
}

// Guards against a gate that starts and serves requests which other gates know to crash
// targets: the first reports after its own name all of them, also in a remote region.
func TestStartedPeerLearnsAllSuspectsAtOnce(t *testing.T) {
	for _, start := range []int64{1, 2} {
		a, b := crashedGate(t), newGate(t, "b")
		a.exchange.mergeReport(encodeMessage(t, message{Node: "b", Start: 1, Sequence: 9}), netip.AddrPort{})
		if start > 1 {
			a.now += time.Minute
			a.controller.Merge(a.now, "peer", suspectReport(0, oldRequests, oldParts, 30*time.Second))
			a.exchange.mergeReport(encodeMessage(t, message{Node: "b", Start: start, Sequence: 1}), netip.AddrPort{})
		}
		a.nextReport(t)
		b.exchange.mergeReport(a.nextReport(t), netip.AddrPort{})
		require.Len(t, b.controller.Report(0).Suspects, oldRequests)
		require.Len(t, b.controller.Report(0).SuspectParts, oldParts)
	}
}
