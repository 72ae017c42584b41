package overload

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// contactTime and maxPlacedAfter are the platform's bounds: no more than three requests
	// with a part reach engines later than contactTime after its fifth crash.
	contactTime    = 3 * time.Second
	boundingCrash  = 5
	maxPlacedAfter = 3
	crashingStart  = 8 * time.Second
)

// crashingLoad returns a load of five gates and twelve engines that have capacity for what
// sixteen workspaces request, half of it from three of them, and requests with parts
// that crash engines.
func crashingLoad(seed uint64, parts ...CrashingPart) *Load {
	const engines = 12
	l := &Load{
		Kinds: requestKinds, Gates: 5, Engines: engines, Length: 40 * time.Second, Seed: seed,
		TokensPerSecond: tokensPerSecondPerEngine * engines, ReportDelay: 300 * time.Millisecond, ReportLossRate: 0.05,
		CrashingParts: parts,
	}
	for i := range 16 {
		rate := 1.5
		if i < 3 {
			rate = 6
		}
		l.Workspaces = append(l.Workspaces, Workspace{Name: fmt.Sprintf("w%02d", i), RequestsPerSecond: rate})
	}
	return l
}

func crashingPart(hash uint64) CrashingPart {
	return CrashingPart{Hash: hash, RequestsPerSecond: 2, Start: crashingStart}
}

// admittedFraction returns the fraction of the arrivals from one time to another that
// were admitted at the first attempt, of those that match.
func (r *Result) admittedFraction(from, to time.Duration, matches func(Arrival) bool) (float64, int) {
	admitted, all := 0, 0
	for _, a := range r.Arrivals {
		if a.At < from || a.At >= to || !matches(a) {
			continue
		}
		all++
		if a.Admitted {
			admitted++
		}
	}
	return float64(admitted) / float64(max(all, 1)), all
}

// forEachSeed runs test for twenty seeds, side by side.
func forEachSeed(t *testing.T, test func(t *testing.T, seed uint64)) {
	t.Parallel()
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			test(t, seed)
		})
	}
}

func TestCrashingPartReachesFewEnginesAfterFifthCrash(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		l := crashingLoad(seed, crashingPart(1<<60))
		r := Simulate(l, Shares(l))
		placed := r.Crashing[0].PlacedAfter(boundingCrash, contactTime)
		t.Logf("%d crashes, %d requests placed, %d after the bound", len(r.Crashing[0].Crashes), len(r.Crashing[0].Placed), placed)
		require.LessOrEqual(t, placed, maxPlacedAfter)
	})
}

func TestPartThatCrashesBeforeResponseReachesFewEngines(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		part := crashingPart(1 << 60)
		part.BeforeResponse = true
		l := crashingLoad(seed, part)
		r := Simulate(l, Shares(l))
		require.LessOrEqual(t, r.Crashing[0].PlacedAfter(boundingCrash, contactTime), maxPlacedAfter)
		require.Zero(t, r.Quarantined, "sound requests refused as quarantined")
	})
}

func TestPartThatCrashesWhileStreamingReachesFewEngines(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		part := crashingPart(1 << 60)
		part.After = 700 * time.Millisecond
		l := crashingLoad(seed, part)
		r := Simulate(l, Shares(l))
		require.LessOrEqual(t, r.Crashing[0].PlacedAfter(boundingCrash, contactTime), maxPlacedAfter)
		require.Zero(t, r.Quarantined, "sound requests refused as quarantined")
	})
}

func TestSeveralCrashingPartsReachFewEngines(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		l := crashingLoad(seed, crashingPart(1<<60), crashingPart(2<<60), crashingPart(3<<60))
		r := Simulate(l, Shares(l))
		for i, outcome := range r.Crashing {
			require.LessOrEqual(t, outcome.PlacedAfter(boundingCrash, contactTime), maxPlacedAfter, "part %d", i)
		}
	})
}

// TestSoundRequestsBesideCrashingPartAdmitted compares the workspaces and the shared parts that
// requests with the crashing part have as well.
func TestSoundRequestsBesideCrashingPartAdmitted(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		part := crashingPart(1 << 60)
		part.Workspaces = []int{0}
		l := crashingLoad(seed, part)
		r := Simulate(l, Shares(l))
		crashes := r.Crashing[0].Crashes
		bound := crashes[min(len(crashes), boundingCrash)-1] + 2*contactTime
		sameWorkspace := func(a Arrival) bool { return a.Workspace == "w00" }
		before, _ := r.admittedFraction(0, crashingStart, sameWorkspace)
		after, count := r.admittedFraction(bound, l.Length, sameWorkspace)
		require.Greater(t, count, 20)
		require.GreaterOrEqual(t, after, before/2)
		sameFirstPart := func(a Arrival) bool { return r.Crashing[0].SharedHashes[a.SharedHash] }
		before, _ = r.admittedFraction(0, crashingStart, sameFirstPart)
		after, count = r.admittedFraction(bound, l.Length, sameFirstPart)
		require.Greater(t, count, 20)
		require.GreaterOrEqual(t, after, before/2)
		others := func(a Arrival) bool { return a.Workspace != "w00" }
		before, _ = r.admittedFraction(0, crashingStart, others)
		after, _ = r.admittedFraction(bound, l.Length, others)
		require.GreaterOrEqual(t, after, before/2)
	})
}

// TestCrashesForOtherReasonsBlockNoPart plays requests that crash engines and have no part
// in common but those of sound requests.
func TestCrashesForOtherReasonsBlockNoPart(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		part := crashingPart(0)
		part.WithoutPart = true
		l := crashingLoad(seed, part)
		for start := crashingStart; start < l.Length; start += 6 * time.Second {
			l.Outages = append(l.Outages, Outage{Start: start, Length: 2 * time.Second, Engines: 4})
		}
		r := Simulate(l, Shares(l))
		require.Zero(t, r.Quarantined, "requests refused as quarantined")
	})
}
