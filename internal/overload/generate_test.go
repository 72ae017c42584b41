package overload

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// comparePolicies simulates loads with the gate's policy and with a baseline. It counts
// the loads on which the gate's policy serves a larger or smaller fraction of requests in
// time; differences up to 0.01 are ignored.
func comparePolicies(loads []*Load, baseline func(*Load) func() Policy) (better, worse int) {
	for _, load := range loads {
		got, other := Simulate(load, Shares(load)).Total.InTimeFraction(), Simulate(load, baseline(load)).Total.InTimeFraction()
		switch {
		case got < other-0.01:
			worse++
		case got > other+0.01:
			better++
		}
	}
	return better, worse
}

// deploymentsAbove returns the first n generated deployments, by seed, with more than
// offeredLoad.
func deploymentsAbove(offeredLoad float64, n int) []*Load {
	var loads []*Load
	for seed := uint64(0); len(loads) < n; seed++ {
		if load := GenerateDeployment(seed); load.OfferedLoad() > offeredLoad {
			loads = append(loads, load)
		}
	}
	return loads
}

// Guards against tuning the policy to the known deployments only: on generated overloaded
// deployments it must serve more in time than baselines that refuse nothing.
func TestPolicyServesMoreThanBaselinesUnderOverload(t *testing.T) {
	const overload, deployments = 1.5, 4
	loads := deploymentsAbove(overload, deployments)
	for name, policy := range map[string]func(*Load) func() Policy{"random": Random, "least loaded": LeastLoaded} {
		better, worse := comparePolicies(loads, policy)
		require.Equal(t, deployments, better, "%s: worse on %d", name, worse)
	}
}

// Guards against refusing requests that the simplest baseline serves in time; one
// deployment in twenty may be worse.
func TestPolicyIsNoWorseThanLeastLoadedOnDrawnDeployments(t *testing.T) {
	const deployments = 30
	_, worse := comparePolicies(deploymentsAbove(0, deployments), LeastLoaded)
	require.LessOrEqual(t, worse, deployments/20)
}

func TestGenerateDeploymentIsDeterministic(t *testing.T) {
	require.Equal(t, GenerateDeployment(7), GenerateDeployment(7))
	require.NotEqual(t, GenerateDeployment(7), GenerateDeployment(8))
}
