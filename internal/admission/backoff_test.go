package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/request"
)

func TestLocalBackoffExcludesTarget(t *testing.T) {
	c := newTestController()
	all := newEngines(4)
	first := c.Admit(0, letterRequest("w", 7, 1), all)
	first.Lease.End(0, ResultRejected, all)
	c.BackOff(0, first.Target, time.Second)
	c.BackOff(0, first.Target, time.Millisecond) // a shorter backoff changes nothing
	for n := range 50 {
		d := c.Admit(999*time.Millisecond, letterRequest("w", 7, 2+n), all)
		require.NotEqual(t, first.Target.ID, d.Target.ID)
		d.Lease.End(time.Second, ResultDone, all)
	}
	require.Equal(t, first.Target.ID, c.Admit(time.Second, letterRequest("w", 7, 99), all).Target.ID, "the backoff must not affect health")
}

func TestBackoffTargetRestarted(t *testing.T) {
	c := newTestController()
	all := newEngines(1)
	c.BackOff(0, all[0], time.Hour)
	all[0].StartedMillis++
	require.Empty(t, c.Admit(0, letterRequest("w", 7, 1), all).Refused)
}

func TestBackoffOfAllTargetsRetryAfter(t *testing.T) {
	c := newTestController()
	all := newEngines(2)
	c.BackOff(0, all[0], 3*time.Second)
	c.BackOff(0, all[1], 2*time.Second)
	d := c.Admit(500*time.Millisecond, letterRequest("w", 7, 1), all)
	require.Equal(t, request.ReasonOverloaded, d.Refused)
	require.Equal(t, 1500*time.Millisecond, d.RetryAfter)
	order := c.Admit(500*time.Millisecond, &Request{Service: "orders"}, all)
	require.Equal(t, 1500*time.Millisecond, order.RetryAfter)
}

func TestPeerBackoffHint(t *testing.T) {
	c := newTestController()
	all := newEngines(2)
	for _, slots := range []int{0, 64} {
		r := letterRequest("w", 7, 1)
		r.Slots = slots
		first := c.Admit(0, r, all)
		first.Lease.End(0, ResultDone, all)
		c.Merge(0, "peer", Report{Backoffs: map[string]Backoff{first.Target.ID: {Remaining: time.Second}}})
		other := c.Admit(0, r, all)
		require.NotEqual(t, first.Target.ID, other.Target.ID)
		other.Lease.End(0, ResultDone, all)
		only := all[:1]
		if all[0].ID != first.Target.ID {
			only = all[1:]
		}
		d := c.Admit(0, r, only)
		require.Empty(t, d.Refused, "a hinted target is used when no other has capacity")
		d.Lease.End(0, ResultDone, all)
		clear(c.backoffs.hints)
	}
}

func TestReportBackoffsUntilExpired(t *testing.T) {
	c := newTestController()
	all := newEngines(1)
	c.BackOff(0, all[0], time.Second)
	require.Equal(t, map[string]Backoff{"e0": {Remaining: 600 * time.Millisecond}}, c.Report(400*time.Millisecond).Backoffs)
	require.Empty(t, c.Report(time.Second).Backoffs)
	require.Empty(t, c.backoffs.local)
}
