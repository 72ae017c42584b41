package overload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastichollow/mastichollow/internal/admission"
	reasons "github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
)

// choice picks one of targets, or none (-1). loads are those of this gate's requests.
type choice func(r *admission.Request, targets []target.Instance, loads map[string]admission.Load) int

// Random is the baseline that takes every request to any target.
func Random(load *Load) func() Policy {
	rng := rand.New(rand.NewPCG(load.Seed, 12))
	return baselineOf(func(_ *admission.Request, targets []target.Instance, _ map[string]admission.Load) int {
		return rng.IntN(len(targets))
	})
}

// LeastLoaded is the baseline that takes every request to the target with the fewest
// requests of this gate.
func LeastLoaded(*Load) func() Policy {
	return baselineOf(func(_ *admission.Request, targets []target.Instance, loads map[string]admission.Load) int {
		best := 0
		for i := range targets {
			if loads[targets[i].ID].InFlight < loads[targets[best].ID].InFlight {
				best = i
			}
		}
		return best
	})
}

// affinityLimit is the number of requests that FixedLimit gives to a target from one
// gate, that of the users' throwaway trial.
const affinityLimit = 6

// FixedLimit is the baseline that places by the shared part of the prompt and refuses
// beyond a fixed number of requests.
func FixedLimit(*Load) func() Policy {
	return baselineOf(func(r *admission.Request, targets []target.Instance, loads map[string]admission.Load) int {
		best, most := 0, uint64(0)
		for i := range targets {
			if score := xxhash.Sum64String(fmt.Sprint(targets[i].ID, r.Parts[0].Hash)); score > most {
				best, most = i, score
			}
		}
		if loads[targets[best].ID].InFlight >= affinityLimit {
			return -1
		}
		return best
	})
}

func baselineOf(choose choice) func() Policy {
	return func() Policy { return &baseline{newController(), choose} }
}

// baseline chooses a target by itself and has a controller hand out the lease for it.
type baseline struct {
	Policy
	choose choice
}

// baselineReturn is when callers that a baseline refused may come back.
const baselineReturn = 200 * time.Millisecond

// Admit implements Policy.
func (b *baseline) Admit(now time.Duration, r *admission.Request, targets []target.Instance) admission.Decision {
	i := b.choose(r, targets, b.Report(now).Loads)
	if i < 0 {
		return admission.Decision{Refused: reasons.ReasonOverloaded, RetryAfter: baselineReturn}
	}
	plain := *r
	plain.Slots = 0 // the limits of a plain service alone hold
	return b.Policy.Admit(now, &plain, targets[i:i+1])
}
