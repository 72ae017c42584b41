package peers

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/quarantine"
)

func TestCrashesRoundTrip(t *testing.T) {
	report := quarantine.Report{
		Crashes:          map[quarantine.TargetRun]time.Duration{"e1/a": time.Second, "e2/b": 2 * time.Second},
		DisprovedCrashes: map[quarantine.TargetRun]time.Duration{"e3/c": 300 * time.Millisecond},
		SuspectParts: map[uint64][]quarantine.PartCrash{
			1 << 63: {{Run: "e1/a", At: time.Second, Workspaces: []quarantine.WorkspaceID{7, 1 << 31}}, {Run: "e4/d", At: 9 * time.Second, Phase: quarantine.PhaseWaiting}, {Run: "e5/f", At: 10 * time.Second, Phase: quarantine.PhaseLasting}},
		},
		ClearedParts:   map[uint64]time.Duration{5: 40 * time.Millisecond},
		OutlastedParts: map[uint64]time.Duration{1 << 63: 20 * time.Millisecond},
		Suspects: map[quarantine.Fingerprint]map[quarantine.TargetRun]time.Duration{
			1 << 63: {"e1/a": time.Second, "e5/f": time.Minute}, 7: {"e1/a": time.Second},
		},
	}
	data, err := cbor.Marshal(message{Crashes: encodeCrashes(&report)})
	require.NoError(t, err)
	var m message
	require.NoError(t, cbor.Unmarshal(data, &m))
	var got quarantine.Report
	m.Crashes.decodeInto(&got)
	require.Equal(t, report, got)
}

func TestNoCrashesAddNothingToReport(t *testing.T) {
	require.Nil(t, encodeCrashes(&quarantine.Report{}))
	var report quarantine.Report
	(*crashMessage)(nil).decodeInto(&report)
	require.Empty(t, report)
}

func TestMalformedCrashesIgnored(t *testing.T) {
	m := crashMessage{
		Runs: []string{"e1/a"}, Crashes: map[int]int64{-1: 5, 1: 5, 0: -5},
		PartGroups: []partGroupMessage{{Parts: []uint64{1}, Crashes: []partCrashMessage{{Run: 3}}}, {Parts: []uint64{2}, Crashes: []partCrashMessage{{Run: 0, Phase: 9}}}, {Parts: []uint64{3}}},
	}
	var report quarantine.Report
	m.decodeInto(&report)
	require.Equal(t, map[quarantine.TargetRun]time.Duration{"e1/a": 0}, report.Crashes)
	require.Empty(t, report.SuspectParts)
}

// The parts of a long prompt have their crashes in common, so that a report names these once.
func TestPartsOfLongPromptAddFewBytes(t *testing.T) {
	const parts = 256
	crashes := []quarantine.PartCrash{
		{Run: "engine-1/lk2x9a7d", At: time.Second, Workspaces: []quarantine.WorkspaceID{1 << 30}},
		{Run: "engine-2/lk2x9a7d", At: time.Second},
		{Run: "engine-3/lk2x9a7d", At: time.Second},
		{Run: "engine-4/lk2x9a7d", At: time.Second},
	}
	report := quarantine.Report{SuspectParts: make(map[uint64][]quarantine.PartCrash)}
	for n := range parts {
		report.SuspectParts[uint64(1<<61+n)] = crashes
	}
	data, err := cbor.Marshal(encodeCrashes(&report))
	require.NoError(t, err)
	require.Less(t, len(data), 10*parts+200, "a hash takes nine bytes")
	var m crashMessage
	require.NoError(t, cbor.Unmarshal(data, &m))
	var got quarantine.Report
	m.decodeInto(&got)
	require.Equal(t, report.SuspectParts, got.SuspectParts)
}
