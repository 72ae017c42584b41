package connlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func ignore(Cause) {}

func mustJoin(t *testing.T, a *Account, group string, n int64) *Member {
	t.Helper()
	m, v := a.join(group, n, ignore)
	require.True(t, v.granted)
	return m
}

func TestGroupThatHoldsMostLosesFirst(t *testing.T) {
	a := NewAccount(Limits{Memory: 1000})
	small := mustJoin(t, a, "small", 300)
	first, second := mustJoin(t, a, "big", 250), mustJoin(t, a, "big", 250)
	v := small.grow(300)
	require.False(t, v.granted)
	require.Equal(t, []*Member{first}, v.victims, "the oldest")
	require.NotNil(t, v.wait)
	first.leave()
	<-v.wait
	require.True(t, small.grow(300).granted)
	require.False(t, first.protect(), "told to close: must not be forwarded")
	require.True(t, second.protect())
}

func TestProtectedMemberIsNeverClosed(t *testing.T) {
	a := NewAccount(Limits{Memory: 1000, Conns: 2})
	forwarded := mustJoin(t, a, "a", 600)
	require.True(t, forwarded.protect())
	other := mustJoin(t, a, "b", 100)
	v := other.grow(301)
	require.False(t, v.granted)
	require.Nil(t, v.wait)
	require.Equal(t, []*Member{other}, v.victims, "only itself can be closed")
	other.leave()
	other = mustJoin(t, a, "b", 100)
	_, v = a.join("c", 401, ignore)
	require.Empty(t, v.victims, "closing the other would not make room")
	_, v = a.join("c", 1, ignore)
	require.Equal(t, []*Member{other}, v.victims)
	require.Equal(t, CauseDescriptors, v.cause)
	forwarded.reset(100)
	other.leave()
	_, v = a.join("c", 1, ignore)
	require.True(t, v.granted)
}

func TestOrderOfClosing(t *testing.T) {
	a := NewAccount(Limits{Conns: 4})
	served, silent, large, newest := mustJoin(t, a, "a", 1), mustJoin(t, a, "a", 1), mustJoin(t, a, "a", largeBytes), mustJoin(t, a, "a", 1)
	served.reset(1)
	require.Equal(t, []*Member{large, silent, newest, served}, a.candidates())
	served.move("workspace shop")
	require.NotContains(t, a.candidates(), served)
}

// Random joins, growth, protection and departures never exceed the limits, and leave nothing
// behind.
func TestLimitsHold(t *testing.T) {
	limits := Limits{Memory: 10000, Conns: 30}
	a := NewAccount(limits)
	random := rand.New(rand.NewPCG(1, 2))
	members := make(map[*Member]bool)
	told := func(v verdict) {
		for _, m := range v.victims {
			require.False(t, m.protected)
			if random.IntN(3) > 0 { // the others notice later
				m.leave()
				delete(members, m)
			}
		}
	}
	for range 20000 {
		if m, v := a.join(fmt.Sprint(random.IntN(5)), int64(random.IntN(400)), ignore); m != nil {
			members[m] = true
		} else {
			told(v)
		}
		for m := range members {
			switch random.IntN(6) {
			case 0:
				told(m.grow(int64(random.IntN(2000))))
			case 1:
				m.protect()
			case 2:
				m.reset(int64(random.IntN(50)))
			case 3:
				m.move(fmt.Sprint(random.IntN(5)))
			case 4:
				m.leave()
				delete(members, m)
			}
			break
		}
		held, conns := a.Used()
		require.LessOrEqual(t, held, limits.Memory)
		require.LessOrEqual(t, conns, limits.Conns)
	}
	for m := range members {
		m.leave()
	}
	require.Zero(t, a.held)
	require.Zero(t, a.closing)
	require.Zero(t, a.conns)
	require.Zero(t, a.closingConns)
	require.Empty(t, a.groups)
}
