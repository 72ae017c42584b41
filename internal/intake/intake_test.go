package intake

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	high     = 60 * time.Millisecond
	overload = 250 * time.Millisecond
)

func newControl() *Control {
	return New(Config{
		MaxInFlight: 100, MinInFlight: 10, Turns: 4, MaxWaiting: 20, MaxWait: 250 * time.Millisecond,
		MaxHold: 100 * time.Millisecond, HighDelay: high, OverloadDelay: overload,
	})
}

func enterAll(c *Control, workspace string, n int) int {
	entered := 0
	for range n {
		if c.Enter(workspace) {
			entered++
		}
	}
	return entered
}

// Without a bound, a flood makes the requests in flight grow as long as it lasts.
func TestRequestsInFlightAreBounded(t *testing.T) {
	c := newControl()
	for i := range 500 {
		c.Enter(fmt.Sprintf("w%d", i%7))
	}
	require.Equal(t, 100, c.Stats().InFlight)
	require.True(t, c.Crowded())
	require.True(t, c.Full())
	c.Leave("w0")
	require.False(t, c.Full())
}

// A workspace that floods the gate must not take the place of the others.
func TestFloodLeavesRoomForOtherWorkspaces(t *testing.T) {
	c := newControl()
	require.Equal(t, 100, enterAll(c, "flood", 300), "nobody else needs the room")
	require.False(t, c.Enter("small"), "the hard bound holds for all")
	for now := time.Duration(0); now < 10*time.Second; now += adaptInterval {
		c.Tick(now, 2*overload)
		for c.Stats().InFlight > c.Stats().Bound {
			c.Leave("flood")
		}
	}
	require.Equal(t, 10, c.Stats().Bound)
	require.Zero(t, enterAll(c, "flood", 300))
	require.Equal(t, 5, enterAll(c, "small", 300), "up to an even portion")
	for now := 20 * time.Second; now < 40*time.Second; now += adaptInterval {
		c.Tick(now, high/2)
	}
	require.Equal(t, 100, c.Stats().Bound, "it recovers")
}

func TestUnloadedGateLimitsNothing(t *testing.T) {
	c := newControl()
	for now := time.Duration(0); now < time.Second; now += 50 * time.Millisecond {
		c.Tick(now, high)
		require.Nil(t, c.Acquire(now, "a"))
	}
	require.Equal(t, 100, c.Stats().Bound)
	require.Zero(t, c.OldestWait(time.Second))
}

// Goroutines that are runnable at once delay the watchers and the readiness check.
func TestTurnsAndWaitingAreBounded(t *testing.T) {
	c := newControl()
	c.Tick(0, 2*high)
	var turns []*Turn
	refused := 0
	for i := range 300 {
		turn := c.Acquire(time.Duration(i), fmt.Sprintf("w%d", i%3))
		require.NotNil(t, turn)
		turns = append(turns, turn)
	}
	for _, turn := range turns {
		if decided(turn) && turn.Refused() {
			refused++
		}
	}
	require.Equal(t, Stats{Turns: 4, Waiting: 20, Bound: 100}, c.Stats())
	require.Equal(t, 300-24, refused)
	require.Positive(t, c.OldestWait(time.Millisecond))
	c.Tick(60*time.Millisecond, high/4)
	require.NotNil(t, c.Acquire(0, "a"), "turns stay limited while requests wait")
	c.Tick(300*time.Millisecond, 2*high)
	require.Zero(t, c.Stats().Waiting, "they are refused after MaxWait")
	require.Zero(t, c.Stats().Turns, "turns that are held for longer than MaxHold don't count")
	c.Tick(400*time.Millisecond, high/4)
	require.Nil(t, c.Acquire(0, "a"))
}

func decided(t *Turn) bool {
	select {
	case <-t.Decided():
		return true
	default:
		return false
	}
}

// Requests of other workspaces must not wait behind all those of a flood, nor be refused
// because the flood fills the queue.
func TestWorkspacesGetTurnsInRotation(t *testing.T) {
	c := newControl()
	c.Tick(0, 2*high)
	held := make([]*Turn, 0, 4)
	for range 4 {
		held = append(held, c.Acquire(0, "flood"))
	}
	flood := make([]*Turn, 0, 40)
	for range 40 {
		flood = append(flood, c.Acquire(0, "flood"))
	}
	small := c.Acquire(1, "small")
	require.False(t, decided(small), "it displaces the newest request of the flood")
	require.True(t, flood[19].Refused())
	require.False(t, decided(flood[18]))
	c.Release(2, held[0])
	require.True(t, decided(flood[0]))
	c.Release(2, held[1])
	require.True(t, decided(small))
	require.False(t, small.Refused())
	c.Release(3, small)
	c.Release(3, flood[5])
	require.Equal(t, Stats{Turns: 4, Waiting: 16, Bound: 100}, c.Stats())
	c.Release(4, nil)
}
