package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/request"
)

func TestPausingTargetGetsNothingFromThisGate(t *testing.T) {
	c := newTestController()
	all := engines(4)
	first := c.Admit(0, letter("w", 7, 1), all)
	first.Lease.End(0, ResultRejected, all)
	c.Pause(0, first.Target, time.Second)
	c.Pause(0, first.Target, time.Millisecond) // a shorter one changes nothing
	for n := range 50 {
		d := c.Admit(999*time.Millisecond, letter("w", 7, 2+n), all)
		require.NotEqual(t, first.Target.ID, d.Target.ID)
		d.Lease.End(time.Second, ResultDone, all)
	}
	require.Equal(t, first.Target.ID, c.Admit(time.Second, letter("w", 7, 99), all).Target.ID, "its health is as before")
}

func TestRestartedTargetDoesNotPause(t *testing.T) {
	c := newTestController()
	all := engines(1)
	c.Pause(0, all[0], time.Hour)
	all[0].Born++
	require.Empty(t, c.Admit(0, letter("w", 7, 1), all).Refused)
}

func TestPauseOfAllTargetsTellsWhenItEnds(t *testing.T) {
	c := newTestController()
	all := engines(2)
	c.Pause(0, all[0], 3*time.Second)
	c.Pause(0, all[1], 2*time.Second)
	d := c.Admit(500*time.Millisecond, letter("w", 7, 1), all)
	require.Equal(t, request.ReasonOverloaded, d.Refused)
	require.Equal(t, 1500*time.Millisecond, d.RetryAfter)
	order := c.Admit(500*time.Millisecond, &Request{Service: "orders"}, all)
	require.Equal(t, 1500*time.Millisecond, order.RetryAfter)
}

func TestPauseThatAPeerWasAskedForIsAHint(t *testing.T) {
	c := newTestController()
	all := engines(2)
	for _, slots := range []int{0, 64} {
		r := letter("w", 7, 1)
		r.Slots = slots
		first := c.Admit(0, r, all)
		first.Lease.End(0, ResultDone, all)
		c.Merge(0, "peer", Report{Pauses: map[string]Pause{first.Target.ID: {Left: time.Second}}})
		other := c.Admit(0, r, all)
		require.NotEqual(t, first.Target.ID, other.Target.ID)
		other.Lease.End(0, ResultDone, all)
		only := all[:1]
		if all[0].ID != first.Target.ID {
			only = all[1:]
		}
		d := c.Admit(0, r, only)
		require.Empty(t, d.Refused, "callers wait for nothing when no other target has room")
		d.Lease.End(0, ResultDone, all)
		clear(c.pauses.hints)
	}
}

func TestPausesAreToldAndForgotten(t *testing.T) {
	c := newTestController()
	all := engines(1)
	c.Pause(0, all[0], time.Second)
	require.Equal(t, map[string]Pause{"e0": {Left: 600 * time.Millisecond}}, c.Report(400*time.Millisecond).Pauses)
	require.Empty(t, c.Report(time.Second).Pauses)
	require.Empty(t, c.pauses.own)
}
