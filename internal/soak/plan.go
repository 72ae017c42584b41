package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// StepKind is what a step of a plan does.
type StepKind string

// Kinds of steps.
const (
	StopGate        StepKind = "stop-gate"  // SIGTERM, then a restart
	ReloadGate      StepKind = "reload"     // SIGHUP
	KillGate        StepKind = "kill-gate"  // SIGKILL, then a restart
	PauseGate       StepKind = "pause-gate" // SIGSTOP until the step ends
	KillAllGates    StepKind = "kill-all"
	FaultCallerLink StepKind = "caller-link" // between callers and a gate
	FaultStoreLink  StepKind = "store-link"  // between a gate and the store
	FaultTargetLink StepKind = "target-link" // between gates and a target
	FaultStore      StepKind = "store"
	CompactStore    StepKind = "compact" // the store compacts its history
	FaultTarget     StepKind = "target"
	CrashTarget     StepKind = "crash-target" // later another target starts at its address
	DrainTarget     StepKind = "drain-target"
	MoveRoute       StepKind = "move-route"
	RevokeKey       StepKind = "revoke-key"
	EvacuateDomain  StepKind = "evacuate" // until the step ends; only with Config.Evacuations
)

// Step is one event of a plan.
type Step struct {
	Start, Duration time.Duration
	Kind            StepKind
	Index           int // selects a gate, target or workspace
	Variant         int // selects a variant of the kind
}

func (s Step) String() string {
	return fmt.Sprintf("%5.2fs %-12s which=%d how=%d for=%.2fs", s.Start.Seconds(), s.Kind, s.Index, s.Variant, s.Duration.Seconds())
}

// Profile selects the kinds of steps of a plan.
type Profile string

// Profiles.
const (
	Mixed   Profile = "mixed"   // all kinds except KillAllGates
	Planned Profile = "planned" // planned operations, no faults
	Storage Profile = "storage" // faults of the store and its links, changes of the table
	Heavy   Profile = "heavy"   // all kinds, at twice the rate
)

var profiles = []Profile{Mixed, Planned, Storage, Heavy}

// kindsByProfile lists the kinds from which a step's kind is chosen at random. A kind
// that is listed more than once is chosen more often.
var kindsByProfile = map[Profile][]StepKind{
	Mixed: {
		StopGate, ReloadGate, KillGate, PauseGate, FaultCallerLink, FaultStoreLink, FaultTargetLink, FaultTargetLink, FaultStore, CompactStore,
		FaultTarget, FaultTarget, FaultTarget, CrashTarget, CrashTarget, DrainTarget, MoveRoute, RevokeKey,
	},
	Planned: {StopGate, StopGate, ReloadGate, DrainTarget, DrainTarget, MoveRoute, RevokeKey},
	Storage: {FaultStore, FaultStore, FaultStoreLink, CompactStore, MoveRoute, RevokeKey, ReloadGate},
	Heavy: {
		StopGate, KillGate, KillGate, PauseGate, PauseGate, KillAllGates, FaultCallerLink, FaultStoreLink, FaultTargetLink, FaultStore,
		CompactStore, FaultTarget, FaultTarget, CrashTarget, CrashTarget, DrainTarget, MoveRoute, RevokeKey, ReloadGate,
	},
}

const (
	// stepsPerSecond is the mean rate at which series begin. With their repetitions
	// and durations about three steps overlap.
	stepsPerSecond = 1.2
	// maxSeriesSteps bounds the number of steps of a series, maxStepDuration the
	// duration of a step, maxSeriesInterval the time between the beginnings of two
	// steps of a series.
	maxSeriesSteps    = 4
	maxStepDuration   = 3 * time.Second
	maxSeriesInterval = 1200 * time.Millisecond
	minStepDuration   = 50 * time.Millisecond
)

// variantCount bounds the random Step.Index and Step.Variant. A step reduces them
// modulo the number of its choices.
const variantCount = 60

// PlanForSeed returns the profile and the plan of a seed. The steps are in order of
// their start, which is before length.
func PlanForSeed(seed uint64, length time.Duration) (Profile, []Step) {
	random := rand.New(rand.NewPCG(seed, seed))
	profile := profiles[seed%uint64(len(profiles))]
	rate := stepsPerSecond
	if profile == Heavy {
		rate *= 2
	}
	var steps []Step
	for range int(rate * length.Seconds()) {
		step := Step{
			Start:    time.Duration(random.Int64N(int64(length))),
			Duration: minStepDuration + time.Duration(random.Int64N(int64(maxStepDuration-minStepDuration))),
			Kind:     kindsByProfile[profile][random.IntN(len(kindsByProfile[profile]))],
			Index:    random.IntN(variantCount), Variant: random.IntN(variantCount),
		}
		series := 1
		if random.IntN(3) == 0 {
			series = 2 + random.IntN(maxSeriesSteps-1)
		}
		for range series {
			if step.Start < length {
				steps = append(steps, step)
			}
			step.Start += time.Duration(random.Int64N(int64(maxSeriesInterval)))
			step.Index += random.IntN(2)
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.Start - b.Start) })
	return profile, steps
}
