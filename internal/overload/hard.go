package overload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// hardKinds are the kinds of engine request on the heaviest days of the second deployment
// (docs/HARD-LOAD.md, part 6).
var hardKinds = []Kind{
	{"keepsake-letter", 158.0 / hardRequestsPerSecond, 5382, 200, 6610, 385, 1000 * time.Millisecond, 15 * time.Second},
	{"jar-question", 262.0 / hardRequestsPerSecond, 198, 357, 628, 294, 500 * time.Millisecond, 12 * time.Second},
	{"note-tagging", 230.0 / hardRequestsPerSecond, 568, 204, 1800, 21, 600 * time.Millisecond, 3 * time.Second},
}

// kindWorth is what a caller earns by a response in time; a late one earns half of it.
var kindWorth = map[string]float64{"keepsake-letter": 4.5, "jar-question": 1.9, "note-tagging": 0.49}

// HardLoad returns a load of long prompts beside short ones at engines of two speeds, at
// offeredLoad times the requests of the heaviest days. The engines have capacityFactor times
// the capacity of those of the first user's specification, by which shares are computed.
func HardLoad(seed uint64, offeredLoad, capacityFactor float64) *Load {
	rng := rand.New(rand.NewPCG(seed, 41))
	l := &Load{
		Kinds: hardKinds, Gates: 22, Engines: 41, Length: 20 * time.Second, Seed: seed,
		ReadTokensPerMS: 55, BaseStepTime: 2900 * time.Microsecond, CacheTokens: 569_000, Speeds: Speeds{Relative: []float64{1 / 0.55, 1 / 1.2, 1 / 1.2}},
		ReportDelay: 200 * time.Millisecond, TokensPerSecond: capacityFactor * hardTokensPerSecond, StepTimePerSlot: 30 * time.Microsecond,
	}
	const workspaces = 40
	weights, total := make([]float64, workspaces), 0.0
	for i := range weights {
		weights[i] = 1 / float64(1+rng.IntN(20))
		total += weights[i]
	}
	for i, weight := range weights {
		l.Workspaces = append(l.Workspaces, Workspace{Name: fmt.Sprintf("w%02d", i), RequestsPerSecond: offeredLoad * hardRequestsPerSecond * weight / total})
	}
	return l
}

// hardRequestsPerSecond is the number of requests of all kinds on the heaviest days.
const hardRequestsPerSecond = 650

// hardTokensPerSecond is the nominal capacity of the engines of HardLoad, in tokens of work.
const hardTokensPerSecond = 41 * tokensPerSecondPerEngine * 55 / defaultReadTokensPerMS

// WorstTenth returns the mean fraction of their worth that the worst tenth of the workspaces
// got.
func (r *Result) WorstTenth() float64 {
	var fractions []float64
	for _, o := range r.Workspaces {
		fractions = append(fractions, o.Worth/o.MaxWorth)
	}
	slices.Sort(fractions)
	worst := fractions[:max(1, len(fractions)/10)]
	sum := 0.0
	for _, fraction := range worst {
		sum += fraction
	}
	return sum / float64(len(worst))
}
