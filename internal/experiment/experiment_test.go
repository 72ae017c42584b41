package experiment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const second = time.Second

func TestRunIsDeterministic(t *testing.T) {
	for _, policy := range Policies() {
		scenario := Scenario{Name: "short", Length: 30 * second, LossRate: 0.2, LateDuplicateRate: 0.2, DrainAt: 15 * second}
		first := Run(Lens(), scenario, policy)
		require.Equal(t, first, Run(Lens(), scenario, policy), policy.Name)
		require.Positive(t, first.Requests)
	}
}

// TestFleetPolicyMeetsTargets runs shortened scenarios of the benchmark and checks the
// measures against the stated targets.
func TestFleetPolicyMeetsTargets(t *testing.T) {
	const short = 40 * second
	scenarios := []Scenario{
		{Name: "steady", Length: short},
		{Name: "loss", Length: short, LossRate: 0.3, LateDuplicateRate: 0.3},
		{Name: "cut", Length: short, PartitionStart: 15 * second, PartitionEnd: 30 * second},
		{Name: "vms", Length: short, DrainAt: 15 * second},
	}
	for _, size := range []Deployment{Muistopurkki(), Lens()} {
		for _, scenario := range scenarios {
			t.Run(size.Name+"/"+scenario.Name, func(t *testing.T) {
				t.Parallel()
				r := Run(size, scenario, FleetPolicy())
				require.Less(t, r.Gap, 1+float64(maxBatchCost)/size.UnitsPerSecond, "seconds of capacity: 1 s plus the largest request in flight")
				require.GreaterOrEqual(t, r.Utilisation, 0.99)
				require.LessOrEqual(t, r.FirstTokenP95, 0.59)
				require.LessOrEqual(t, r.ProcessBytesPerSecond, 10e3)
				require.LessOrEqual(t, r.RegionPairBytesPerSecond, 256.0)
				require.LessOrEqual(t, r.ConfigDelay, 5.0)
			})
		}
	}
}
