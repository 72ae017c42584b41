package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/mastichollow/mastichollow/internal/fixedseed"
)

func TestMaxMinShareLevel(t *testing.T) {
	require.InDelta(t, -1, maxMinShareLevel([]float64{1, 2, 3}, 6), 1e-9, "all demand fits")
	require.InDelta(t, 2, maxMinShareLevel([]float64{1, 5, 9}, 5), 1e-9)
	require.InDelta(t, 1, maxMinShareLevel([]float64{5, 5, 5}, 3), 1e-9)
	require.InDelta(t, -1, maxMinShareLevel(nil, 3), 1e-9)
}

func TestMaxMinShareLevelRandomDemands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 20).Draw(t, "requested")
		capacity := rapid.Float64Range(1, 5000).Draw(t, "capacity")
		total := 0.0
		for _, demand := range demands {
			total += demand
		}
		level := maxMinShareLevel(slices.Clone(demands), capacity)
		if level < 0 {
			require.LessOrEqual(t, total, capacity*(1+1e-9))
			return
		}
		allocated := 0.0
		for _, demand := range demands {
			allocated += min(demand, level)
		}
		require.InEpsilon(t, capacity, allocated, 1e-6, "all capacity is allocated")
	})
}

func TestUsageDecaysLinearly(t *testing.T) {
	tracker := newUsageTracker()
	tracker.add(0, "a", Usage{Requested: 16, Served: 8})
	require.Equal(t, Usage{Requested: 16, Served: 8}, tracker.localUsage(0)["a"])
	before := 16.0
	for now := windowBucketSpan; now < 2*shareWindow; now += windowBucketSpan {
		usage := tracker.localUsage(now)["a"]
		require.InDelta(t, before-1, usage.Requested, 1e-9, "one sixteenth less per bucket")
		before = usage.Requested
	}
	require.Empty(t, tracker.localUsage(2*shareWindow))
}

func TestSteadyUsageEqualsRateTimesWindow(t *testing.T) {
	tracker := newUsageTracker()
	for now := time.Duration(0); now < 3*shareWindow; now += 100 * time.Millisecond {
		tracker.add(now, "a", Usage{Requested: 10})
	}
	require.InEpsilon(t, 100*shareWindow.Seconds(), tracker.localUsage(3 * shareWindow)["a"].Requested, 0.15)
}

func TestTokenBucketAdmitsItsRate(t *testing.T) {
	bucket := &tokenBucket{}
	admitted := 0.0
	for now := time.Duration(0); now < 100*time.Second; now += 10 * time.Millisecond {
		if bucket.available(now, 1000) {
			bucket.consume(5000) // more than one second's share
			admitted += 5000
		}
	}
	require.InEpsilon(t, 100_000, admitted, 0.06)
}

func TestUnresponsivePeersDoNotCount(t *testing.T) {
	tracker := newUsageTracker()
	tracker.setPeerReport(0, "p", map[string]Usage{"a": {Requested: 7, Served: 7}})
	require.InDelta(t, 7, tracker.fleetUsage(time.Second, minPeerReportLifetime)["a"].Requested, 0)
	require.Empty(t, tracker.fleetUsage(minPeerReportLifetime+time.Second, minPeerReportLifetime))
}

// The peer totals must match the last reports of the peers as these join, change and
// expire.
func TestPeerTotalsMatchLastReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, s := newLoads(), newUsageTracker()
		lastLoad, lastUsage := make(map[string]map[string]Load), make(map[string]map[string]Usage)
		lastSeen := make(map[string]time.Duration)
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "interval")) * time.Millisecond
			node := rapid.SampledFrom([]string{"p", "q", "r", "s"}).Draw(t, "node")
			loads, usage := make(map[string]Load), make(map[string]Usage)
			for _, id := range []string{"a", "b", "c"} {
				if rapid.Bool().Draw(t, "named") {
					loads[id] = Load{InFlight: rapid.IntRange(0, 5).Draw(t, "in flight"), Tokens: 7}
					usage[id] = Usage{Requested: float64(rapid.IntRange(0, 900).Draw(t, "requested")), Served: 3}
				}
			}
			l.setPeerReport(now, node, loads)
			s.setPeerReport(now, node, usage)
			lastLoad[node], lastUsage[node], lastSeen[node] = loads, usage, now
			l.expire(now, minPeerReportLifetime)
			got := s.fleetUsage(now, minPeerReportLifetime)
			for _, id := range []string{"a", "b", "c"} {
				var load Load
				var u Usage
				for peer, at := range lastSeen {
					if now-at <= minPeerReportLifetime {
						load = load.add(lastLoad[peer][id])
						u.Requested += lastUsage[peer][id].Requested
						u.Served += lastUsage[peer][id].Served
					}
				}
				require.Equal(t, load, l.total(id))
				require.InDelta(t, u.Requested, got[id].Requested, usageTolerance)
				require.InDelta(t, u.Served, got[id].Served, usageTolerance)
			}
		}
	})
}

// Guards against refusing requests within the share of a workspace that gets less service
// than others, while their surplus is admitted.
func TestServiceDeficitWidensWaitWithinShare(t *testing.T) {
	now := time.Second
	admit := func(served float64) Decision {
		c := newOverloadedController(now)
		c.Merge(now, "peer", Report{
			Loads: map[string]Load{"e0": {InFlight: 5, PendingPromptTokens: 6000}},
			Usage: map[string]Usage{"other": {Requested: 1e6, Served: 60_000}, "w": {Requested: 1e5, Served: served}},
		})
		c.refreshFairShareLevel(now)
		rate := c.localRate("w", c.fleetUsage["w"])
		bucket := &c.bucketsOf("w").share
		require.True(t, bucket.available(now, rate))
		bucket.tokens = rate * tokenBucketDepth.Seconds() * unusedTokenFraction / 2
		return c.Admit(now, letterRequest("w", 7, 1), newEngines(1))
	}
	require.NotEmpty(t, admit(60_000).Refused, "served as much as the other workspace")
	behind := admit(20_000)
	require.Empty(t, behind.Refused, "served a third of the other workspace")
	require.Equal(t, TierShare, behind.Tier)
}

func TestShareWaitFractionRange(t *testing.T) {
	c := newTestController()
	require.InDelta(t, maxShareWaitFraction, c.shareWaitFraction(Usage{}), 1e-9, "nothing is served above the level")
	c.meanServiceAboveLevel = 1000
	for served, want := range map[float64]float64{
		2000: maxShareWaitFraction, 1000: maxShareWaitFraction, 500: maxUnusedShareWaitFraction, 0: maxUnusedShareWaitFraction,
		750: (maxShareWaitFraction + maxUnusedShareWaitFraction) / 2,
	} {
		require.InDelta(t, want, c.shareWaitFraction(Usage{Served: served}), 1e-9, "served %v", served)
	}
}

func TestMeanServiceAboveLevel(t *testing.T) {
	usage := map[string]Usage{"a": {Requested: 100, Served: 10}, "b": {Requested: 200, Served: 40}, "c": {Requested: 5, Served: 5}}
	require.InDelta(t, 25, meanServiceAbove(50, usage), 1e-9)
	require.Zero(t, meanServiceAbove(500, usage))
	require.Zero(t, meanServiceAbove(-1, usage), "all demand fits")
}
