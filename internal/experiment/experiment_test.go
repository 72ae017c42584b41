package experiment

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const second = time.Second

// TestRunIsTheSameEachTime compares two runs.
func TestRunIsTheSameEachTime(t *testing.T) {
	for _, policy := range Policies() {
		scenario := Scenario{Name: "short", Length: 30 * second, Loss: 0.2, Repeat: 0.2, Leave: 15 * second}
		first := Run(Lens(), scenario, policy)
		require.Equal(t, first, Run(Lens(), scenario, policy), policy.Name)
		require.Positive(t, first.Requests)
	}
}

// TestChosenPolicyMeetsTheTargets plays a short part of what the benchmark
// plays and holds it against the stated targets.
func TestChosenPolicyMeetsTheTargets(t *testing.T) {
	const short = 40 * second
	scenarios := []Scenario{
		{Name: "steady", Length: short},
		{Name: "loss", Length: short, Loss: 0.3, Repeat: 0.3},
		{Name: "cut", Length: short, CutFrom: 15 * second, CutTo: 30 * second},
		{Name: "vms", Length: short, Leave: 15 * second},
	}
	for _, size := range []Deployment{Muistopurkki(), Lens()} {
		for _, scenario := range scenarios {
			t.Run(size.Name+"/"+scenario.Name, func(t *testing.T) {
				t.Parallel()
				r := Run(size, scenario, Chosen())
				require.Less(t, r.Gap, 1+float64(maxCost)/size.Speed, "seconds of capacity: 1 s and what is in flight")
				require.GreaterOrEqual(t, r.Utilisation, 0.99)
				require.LessOrEqual(t, r.FirstToken, 0.59)
				require.LessOrEqual(t, r.ProcessRate, 10e3)
				require.LessOrEqual(t, r.RegionRate, 256.0)
				require.LessOrEqual(t, r.Config, 5.0)
			})
		}
	}
}
