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

// chooseTarget returns the index of one of targets, or -1 to refuse the request. loads
// are the loads that this gate's requests put on the targets, by target ID.
type chooseTarget func(r *admission.Request, targets []target.Instance, loads map[string]admission.Load) int

// Random is the baseline that sends every request to a uniformly random target.
func Random(load *Load) func() Policy {
	rng := rand.New(rand.NewPCG(load.Seed, 12))
	return newBaseline(func(_ *admission.Request, targets []target.Instance, _ map[string]admission.Load) int {
		return rng.IntN(len(targets))
	})
}

// LeastLoaded is the baseline that sends every request to the target with the fewest
// requests of this gate in flight.
func LeastLoaded(*Load) func() Policy {
	return newBaseline(func(_ *admission.Request, targets []target.Instance, loads map[string]admission.Load) int {
		leastLoaded := 0
		for i := range targets {
			if loads[targets[i].ID].InFlight < loads[targets[leastLoaded].ID].InFlight {
				leastLoaded = i
			}
		}
		return leastLoaded
	})
}

// maxRequestsPerTarget is the number of requests that FixedLimit allows in flight at a
// target per gate, the limit of the users' prototype.
const maxRequestsPerTarget = 6

// FixedLimit is the baseline that places a request by rendezvous hash of the shared part
// of its prompt and refuses it when the target has a fixed number of requests in flight.
func FixedLimit(*Load) func() Policy {
	return newBaseline(func(r *admission.Request, targets []target.Instance, loads map[string]admission.Load) int {
		chosen, maxScore := 0, uint64(0)
		for i := range targets {
			if score := xxhash.Sum64String(fmt.Sprint(targets[i].ID, r.Parts[0].Hash)); score > maxScore {
				chosen, maxScore = i, score
			}
		}
		if loads[targets[chosen].ID].InFlight >= maxRequestsPerTarget {
			return -1
		}
		return chosen
	})
}

func newBaseline(choose chooseTarget) func() Policy {
	return func() Policy { return &baseline{newController(), choose} }
}

// baseline chooses the target and uses a controller only to obtain the lease.
type baseline struct {
	Policy
	choose chooseTarget
}

// baselineRetryAfter is the retry delay that a baseline gives to refused callers.
const baselineRetryAfter = 200 * time.Millisecond

// Admit implements Policy.
func (b *baseline) Admit(now time.Duration, r *admission.Request, targets []target.Instance) admission.Decision {
	i := b.choose(r, targets, b.Report(now).Loads)
	if i < 0 {
		return admission.Decision{Refused: reasons.ReasonOverloaded, RetryAfter: baselineRetryAfter}
	}
	withoutSlots := *r
	withoutSlots.Slots = 0 // applies only the limits of plain services, not those of engines
	return b.Policy.Admit(now, &withoutSlots, targets[i:i+1])
}
