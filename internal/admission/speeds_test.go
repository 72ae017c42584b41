package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/pace"
	"github.com/mastichollow/mastichollow/internal/quarantine"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
)

func newPlainTargets(n int) []target.Instance {
	targets := make([]target.Instance, n)
	for i := range targets {
		id := fmt.Sprint("p", i)
		targets[i] = target.Instance{ID: id, Service: "plain", Domain: "d", Slots: 6, Hash: target.HashID(id)}
	}
	return targets
}

func plainRequest(n int) *Request {
	return &Request{Workspace: "w", Service: "plain", Hash: mixBits(uint64(n + 1)), Fingerprint: quarantine.Fingerprint(n)}
}

// learnSpeeds records responses that take relative[i] times 30 ms, for ten seconds.
func learnSpeeds(c *Controller, targets []target.Instance, relative ...float64) time.Duration {
	now := time.Duration(0)
	for n := 0; now < 10*time.Second; n++ {
		now += 100 * time.Millisecond
		for i := range targets {
			took := time.Duration(relative[i] * 30 * float64(time.Millisecond))
			d := c.Admit(now, plainRequest(n), targets[i:i+1])
			d.Lease.Responded(now + took)
			d.Lease.End(now+took, ResultDone, targets)
		}
		c.speedsOf(now, "plain")
	}
	return now
}

// placements returns how many of 100 requests each target gets; all end before the next.
func placements(c *Controller, now time.Duration, targets []target.Instance) map[string]int {
	got := make(map[string]int)
	for n := range 100 {
		d := c.Admit(now, plainRequest(n), targets)
		got[d.Target.ID]++
		if d.Lease != nil {
			d.Lease.End(now, ResultWithdrawn, targets)
		}
	}
	return got
}

func TestPlainRequestsAvoidSlowTarget(t *testing.T) {
	targets := newPlainTargets(4)
	for _, ignored := range []bool{false, true} {
		c := NewController(Config{Site: Site{Region: "r", Domain: "d"}, IgnoreSpeeds: ignored})
		now := learnSpeeds(c, targets, 3, 1, 1, 1)
		got := placements(c, now, targets)
		if ignored {
			require.Equal(t, map[string]int{"p0": 100}, got, "the choice by count is unchanged")
			require.Empty(t, c.Speeds(now))
			require.Empty(t, c.Report(now).Speeds)
		} else {
			require.Less(t, got["p0"], 10, "%v", got)
		}
	}
}

// Where no target states its pace, speeds from response times alone must change nothing: they
// cost a deployment that was served well.
func TestSpeedsUsedOnceTargetsStateTheirPace(t *testing.T) {
	targets := newPlainTargets(4)
	c := NewController(Config{Site: Site{Region: "r", Domain: "d"}, SpeedsByStatedPace: true})
	now := learnSpeeds(c, targets, 3, 1, 1, 1)
	require.Equal(t, map[string]int{"p0": 100}, placements(c, now, targets))
	d := c.Admit(now, plainRequest(0), targets)
	d.Lease.RecordStatement(now, pace.Statement{Running: 1, Slots: 6, Pace: 1})
	d.Lease.End(now, ResultWithdrawn, targets)
	got := placements(c, now, targets)
	require.Less(t, got["p0"], 100, "%v", got)
}

// Guards against the choice by expected end skipping the rules that come before it.
func TestLearnedSpeedsKeepOtherRules(t *testing.T) {
	targets := newPlainTargets(3)
	c := NewController(Config{Site: Site{Region: "r", Domain: "d"}})
	now := learnSpeeds(c, targets, 0.5, 1, 1)
	require.NotNil(t, c.speedsOf(now, "plain"))
	require.Greater(t, placements(c, now, targets)["p0"], 50)

	c.BackOff(now, targets[0], time.Second)
	require.Zero(t, placements(c, now, targets)["p0"], "backoff")
	now += 1100 * time.Millisecond

	excluding := plainRequest(1)
	excluding.Exclude = []string{"p0", "p1"}
	require.Equal(t, "p2", c.Admit(now, excluding, targets).Target.ID, "already tried")

	c.Admit(now, plainRequest(2), targets[:1]).Lease.RecordRequestLimit(now, RequestLimit{Statement: LimitNamed, PerSecond: 0})
	require.LessOrEqual(t, placements(c, now, targets)["p0"], 1, "request limit")

	c.Merge(now, "peer", Report{Loads: map[string]Load{"p1": {InFlight: 18}, "p2": {InFlight: 18}}})
	require.Equal(t, request.ReasonOverloaded, c.Admit(now, plainRequest(3), targets[1:]).Refused, "full queues")
}

