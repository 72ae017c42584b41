package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// generateLoad returns the random load of a seed: 2 to 40 workspaces with widely
// different demand, 1 to 12 gates, prompts of 1 to 60 thousand tokens, up to
// maxSlowFraction of the engines slow, up to a fifth of the reports lost, and an offered
// load between 1.2 and 1.2+offeredLoadRange times the engines' capacity.
func generateLoad(seed uint64, maxSlowFraction, offeredLoadRange float64) *Load {
	rng := rand.New(rand.NewPCG(seed, 2))
	l := &Load{
		Kinds: requestKinds, Gates: 1 + rng.IntN(12), Engines: 6 + rng.IntN(18), Length: 16 * time.Second,
		ReportDelay: time.Duration(100+rng.IntN(300)) * time.Millisecond, ReportLossRate: 0.2 * rng.Float64(), Seed: seed,
	}
	l.TokensPerSecond = float64(l.Engines) * tokensPerSecond / 18
	if rng.IntN(2) == 0 {
		l.SlowEngines, l.SlowdownFactor = rng.IntN(int(maxSlowFraction*float64(l.Engines))+1), 2+6*rng.Float64()
	}
	workspaces := 2 + rng.IntN(39)
	offeredLoad := 1.2 + offeredLoadRange*rng.Float64() // relative to the engines' capacity
	weights, total := make([]float64, workspaces), 0.0
	for i := range weights {
		weights[i] = 1 / float64(1+rng.IntN(100))
		total += weights[i]
	}
	const meanWork = 5500 // approximate, tokens of work per request
	for i, weight := range weights {
		w := Workspace{Name: fmt.Sprintf("w%02d", i), RequestsPerSecond: offeredLoad * l.TokensPerSecond / meanWork * weight / total, LongPromptsOnly: rng.IntN(6) == 0}
		if rng.IntN(3) == 0 {
			w.Gates = []int{rng.IntN(l.Gates)}
		}
		l.Workspaces = append(l.Workspaces, w)
	}
	return l
}

// Parameters of generateLoad: usual values cover the users' heavy days; hard values
// exceed them, and all engines may be slow.
const (
	usualSlowFraction, usualOfferedLoadRange = 0.5, 2.5
	hardSlowFraction, hardOfferedLoadRange   = 1.0, 5.0
)

func requireNoStarvation(t *testing.T, load *Load) {
	t.Helper()
	starved := Simulate(load, Shares(load)).StarvedWorkspaces()
	require.Empty(t, starved, "seed %d: gates %d, engines %d, %d slow by %.1f, workspaces %d",
		load.Seed, load.Gates, load.Engines, load.SlowEngines, load.SlowdownFactor, len(load.Workspaces))
}

func TestNoWorkspaceStarvesOnGeneratedLoads(t *testing.T) {
	const loads = 30
	for seed := range uint64(loads) {
		requireNoStarvation(t, generateLoad(seed, usualSlowFraction, usualOfferedLoadRange))
	}
}

// The seeds, out of 300 hard loads, that leave or once left a workspace with less than
// half of its share for six seconds; see docs/design/admission.md.
func TestNoWorkspaceStarvesOnHardLoads(t *testing.T) {
	for _, seed := range []uint64{45, 70, 164, 49, 52, 109, 114, 199, 290, 8, 117} {
		requireNoStarvation(t, generateLoad(seed, hardSlowFraction, hardOfferedLoadRange))
	}
}

// Request limits lower the capacity, at some engines only. Shares must follow it.
func TestNoWorkspaceStarvesBesideRequestLimits(t *testing.T) {
	const loads = 30
	for seed := range uint64(loads) {
		load := generateLoad(seed, 0, usualOfferedLoadRange)
		load.LimitedEngines = load.Engines * 7 / 10
		load.RequestLimit = 0.5 * load.TokensPerSecond / float64(load.Engines) / load.meanWork()
		requireNoStarvation(t, load)
	}
}

// All engines are limited to less than a third of the demand, which would fit without limits. A
// workspace with most of the demand must not crowd out small ones.
func TestSmallWorkspacesServedBesideLargeOneAtLimitedEngines(t *testing.T) {
	const seeds, smallWorkspaces = 4, 10
	var small, large Outcome
	for seed := range uint64(seeds) {
		load := &Load{
			Kinds: requestKinds, Gates: 5, Engines: 12, Length: 16 * time.Second, ReportDelay: 200 * time.Millisecond, Seed: seed,
			TokensPerSecond: 12 * tokensPerSecondPerEngine,
		}
		requestsPerSecond := load.TokensPerSecond / load.meanWork()
		load.Workspaces = []Workspace{{Name: "large", RequestsPerSecond: 0.8 * requestsPerSecond}}
		for i := range smallWorkspaces {
			load.Workspaces = append(load.Workspaces, Workspace{Name: fmt.Sprint("small", i), RequestsPerSecond: 0.01 * requestsPerSecond})
		}
		load.LimitedEngines, load.RequestLimit = load.Engines, 0.3*requestsPerSecond/float64(load.Engines)
		r := Simulate(load, Shares(load))
		below := r.OutcomeExcept("large")
		small.Requests, small.Refused = small.Requests+below.Requests, small.Refused+below.Refused
		large.Requests, large.Refused = large.Requests+r.Workspaces["large"].Requests, large.Refused+r.Workspaces["large"].Refused
	}
	t.Logf("refused: %d of %d of small workspaces, %d of %d of the large one", small.Refused, small.Requests, large.Refused, large.Requests)
	require.Less(t, float64(small.Refused)/float64(small.Requests), 2.0/3*float64(large.Refused)/float64(large.Requests))
}
