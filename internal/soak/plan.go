package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what a step of a plan does.
type Kind string

// Kinds of steps.
const (
	StopGate    Kind = "stop-gate"  // SIGTERM, then a start
	ReloadGate  Kind = "reload"     // SIGHUP
	KillGate    Kind = "kill-gate"  // SIGKILL, then a start
	PauseGate   Kind = "pause-gate" // SIGSTOP until the step ends
	KillAll     Kind = "kill-all"
	CallerLink  Kind = "caller-link" // between callers and a gate
	StoreLink   Kind = "store-link"  // between a gate and the store
	TargetLink  Kind = "target-link" // between gates and a target
	StoreFault  Kind = "store"
	Compact     Kind = "compact" // the store forgets its history
	TargetFault Kind = "target"
	CrashTarget Kind = "crash-target" // later another target starts there
	DrainTarget Kind = "drain-target"
	MoveRoute   Kind = "move-route"
	RevokeKey   Kind = "revoke-key"
)

// Step is one planned event.
type Step struct {
	At, For time.Duration
	Kind    Kind
	Which   int // gate or target
	How     int // variant of the kind
}

func (s Step) String() string {
	return fmt.Sprintf("%5.2fs %-12s which=%d how=%d for=%.2fs", s.At.Seconds(), s.Kind, s.Which, s.How, s.For.Seconds())
}

// Profile is which kinds a plan draws from.
type Profile string

// Profiles.
const (
	Mixed   Profile = "mixed"   // everything
	Planned Profile = "planned" // what operators do, no fault
	Storage Profile = "storage" // troubles of the store and the way to it, changes
	Heavy   Profile = "heavy"   // everything, twice as often, and all gates at once
)

var profiles = []Profile{Mixed, Planned, Storage, Heavy}

// kindsOf are the kinds of a profile, some named more than once to come more
// often.
var kindsOf = map[Profile][]Kind{
	Mixed: {
		StopGate, ReloadGate, KillGate, PauseGate, CallerLink, StoreLink, TargetLink, TargetLink, StoreFault, Compact,
		TargetFault, TargetFault, TargetFault, CrashTarget, CrashTarget, DrainTarget, MoveRoute, RevokeKey,
	},
	Planned: {StopGate, StopGate, ReloadGate, DrainTarget, DrainTarget, MoveRoute, RevokeKey},
	Storage: {StoreFault, StoreFault, StoreLink, Compact, MoveRoute, RevokeKey, ReloadGate},
	Heavy: {
		StopGate, KillGate, KillGate, PauseGate, PauseGate, KillAll, CallerLink, StoreLink, TargetLink, StoreFault,
		Compact, TargetFault, TargetFault, CrashTarget, CrashTarget, DrainTarget, MoveRoute, RevokeKey, ReloadGate,
	},
}

const (
	// stepsPerSecond is the mean number of series that begin; with their
	// repetitions and lengths about three steps overlap.
	stepsPerSecond = 1.2
	// longestSeries bounds the steps of a series, longestStep and longestPause
	// their length and the pause between their beginnings.
	longestSeries = 4
	longestStep   = 3 * time.Second
	longestPause  = 1200 * time.Millisecond
	shortestStep  = 50 * time.Millisecond
)

// variants bounds Step.How; executors take what they need of it.
const variants = 60

// PlanFor returns the plan of a seed: its profile and its steps in order. Steps
// begin within length.
func PlanFor(seed uint64, length time.Duration) (Profile, []Step) {
	random := rand.New(rand.NewPCG(seed, seed))
	profile := profiles[seed%uint64(len(profiles))]
	rate := stepsPerSecond
	if profile == Heavy {
		rate *= 2
	}
	var steps []Step
	for range int(rate * length.Seconds()) {
		step := Step{
			At:    time.Duration(random.Int64N(int64(length))),
			For:   shortestStep + time.Duration(random.Int64N(int64(longestStep-shortestStep))),
			Kind:  kindsOf[profile][random.IntN(len(kindsOf[profile]))],
			Which: random.IntN(variants), How: random.IntN(variants),
		}
		series := 1
		if random.IntN(3) == 0 {
			series = 2 + random.IntN(longestSeries-1)
		}
		for range series {
			if step.At < length {
				steps = append(steps, step)
			}
			step.At += time.Duration(random.Int64N(int64(longestPause)))
			step.Which += random.IntN(2)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return profile, steps
}
