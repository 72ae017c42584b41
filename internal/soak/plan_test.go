package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPlanFollowsFromTheSeed(t *testing.T) {
	const length = 12 * time.Second
	seen := make(map[Kind]bool)
	for seed := range uint64(40) {
		profile, steps := PlanFor(seed, length)
		again, same := PlanFor(seed, length)
		require.Equal(t, profile, again)
		require.Equal(t, steps, same)
		require.NotEmpty(t, steps)
		require.True(t, slices.IsSortedFunc(steps, func(a, b Step) int { return int(a.At - b.At) }))
		for _, s := range steps {
			require.Less(t, s.At, length)
			require.Contains(t, kindsOf[profile], s.Kind)
			seen[s.Kind] = true
		}
	}
	for _, kind := range []Kind{
		StopGate, ReloadGate, KillGate, PauseGate, KillAll, CallerLink, StoreLink, TargetLink, StoreFault, Compact,
		TargetFault, CrashTarget, DrainTarget, MoveRoute, RevokeKey,
	} {
		require.True(t, seen[kind], "no plan holds %s", kind)
	}
}
