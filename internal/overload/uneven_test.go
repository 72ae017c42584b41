package overload

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ownSpeeds are targets of which one is slow and one is fast.
var ownSpeeds = []float64{1, 1, 1, 1.8, 0.8, 1}

func plainLoad(speeds Speeds, offered float64) PlainLoad {
	return PlainLoad{Speeds: speeds, Gates: 22, Targets: 6, Workspaces: 30, OfferedLoad: offered, Length: 20 * time.Second, Seed: 1}
}

// comparePlain runs a load with and without learned speeds.
func comparePlain(t *testing.T, load PlainLoad) (learned, ignored *PlainResult) {
	t.Helper()
	learned = SimulatePlain(&load)
	load.IgnoreSpeeds = true
	ignored = SimulatePlain(&load)
	for _, name := range []string{"120ms", "200ms", "300ms"} {
		t.Logf("objective %s: in time %.3f, without %.3f", name, learned.Kinds[name].InTimeFraction(), ignored.Kinds[name].InTimeFraction())
	}
	t.Logf("worst tenth of workspaces %.3f, without %.3f; 99 in 100 within %v, without %v", WorstTenth(learned.Workspaces), WorstTenth(ignored.Workspaces),
		learned.Total.WaitQuantile(0.99), ignored.Total.WaitQuantile(0.99))
	return learned, ignored
}

// Guards against requests that wait at slow plain targets while others could serve them in
// time. At half of the capacity, all but a few can be served in time.
func TestUnevenPlainTargetsServeInTime(t *testing.T) {
	t.Parallel()
	const (
		minInTime       = 0.95
		minInTimeUnseen = 0.9 // slowdowns of 600 ms that no figure announces
	)
	for name, c := range map[string]struct {
		speeds Speeds
		bound  float64
	}{
		"own speeds, no figures":                {Speeds{Relative: ownSpeeds}, minInTime},
		"own speeds, three figures":             {Speeds{Relative: ownSpeeds, Figures: LoadFigures}, minInTime},
		"shared machines, pace":                 {Speeds{SharedMachines: true, Figures: PaceFigures}, minInTime},
		"own speeds and shared machines, pace":  {Speeds{Relative: ownSpeeds, SharedMachines: true, Figures: PaceFigures}, minInTime},
		"own speeds and shared machines, three": {Speeds{Relative: ownSpeeds, SharedMachines: true, Figures: LoadFigures}, minInTimeUnseen},
	} {
		t.Run(name, func(t *testing.T) {
			learned, ignored := comparePlain(t, plainLoad(c.speeds, 0.5))
			require.Greater(t, learned.Total.InTime, ignored.Total.InTime)
			require.GreaterOrEqual(t, learned.Total.InTimeFraction(), c.bound)
			require.GreaterOrEqual(t, WorstTenth(learned.Workspaces), c.bound-0.03)
			for kind, o := range learned.Kinds {
				require.GreaterOrEqual(t, o.InTimeFraction(), ignored.Kinds[kind].InTimeFraction(), kind)
			}
		})
	}
}

// Guards against a deployment with alike targets being served differently: noise of the
// observed times must not count as different speeds.
func TestAlikePlainTargetsServedAsBefore(t *testing.T) {
	t.Parallel()
	for _, gates := range []int{1, 2, 6, 22} {
		for _, offered := range []float64{0.2, 0.5, 0.7} {
			for seed := range uint64(3) {
				load := plainLoad(Speeds{Figures: Figures(seed)}, offered)
				load.Gates, load.Seed = gates, seed
				learned := SimulatePlain(&load)
				load.IgnoreSpeeds = true
				require.True(t, slices.Equal(SimulatePlain(&load).Placements, learned.Placements), "%d gates, load %.1f, seed %d", gates, offered, seed)
			}
		}
	}
}

// Guards against many gates moving to the same target when it states a short queue. Near the
// capacity, they then fill up one target after the other: with the least expected end over all
// targets, 0.83 of the requests are in time.
func TestGatesDoNotHerd(t *testing.T) {
	t.Parallel()
	const minInTime = 0.9
	load := plainLoad(Speeds{SharedMachines: true, Figures: PaceFigures}, 0.7)
	r, _ := comparePlain(t, load)
	t.Logf("in time %.3f, refused %d of %d", r.Total.InTimeFraction(), r.Total.Refused, r.Total.Requests)
	require.GreaterOrEqual(t, r.Total.InTimeFraction(), minInTime)
	for second := 2; second < len(r.PlacedBySecond)-1; second++ {
		placed := r.PlacedBySecond[second]
		total := 0
		for _, n := range placed {
			total += n
		}
		require.Less(t, float64(slices.Max(placed)), 0.4*float64(total), "second %d: %v", second, placed)
	}
}

// shareIn returns the share of requests that a target got in some seconds.
func (r *PlainResult) shareIn(target, from, to int) float64 {
	placed, total := 0, 0
	for _, second := range r.PlacedBySecond[from:to] {
		for i, n := range second {
			total += n
			if i == target {
				placed += n
			}
		}
	}
	return float64(placed) / float64(total)
}