// Guards against a change of the order of candidates, which would read shared prompt parts
// again at other engines.
func TestEnginesKeepAffinityWithLearnedSpeeds(t *testing.T) {
	all := newEngines(8)
	uneven, even := newTestController(), newTestController()
	service := all[0].Service
	reported := make(map[string]pace.Estimate)
	for i, in := range all {
		reported[in.ID] = pace.Estimate{Started: in.StartedMillis, Log: []float64{-0.3, 0.6}[i%2], Weight: 30}
	}
	for round := range 30 {
		uneven.Merge(time.Duration(round)*200*time.Millisecond, "peer", Report{Speeds: map[string]pace.ServiceReport{service: {Uneven: true, Targets: reported}}})
		uneven.engineSpeedsOf(time.Duration(round)*200*time.Millisecond, service)
	}
	now := 6 * time.Second
	require.NotNil(t, uneven.engineSpeedsOf(now, service))
	taken := map[float64]int{}
	for n := range 200 {
		a, b := uneven.Admit(now, letterRequest("w", uint64(n), n), all), even.Admit(now, letterRequest("w", uint64(n), n), all)
		if a.Lease == nil || b.Lease == nil {
			break
		}
		require.Equal(t, b.Target.ID, a.Target.ID, "an idle first choice stays the first choice")
		a.Lease.End(now, ResultWithdrawn, all)
		b.Lease.End(now, ResultWithdrawn, all)
	}
	for i := range all[:2] {
		for n := 0; ; n++ {
			d := uneven.Admit(now, &Request{Workspace: "w", Service: service, Slots: 64, PromptTokens: 1, Hash: uint64(n), Fingerprint: quarantine.Fingerprint(n)}, all[i:i+1])
			if d.Refused != "" {
				taken[float64(i)] = n
				break
			}
		}
	}
	t.Logf("requests in flight: fast %d, slow %d", taken[0], taken[1])
	require.Greater(t, taken[0], 40, "more than 0.62 of 64 slots")
	require.Less(t, taken[1], 35)
}

// Guards against an error or an aborted response counting as a fast one.
func TestOnlySuccessesAreObserved(t *testing.T) {
	targets := newPlainTargets(1)
	for _, result := range []Result{ResultRejected, ResultUnreachable, ResultFailed, ResultLost, ResultMisdirected, ResultWithdrawn} {
		c := NewController(Config{})
		d := c.Admit(0, plainRequest(1), targets)
		d.Lease.Responded(time.Millisecond)
		d.Lease.End(time.Millisecond, result, targets)
		require.Empty(t, c.Speeds(0), result.String())
	}
}

// BenchmarkChoosePlain measures the choice among plain targets, alike and uneven.
func BenchmarkChoosePlain(b *testing.B) {
	for _, n := range []int{6, 300, 3000} {
		for name, slowest := range map[string]float64{"alike": 1, "uneven": 3} {
			b.Run(fmt.Sprint(n, "-targets-", name), func(b *testing.B) {
				c := NewController(Config{Site: Site{Region: "r", Domain: "d"}})
				targets := newPlainTargets(n)
				relative := slices.Repeat([]float64{1}, n)
				relative[0] = slowest
				now := learnSpeeds(c, targets, relative...)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					d := c.Admit(now, plainRequest(i), targets)
					d.Lease.End(now, ResultWithdrawn, targets)
				}
			})
		}
	}
}
