package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newOverloadedController returns a controller whose capacity is a fraction of what
// workspace "w", half of it at this gate, and a peer's workspace "other" request.
func newOverloadedController(now time.Duration) *Controller {
	c := newTestController()
	c.SetCapacity(20_000)
	c.Merge(now, "peer", Report{Usage: map[string]Usage{"other": {Requested: 1e6}, "w": {Requested: 1e5}}})
	c.usageTracker.add(now, "w", Usage{Requested: 1e5})
	return c
}

func TestShareUseByTier(t *testing.T) {
	now := time.Second
	c := newOverloadedController(now)
	targets := newEngines(1)
	admitted := c.Admit(now, letterRequest("w", 7, 1), targets)
	require.Equal(t, TierUnusedShare, admitted.Tier)
	for n := range 20 {
		c.Admit(now, letterRequest("w", 7, 2+n), targets)
	}
	uses := c.TakeShareUses()
	require.Len(t, uses, 1)
	require.Equal(t, "w", uses[0].Workspace)
	require.InDelta(t, 10_000, uses[0].Share, 1)
	require.InDelta(t, 5000, uses[0].LocalRate, 1)
	require.InDelta(t, 6600, uses[0].Tiers[TierUnusedShare].Admitted, 1e-9)
	total := 0.0
	for _, tier := range uses[0].Tiers {
		total += tier.Admitted + tier.Refused
	}
	require.InDelta(t, 21*6600, total, 1e-6, "each request counts once")
	require.Empty(t, c.TakeShareUses())
}

func TestShareUseCountsForfeitedShare(t *testing.T) {
	now := time.Second
	c := newOverloadedController(now)
	c.Admit(now, letterRequest("w", 7, 1), newEngines(1))
	rate := c.TakeShareUses()[0].LocalRate
	require.Positive(t, rate)
	bucket := &c.buckets["w"].share
	bucket.tokens = rate * tokenBucketDepth.Seconds()
	require.True(t, bucket.available(now+3*time.Second, rate))
	require.InDelta(t, 3*rate, bucket.takeForfeited(), 1e-6)
	require.Zero(t, bucket.takeForfeited())
}

func TestShareUseCountsUnservedWork(t *testing.T) {
	for result, want := range map[Result]float64{
		ResultUnreachable: 6600, ResultMisdirected: 6600, ResultRejected: 6600, ResultLost: 6600, ResultFailed: 6600,
		ResultDone: 0, ResultWithdrawn: 0,
	} {
		now := time.Second
		c := newOverloadedController(now)
		d := c.Admit(now, letterRequest("w", 7, 1), newEngines(1))
		d.Lease.End(now, result, newEngines(1))
		require.InDelta(t, want, c.TakeShareUses()[0].Unserved, 1e-9, result.String())

		c = newOverloadedController(now)
		d = c.Admit(now, letterRequest("w", 7, 1), newEngines(1))
		c.TakeShareUses()
		d.Lease.End(now, result, newEngines(1))
		if want > 0 {
			require.InDelta(t, want, c.TakeShareUses()[0].Unserved, 1e-9, "%s in a later second", result)
		}

		c = newOverloadedController(now)
		d = c.Admit(now, letterRequest("w", 7, 1), newEngines(1))
		d.Lease.Began(now)
		d.Lease.End(now, result, newEngines(1))
		require.Zero(t, c.TakeShareUses()[0].Unserved, "the response began before %s", result)
	}
}

// chargedShare returns what an admitted request of workspace "w" costs its share and adds
// to its reported service, if it ends with a result before or after its response began.
func chargedShare(t *testing.T, result Result, began bool) (share, served float64) {
	t.Helper()
	now := time.Second
	c := newOverloadedController(now)
	targets := newEngines(1)
	c.refreshFairShareLevel(now)
	bucket := &c.bucketsOf("w").share
	require.True(t, bucket.available(now, c.localRate("w", c.fleetUsage["w"])))
	before := bucket.tokens
	d := c.Admit(now, letterRequest("w", 7, 1), targets)
	require.Equal(t, TierUnusedShare, d.Tier)
	if began {
		d.Lease.Began(now)
	}
	d.Lease.End(now, result, targets)
	return before - bucket.tokens, c.Report(now).Usage["w"].Served
}

// Guards against charging a workspace for each target that failed before one served the
// request.
func TestFailedSendsReturnShare(t *testing.T) {
	for _, result := range []Result{ResultUnreachable, ResultMisdirected, ResultRejected, ResultLost, ResultFailed} {
		share, served := chargedShare(t, result, false)
		require.InDelta(t, 0, share, 1e-6, result.String())
		require.InDelta(t, 0, served, 1e-6, result.String())
	}
}

func TestBegunAndAbortedRequestsUseShare(t *testing.T) {
	for _, result := range []Result{ResultDone, ResultWithdrawn, ResultLost, ResultFailed} {
		share, served := chargedShare(t, result, true)
		require.InDelta(t, 6600, share, 1e-6, result.String())
		require.InDelta(t, 6600, served, 1e-6, result.String())
	}
	share, served := chargedShare(t, ResultWithdrawn, false)
	require.InDelta(t, 6600, share, 1e-6, "a caller that leaves has used the target")
	require.InDelta(t, 6600, served, 1e-6)
}
