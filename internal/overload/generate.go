package overload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Ranges of generated deployments. They reach a factor of two beyond the users'
// specifications at both ends.
const (
	minReadTokensPerMS, maxReadTokensPerMS         = 25.0, 180.0
	minEngines, maxEngines                         = 6, 40
	maxGates                                       = 16
	maxWorkspaces                                  = 40
	minFirstTokenObjective, maxFirstTokenObjective = 400 * time.Millisecond, 2 * time.Second
	minOfferedLoad, maxOfferedLoad                 = 0.6, 3.5 // relative to the nominal capacity
	// tokensPerSecondPerEngine is the nominal capacity of an engine in the first user's
	// specification.
	tokensPerSecondPerEngine = tokensPerSecond / 18
)

// GenerateDeployment returns a random deployment and load, determined by seed: engines,
// gates, workspaces, and kinds of request with their sizes and objectives. On average,
// every second deployment has slow engines.
func GenerateDeployment(seed uint64) *Load {
	rng := rand.New(rand.NewPCG(seed, 11))
	uniform := func(low, high float64) float64 { return low + (high-low)*rng.Float64() }
	l := &Load{
		Gates: 1 + rng.IntN(maxGates), Engines: minEngines + rng.IntN(maxEngines-minEngines), Length: 16 * time.Second,
		ReadTokensPerMS: uniform(minReadTokensPerMS, maxReadTokensPerMS), Seed: seed,
		ReportDelay: time.Duration(uniform(100, 400)) * time.Millisecond, ReportLossRate: 0.1 * rng.Float64(),
	}
	l.TokensPerSecond = float64(l.Engines) * tokensPerSecondPerEngine * l.ReadTokensPerMS / defaultReadTokensPerMS
	if rng.IntN(2) == 0 {
		l.SlowEngines, l.SlowdownFactor = rng.IntN(l.Engines/2), uniform(2, 6)
	}
	fractions := []float64{uniform(0.1, 0.4), uniform(0.2, 0.5)}
	fractions = append(fractions, 1-fractions[0]-fractions[1])
	for i, k := range slices.Clone(requestKinds) {
		k.Fraction = fractions[i]
		k.SharedTokens = int(float64(k.SharedTokens) * uniform(0.3, 1.5))
		k.UniqueTokens = int(float64(k.UniqueTokens) * uniform(0.3, 1.5))
		k.SharedParts = 10 + rng.IntN(400)
		k.FirstTokenObjective = time.Duration(uniform(float64(minFirstTokenObjective), float64(maxFirstTokenObjective)))
		l.Kinds = append(l.Kinds, k)
	}
	l.addRandomWorkspaces(rng, uniform(minOfferedLoad, maxOfferedLoad))
	return l
}

// OfferedLoad returns the work requested by all workspaces, relative to the engines'
// nominal capacity.
func (l *Load) OfferedLoad() float64 {
	requested := 0.0
	for _, w := range l.Workspaces {
		requested += w.RequestsPerSecond * l.meanWork()
	}
	return requested / l.TokensPerSecond
}

// meanWork is the mean work of a request, in tokens.
func (l *Load) meanWork() float64 {
	mean := 0.0
	for _, k := range l.Kinds {
		mean += k.Fraction * float64(k.SharedTokens+k.UniqueTokens+2*k.OutputTokens)
	}
	return mean
}

// addRandomWorkspaces adds workspaces with widely different demand that together request
// offeredLoad times the engines' nominal capacity.
func (l *Load) addRandomWorkspaces(rng *rand.Rand, offeredLoad float64) {
	weights, total := make([]float64, 3+rng.IntN(maxWorkspaces-2)), 0.0
	for i := range weights {
		weights[i] = 1 / float64(1+rng.IntN(60))
		total += weights[i]
	}
	for i, weight := range weights {
		w := Workspace{Name: fmt.Sprintf("w%02d", i), RequestsPerSecond: offeredLoad * l.TokensPerSecond / l.meanWork() * weight / total, LongPromptsOnly: rng.IntN(8) == 0}
		if rng.IntN(3) == 0 {
			w.Gates = []int{rng.IntN(l.Gates)}
		}
		l.Workspaces = append(l.Workspaces, w)
	}
}
