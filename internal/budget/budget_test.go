package budget

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLeasesNeverExceedBudget(t *testing.T) {
	b := NewBytes(100)
	first, second := b.Lease(), b.Lease()
	require.True(t, first.Grow(60))
	require.False(t, second.Grow(41))
	require.True(t, second.Grow(40))
	require.False(t, first.Grow(1))
	first.Release()
	first.Release()
	require.Equal(t, int64(40), b.Used())
	require.True(t, second.Grow(60))
}

func TestConcurrentLeasesReturnAll(t *testing.T) {
	b := NewBytes(1000)
	var users sync.WaitGroup
	for range 16 {
		users.Go(func() {
			for range 1000 {
				lease := b.Lease()
				lease.Grow(300)
				lease.Grow(1)
				lease.Release()
			}
		})
	}
	users.Wait()
	require.Zero(t, b.Used())
}

func TestNilBudgetIsUnlimited(t *testing.T) {
	var b *Bytes
	lease := b.Lease()
	require.True(t, lease.Grow(1<<40))
	lease.Release()
	require.Zero(t, b.Used())
}

func TestKeyLeavesRoomForOthers(t *testing.T) {
	b := NewKeyed[string](100, 60)
	require.True(t, b.Grow("flood", 60))
	require.False(t, b.Grow("flood", 1), "its part is used up")
	require.True(t, b.Grow("other", 40))
	require.False(t, b.Grow("other", 1), "the budget is used up")
	b.Release("flood", 60)
	require.Len(t, b.byKey, 1, "nothing is kept of a key that holds nothing")
	require.True(t, b.Grow("other", 20))
	all, ofKey := b.Used("other")
	require.Equal(t, int64(60), all)
	require.Equal(t, int64(60), ofKey)
}