// Guards against estimates that stick: a target that becomes slow must get less within a
// few seconds, and one that becomes fast again its former part.
func TestPlainTargetsFollowChangesInBothDirections(t *testing.T) {
	t.Parallel()
	slow, fast := []float64{1, 1, 1, 2.2, 0.8, 1}, []float64{1, 1, 1, 0.8, 2.2, 1}
	load := plainLoad(Speeds{Relative: slow, Changed: fast, ChangeAt: 10 * time.Second, Figures: LoadFigures}, 0.6)
	r := SimulatePlain(&load)
	for _, from := range []int{6, 14} {
		t.Logf("from %d s: target 3 %.3f, target 4 %.3f", from, r.shareIn(3, from, from+4), r.shareIn(4, from, from+4))
	}
	require.Less(t, r.shareIn(3, 6, 10), 0.7*r.shareIn(4, 6, 10))
	require.Less(t, r.shareIn(4, 14, 18), 0.7*r.shareIn(3, 14, 18))
}

// Guards against a gate that starts anew and sends to a slow target as if all were alike
// until it has learned by itself.
func TestRestartedGateLearnsFromPeers(t *testing.T) {
	t.Parallel()
	load := plainLoad(Speeds{Relative: []float64{1, 1, 1, 2.2, 0.8, 1}}, 0.5)
	load.Gates = 7
	load.RestartAt = 18 * time.Second
	r := SimulatePlain(&load)
	t.Logf("last gate after its restart: %v", r.LastGate)
	require.Less(t, float64(r.LastGate[3]), 0.6*float64(r.LastGate[0]))
}

// unevenEngines are engines at 0.55 and 1.2 times the nominal speed.
var unevenEngines = []float64{1 / 0.55, 1 / 1.2, 1 / 1.2}

// engineOutcome is what callers got over several runs.
type engineOutcome struct {
	requests, inTime, late float64
	worstTenth, wait       float64 // means over the runs; wait in seconds
}

func (e *engineOutcome) add(r *Result) {
	e.requests += float64(r.Total.Requests)
	e.inTime += float64(r.Total.InTime)
	e.late += float64(r.Total.Late)
	e.worstTenth += WorstTenth(r.Workspaces) / unevenRuns
	e.wait += r.Total.WaitQuantile(0.9).Seconds() / unevenRuns
}

// unevenRuns is the number of runs that are compared: one run differs from another by more
// than the effect, since each choice changes what engines cache.
const unevenRuns = 12

// Guards against slow engines that get as much as fast ones. The gain is small: the first
// choice of a prompt stays the engine that caches its parts.
func TestUnevenEnginesServeMoreInTime(t *testing.T) {
	t.Parallel()
	var learned, ignored engineOutcome
	kinds := make(map[string][2]Outcome)
	for seed := range uint64(unevenRuns) {
		load := Flood()
		load.Seed = seed + 1
		load.Speeds = Speeds{Relative: unevenEngines, SharedMachines: true, Figures: PaceFigures}
		load.Workspaces = slices.Clone(load.Workspaces)
		for i := range FloodWorkspaces {
			load.Workspaces[i].RequestsPerSecond *= 0.4
		}
		with, without := Simulate(load, Shares(load)), Simulate(load, SharesWithoutSpeeds(load))
		learned.add(with)
		ignored.add(without)
		for name := range with.Kinds {
			kind := kinds[name]
			for i, r := range []*Result{with, without} {
				kind[i].Requests += r.Kinds[name].Requests
				kind[i].InTime += r.Kinds[name].InTime
			}
			kinds[name] = kind
		}
	}
	for name, kind := range kinds {
		t.Logf("%s: in time %.4f, without %.4f", name, kind[0].InTimeFraction(), kind[1].InTimeFraction())
	}
	t.Logf("in time %.4f, without %.4f; late %.4f, without %.4f", learned.inTime/learned.requests, ignored.inTime/ignored.requests, learned.late/learned.requests, ignored.late/ignored.requests)
	t.Logf("worst tenth of workspaces %.3f, without %.3f; first event of 9 in 10 within %.3f s, without %.3f s", learned.worstTenth, ignored.worstTenth, learned.wait, ignored.wait)
	require.Greater(t, learned.inTime/learned.requests, ignored.inTime/ignored.requests)
	require.Less(t, learned.late/learned.requests, ignored.late/ignored.requests)
	require.GreaterOrEqual(t, learned.worstTenth, ignored.worstTenth)
	require.Less(t, learned.wait, ignored.wait)
}

// Guards against a deployment with alike engines being served differently: the load that an
// engine gets by the hash of shared prompts must not count as its speed.
func TestAlikeEnginesServedAsBefore(t *testing.T) {
	t.Parallel()
	for _, gates := range []int{1, 3, 6, 22} {
		for _, offered := range []float64{0.3, 1} {
			t.Run(fmt.Sprint(gates, "-gates-", offered), func(t *testing.T) {
				load := Flood()
				load.Gates, load.Length, load.Speeds.Figures = gates, 16*time.Second, PaceFigures
				load.Workspaces = slices.Clone(load.Workspaces)
				for i := range load.Workspaces {
					load.Workspaces[i].RequestsPerSecond *= offered
					load.Workspaces[i].Gates = nil
				}
				require.Equal(t, Simulate(load, SharesWithoutSpeeds(load)).Workspaces, Simulate(load, Shares(load)).Workspaces)
			})
		}
	}
}
