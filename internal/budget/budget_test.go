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
