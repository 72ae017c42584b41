package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/prompt"
	"github.com/mastichollow/mastichollow/internal/target"
)

const crashing = uint64(0xbad) // a part that crashes engines

func instanceOf(id string) *target.Instance { return &target.Instance{ID: id} }

// lose records that the connection of a request to a target was lost.
func lose(t *Tracker, now time.Duration, id string, f Fingerprint) {
	t.RecordLoss(now, instanceOf(id), InFlight{Run: RunOf(instanceOf(id)), Fingerprint: f})
}

// A target that restarts under its ID responds: that does not disprove its crash.
func TestResponseOfRestartedTargetKeepsCrash(t *testing.T) {
	tracker := NewTracker()
	for n := range CrashLimit {
		now := time.Duration(n) * 10 * time.Second
		id := fmt.Sprint("t-", n)
		lose(tracker, now, id, 7001)
		lose(tracker, now, id, 7002)
		tracker.RecordResponse(now+10*time.Millisecond, instanceOf(id)) // was in transit at the crash
		tracker.RecordResponse(now+5*time.Second, instanceOf(id))       // restarted under the same ID
	}
	require.True(t, tracker.Quarantined(30*time.Second, 7001, nil))
}

// A request that many callers repeat is in flight when a whole rack fails. It must not
// be quarantined for that.
func TestRecentlyCompletedRequestNoSuspect(t *testing.T) {
	s := NewTracker()
	crash := func(now time.Duration) {
		for n := range CrashLimit {
			id := fmt.Sprint("t-", n)
			lose(s, now, id, 1)
			lose(s, now, id, 2)
		}
	}
	s.recordRequestCompleted(0, 1)
	crash(time.Second)
	require.False(t, s.Quarantined(2*time.Second, 1, nil))
	require.True(t, s.Quarantined(2*time.Second, 2, nil))

	for f := range Fingerprint(3 * maxCompleted) {
		s.recordRequestCompleted(3*time.Second, 100+f)
	}
	require.LessOrEqual(t, len(s.completed.current)+len(s.completed.previous), 2*maxCompleted)
	crash(4 * time.Second)
	require.True(t, s.Quarantined(5*time.Second, 1, nil), "the completion was evicted")
}

// Reports stay bounded however many requests are suspected.
func TestOldSuspectsInReportBounded(t *testing.T) {
	tracker := NewTracker()
	for n := range 10 * maxOldSuspects {
		tracker.addCrash(0, time.Duration(n)*time.Millisecond, Fingerprint(n), "i-1/1")
	}
	reported := tracker.Report(time.Minute).Suspects
	require.Len(t, reported, maxOldSuspects)
	require.Contains(t, reported, Fingerprint(10*maxOldSuspects-1), "the latest")
}

func TestUnframedEndsBounded(t *testing.T) {
	tracker := NewTracker()
	for n := range 2 * maxUnframedEnds {
		tracker.RecordUnframedEnd(0, InFlight{Run: "e1/1", Fingerprint: Fingerprint(n), Parts: []prompt.Part{{Hash: 1}}}, true)
	}
	require.Len(t, tracker.unframed, maxUnframedEnds)
	tracker.Report(2 * PeerEvidenceWindow)
	require.Empty(t, tracker.unframed)
}

func TestCrashingPartStateBounded(t *testing.T) {
	const maxParts, crashes = 1024, 2048
	p := newCrashingParts()
	p.suspects.maxParts = maxParts
	for i := range crashes {
		now := time.Duration(i) * time.Millisecond
		run := TargetRun(fmt.Sprint("e", i))
		p.recordCrash(&loss{at: now, InFlight: InFlight{Run: run, Parts: []prompt.Part{{Hash: crashing}, {Hash: uint64(i)}, {Hash: 1}}, Began: true, BeganAt: now, Workspace: WorkspaceID(i)}})
		p.work()
		p.disproveCrash(now, TargetRun(fmt.Sprint("d", i)))
		for j := range 5 {
			p.recordCompleted(now, []prompt.Part{{Hash: uint64(1<<40 + 5*i + j)}, {Hash: 1}})
			p.recordLasted(now, []prompt.Part{{Hash: uint64(1<<40 + 5*i + j)}, {Hash: 1}})
		}
		if i%32 == 0 {
			p.blocked(now, []prompt.Part{{Hash: 5}, {Hash: 6}}, 0)
		}
	}
	require.LessOrEqual(t, len(p.suspects.groupOf), maxParts)
	require.LessOrEqual(t, len(p.suspects.group(crashing).crashes), maxPartCrashes)
	for _, runs := range []*boundedRuns{p.begun, p.crashed, p.disproved} {
		require.LessOrEqual(t, len(runs.times), maxCrashedRuns)
		require.LessOrEqual(t, len(runs.order), maxCrashedRuns)
	}
	require.Len(t, p.completed.entries, partTimeEntries)
	require.Len(t, p.lasted.entries, partTimeEntries)
	require.LessOrEqual(t, len(p.cleared.at), maxClearedParts)
	require.LessOrEqual(t, len(p.outlasted.at), maxClearedParts)
	require.LessOrEqual(t, len(p.changes), maxPartChanges)
	now := crashes * time.Millisecond
	require.NotNil(t, p.blocked(now+PartSettleTime, []prompt.Part{{Hash: crashing}, {Hash: 1}}, 0))
	require.LessOrEqual(t, len(p.report(now)), maxReportedParts)
	require.LessOrEqual(t, len(p.cleared.report(now)), maxReportedParts)
	require.LessOrEqual(t, len(p.outlasted.report(now)), maxReportedParts)
	for range maxParts/maxPartsPerStep + 1 {
		p.computeBlocks(now + 3*PartBlockTime)
	}
	require.Empty(t, p.suspects.groupOf)
	require.Empty(t, p.blocks)
}

// BenchmarkPartBlocks measures the search for crashing parts after each crash, when as many parts
// are suspected as the gate retains.
func BenchmarkPartBlocks(b *testing.B) {
	p := newCrashingParts()
	for i := range 1024 {
		p.addLoss([]prompt.Part{{Hash: uint64(i)}}, &PartCrash{Run: TargetRun(fmt.Sprint("e", i%32)), At: time.Duration(i) * time.Millisecond})
	}
	for i := range 2 * PartCrashBound {
		p.addLoss([]prompt.Part{{Hash: crashing}}, &PartCrash{Run: TargetRun(fmt.Sprint("e", i)), At: time.Second, Phase: PhaseWaiting})
	}
	for b.Loop() {
		p.computeBlocks(2 * time.Second)
	}
	require.Len(b, p.blocks, 1)
}
