package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/mastichollow/mastichollow/internal/fixedseed"
)

func TestWaterLevel(t *testing.T) {
	require.InDelta(t, -1, waterLevel([]float64{1, 2, 3}, 6), 1e-9, "all demand fits")
	require.InDelta(t, 2, waterLevel([]float64{1, 5, 9}, 5), 1e-9)
	require.InDelta(t, 1, waterLevel([]float64{5, 5, 5}, 3), 1e-9)
	require.InDelta(t, -1, waterLevel(nil, 3), 1e-9)
}

func TestWaterLevelIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		asked := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 20).Draw(t, "asked")
		capacity := rapid.Float64Range(1, 5000).Draw(t, "capacity")
		sum := 0.0
		for _, a := range asked {
			sum += a
		}
		level := waterLevel(slices.Clone(asked), capacity)
		if level < 0 {
			require.LessOrEqual(t, sum, capacity*(1+1e-9))
			return
		}
		given := 0.0
		for _, a := range asked {
			given += min(a, level)
		}
		require.InEpsilon(t, capacity, given, 1e-6, "the capacity is given out whole")
	})
}

func TestUsageLeavesTheWindow(t *testing.T) {
	s := newShares()
	s.add(time.Second, "a", Usage{Asked: 10, Served: 4})
	s.add(3*time.Second, "a", Usage{Asked: 5})
	require.Equal(t, Usage{Asked: 15, Served: 4}, s.local(4 * time.Second)["a"])
	require.Equal(t, Usage{Asked: 5}, s.local(6 * time.Second)["a"])
	require.Empty(t, s.local(20*time.Second))
}

func TestSilentPeersDoNotCount(t *testing.T) {
	s := newShares()
	s.setPeer(0, "p", map[string]Usage{"a": {Asked: 7, Served: 7}})
	require.InDelta(t, 7, s.fleet(time.Second)["a"].Asked, 0)
	require.Empty(t, s.fleet(peerLifetime+time.Second))
}
