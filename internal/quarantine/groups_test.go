package quarantine

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/mastichollow/mastichollow/internal/fixedseed"
	"github.com/mastichollow/mastichollow/internal/prompt"
)

func partsOf(hashes ...uint64) []prompt.Part {
	parts := make([]prompt.Part, len(hashes))
	for i, hash := range hashes {
		parts[i] = prompt.Part{Hash: hash, Tokens: 1}
	}
	return parts
}

// rangeOf returns count parts from first on.
func rangeOf(first uint64, count int) []prompt.Part {
	parts := make([]prompt.Part, count)
	for i := range parts {
		parts[i] = prompt.Part{Hash: first + uint64(i), Tokens: 1}
	}
	return parts
}

// partModel holds the phase at each crash of a part, without groups.
type partModel struct {
	phases    map[uint64]map[TargetRun]CrashPhase
	disproved map[TargetRun]bool
}

// Parts that share a group must have the same evidence as if each was kept by itself.
func TestGroupsHoldEvidenceOfEachPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newCrashingParts()
		m := partModel{phases: make(map[uint64]map[TargetRun]CrashPhase), disproved: make(map[TargetRun]bool)}
		hashes := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 12), 1, 12, rapid.ID)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := time.Duration(step+1) * time.Second
			drawn := hashes.Draw(t, "parts")
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				p.recordCompleted(now, partsOf(drawn...))
				for _, part := range drawn {
					delete(m.phases, part)
				}
			case 1:
				p.recordLasted(now, partsOf(drawn...))
				for _, part := range drawn {
					for run := range m.phases[part] {
						m.phases[part][run] = PhaseLasting
					}
				}
			case 2:
				run := TargetRun(fmt.Sprint("e", rapid.IntRange(0, step).Draw(t, "disproved")))
				p.disproveCrash(now, run)
				m.disproved[run] = true
				for _, runs := range m.phases {
					delete(runs, run)
				}
			default:
				run := TargetRun(fmt.Sprint("e", step))
				if m.disproved[run] {
					continue
				}
				phase := rapid.SampledFrom([]CrashPhase{PhaseBegun, PhaseWaiting, PhaseLasting}).Draw(t, "phase")
				p.addLoss(partsOf(drawn...), &PartCrash{Run: run, At: now, Workspaces: []WorkspaceID{1}, Phase: phase})
				for _, part := range drawn {
					if m.phases[part] == nil {
						m.phases[part] = make(map[TargetRun]CrashPhase)
					}
					if len(m.phases[part]) < maxPartCrashes {
						m.phases[part][run] = phase
					}
				}
			}
		}
		for part := uint64(1); part <= 12; part++ {
			g := p.suspects.group(part)
			if len(m.phases[part]) == 0 {
				require.Nil(t, g, part)
				continue
			}
			require.NotNil(t, g, part)
			phases := make(map[TargetRun]CrashPhase)
			for _, crash := range g.crashes {
				phases[crash.Run] = crash.Phase
			}
			if len(phases) < maxPartCrashes {
				require.Equal(t, m.phases[part], phases, part)
			}
		}
		requireConsistent(t, p.suspects)
	})
}

func requireConsistent(t require.TestingT, table *groupTable) {
	listed := 0
	for strength := range evidenceStrengths {
		for g := range table.withStrength(strength) {
			require.Equal(t, strength, g.currentStrength())
			require.Len(t, table.membersOf(g), g.live)
			require.LessOrEqual(t, len(g.members), 2*g.live+minCompacted+1)
			listed += g.live
		}
	}
	require.Equal(t, len(table.groupOf), listed)
}

// The evidence that matters must not be evicted by other evidence, however much there is of that.
func TestWeakestEvidenceEvictedFirst(t *testing.T) {
	p := newCrashingParts()
	const strong = 20
	crash := func(n int, phase CrashPhase) *PartCrash {
		return &PartCrash{Run: TargetRun(fmt.Sprint("e", n)), At: time.Duration(n) * time.Millisecond, Workspaces: []WorkspaceID{1}, Phase: phase}
	}
	for n := range PartCrashLimit {
		p.addLoss(rangeOf(1, strong), crash(n, PhaseBegun))
	}
	for n := range 2 {
		p.addLoss(rangeOf(1000, strong), crash(10+n, PhaseBegun))
	}
	for n := range 4 {
		p.addLoss(rangeOf(uint64(n+1)<<20, maxSuspectParts), crash(100+n, PhaseLasting))
		p.addLoss(rangeOf(uint64(n+1)<<20+1<<19, maxSuspectParts/4), crash(200+n, PhaseBegun))
		require.LessOrEqual(t, len(p.suspects.groupOf), maxSuspectParts)
		requireConsistent(t, p.suspects)
	}
	for i := range uint64(strong) {
		require.Len(t, p.suspects.group(1+i).crashes, PartCrashLimit)
		require.Len(t, p.suspects.group(1000+i).crashes, 2)
	}
	for i := range uint64(maxSuspectParts / 4) {
		require.NotNil(t, p.suspects.group(4<<20+1<<19+i), "direct evidence of the last crash")
	}
}

