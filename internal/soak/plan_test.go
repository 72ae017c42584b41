package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPlanDependsOnlyOnSeed(t *testing.T) {
	const length = 12 * time.Second
	seen := make(map[StepKind]bool)
	for seed := range uint64(40) {
		profile, steps := PlanForSeed(seed, length)
		profileAgain, stepsAgain := PlanForSeed(seed, length)
		require.Equal(t, profile, profileAgain)
		require.Equal(t, steps, stepsAgain)
		require.NotEmpty(t, steps)
		withoutEvacuations := slices.DeleteFunc(withEvacuations(seed, steps, length), func(s Step) bool { return s.Kind == EvacuateDomain })
		require.Equal(t, steps, withoutEvacuations)
		require.True(t, slices.IsSortedFunc(steps, func(a, b Step) int { return int(a.Start - b.Start) }))
		for _, s := range steps {
			require.Less(t, s.Start, length)
			require.Contains(t, kindsByProfile[profile], s.Kind)
			seen[s.Kind] = true
		}
	}
	for _, kind := range []StepKind{
		StopGate, ReloadGate, KillGate, PauseGate, KillAllGates, FaultCallerLink, FaultStoreLink, FaultTargetLink, FaultStore, CompactStore,
		FaultTarget, CrashTarget, DrainTarget, MoveRoute, RevokeKey,
	} {
		require.True(t, seen[kind], "no plan holds %s", kind)
	}
}