// However many parts a lost request has, a call takes up a bounded number of them, and the others
// are taken up by later calls.
func TestLongPromptsTakenUpInSteps(t *testing.T) {
	const parts = 3*maxPartsPerStep + 10
	p := newCrashingParts()
	p.suspects.maxParts = 2 * parts
	for n := range 2 {
		p.recordCrash(&loss{at: time.Second, InFlight: InFlight{Run: "e1/1", Parts: rangeOf(uint64(1+n*parts), parts)}})
	}
	for steps := 1; ; steps++ {
		more := p.work()
		require.Equal(t, min(steps*maxPartsPerStep, 2*parts), p.suspects.size())
		require.Equal(t, 2*parts-p.suspects.size(), p.backlogParts)
		if !more {
			break
		}
	}
	require.Equal(t, 2*parts, p.suspects.size())
	require.Zero(t, p.dropped)

	for n := range 2 * maxBacklogParts / parts {
		p.recordCrash(&loss{at: time.Second, InFlight: InFlight{Run: "e2/1", Parts: rangeOf(uint64(n*parts), parts)}})
	}
	require.LessOrEqual(t, p.backlogParts, maxBacklogParts)
	require.Positive(t, p.dropped)
}

func TestTimesOfPartsKeptInBoundedTable(t *testing.T) {
	times := newPartTimes()
	_, known := times.at(0)
	require.False(t, known)
	times.record(0, 5)
	times.record(0, 3)
	at, known := times.at(0)
	require.True(t, known)
	require.EqualValues(t, 5, at)
	for part := range uint64(4 * partTimeEntries) {
		times.record(part, time.Duration(part))
	}
	require.Len(t, times.entries, partTimeEntries)
	recent := 0
	for part := uint64(4*partTimeEntries - 1000); part < 4*partTimeEntries; part++ {
		if at, known := times.at(part); known {
			require.EqualValues(t, part, at)
			recent++
		}
	}
	require.Greater(t, recent, 900, "later times replace earlier ones")
}

// A quarantined request must not be forgotten since many others were lost in crashes.
func TestQuarantinedRequestOutlastsManySuspects(t *testing.T) {
	tracker := NewTracker()
	for n := range CrashLimit {
		tracker.addCrash(0, 0, 7, TargetRun(fmt.Sprint("e", n)))
	}
	for n := range 3 * maxSuspects {
		tracker.addCrash(time.Second, time.Second, Fingerprint(1000+n), "e9/1")
	}
	require.LessOrEqual(t, len(tracker.requests.byFingerprint), maxSuspects)
	require.True(t, tracker.Quarantined(2*time.Second, 7, nil))
	for _, now := range []time.Duration{2 * time.Second, time.Minute} {
		reported := tracker.Report(now).Suspects
		require.Contains(t, reported, Fingerprint(7))
		require.LessOrEqual(t, len(reported), maxRecentSuspects+maxOldSuspects)
	}
	tracker.disprove(3*time.Second, "e9/1")
	require.Len(t, tracker.requests.byFingerprint, 1)
}

// BenchmarkMemoryAtBounds measures what a gate keeps when as much is suspected as it retains: parts
// of long prompts, requests, and times of completions.
func BenchmarkMemoryAtBounds(b *testing.B) {
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	const promptParts = 1800
	for name, crashes := range map[string]int{"one-crash": 1, "each-at-limit": PartCrashLimit} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				before := heap()
				tracker := NewTracker()
				for n := range 2 * maxSuspectParts / promptParts {
					parts := rangeOf(uint64(n)<<16, promptParts)
					for crash := range crashes {
						run := TargetRun(fmt.Sprint("engine-", n, "/", crash))
						tracker.parts.addLoss(parts, &PartCrash{Run: run, At: time.Second, Workspaces: []WorkspaceID{1}})
						tracker.addCrash(time.Second, time.Second, Fingerprint(n), run)
					}
					tracker.parts.recordCompleted(time.Second/2, parts)
					tracker.parts.recordLasted(time.Second/2, parts)
				}
				for n := range 2 * maxSuspects {
					tracker.addCrash(time.Second, time.Second, Fingerprint(1<<40+n), "engine/1")
				}
				b.ReportMetric(float64(heap()-before)/(1<<20), "MiB")
				b.ReportMetric(float64(tracker.SuspectedParts()), "parts")
				runtime.KeepAlive(tracker)
			}
		})
	}
}
