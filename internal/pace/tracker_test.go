package pace

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testService = "s"

// observeAll records times of targets with relative speeds, ten per second and target, from
// one time to another.
func observeAll(tracker *Tracker, from, to time.Duration, relative ...float64) {
	for now := from; now < to; now += 100 * time.Millisecond {
		for i, r := range relative {
			tracker.Observe(now, testService, fmt.Sprint("t", i), 1, Observation{Ratio: r, Weight: 1})
		}
		tracker.Service(now, testService)
	}
}

func relativeTo(t *testing.T, tracker *Tracker, now time.Duration, id string) float64 {
	t.Helper()
	s := tracker.Service(now, testService)
	require.NotNil(t, s)
	return s.Relative(now, id, 1, 0, 1)
}

func TestAlikeTargetsHaveNoEstimates(t *testing.T) {
	tracker := NewTracker()
	observeAll(tracker, 0, 20*time.Second, 1, 1.1, 0.95)
	require.Nil(t, tracker.Service(20*time.Second, testService))
}

func TestOwnSpeedsLearned(t *testing.T) {
	tracker := NewTracker()
	observeAll(tracker, 0, 20*time.Second, 1, 1, 2, 1)
	require.InDelta(t, 2, relativeTo(t, tracker, 20*time.Second, "t2")/relativeTo(t, tracker, 20*time.Second, "t0"), 0.3)

	observeAll(tracker, 20*time.Second, 24*time.Second, 2, 1, 1, 1)
	require.Greater(t, relativeTo(t, tracker, 24*time.Second, "t0"), 1.3*relativeTo(t, tracker, 24*time.Second, "t2"), "four seconds after the change")

	observeAll(tracker, 24*time.Second, 60*time.Second, 1, 1, 1, 1)
	require.Nil(t, tracker.Service(60*time.Second, testService), "alike again")
}

// Guards against a stated pace that is still used when the slowdown is over.
func TestStatedPaceForgottenAfterASecond(t *testing.T) {
	tracker := NewTracker()
	stated := Statement{Running: 6, Slots: 6, Pace: 2.5}
	tracker.State(0, testService, "t0", 1, stated, 0)
	tracker.State(20*time.Millisecond, testService, "t0", 1, stated, 0)
	require.Greater(t, relativeTo(t, tracker, 20*time.Millisecond, "t0"), 2.0)
	require.Less(t, relativeTo(t, tracker, 500*time.Millisecond, "t0"), 1.5)
	require.InDelta(t, 1, relativeTo(t, tracker, 1100*time.Millisecond, "t0"), 1e-9)
	require.Nil(t, tracker.Service(evenDelay+time.Second, testService))
}

// Guards against a damped pace that a single statement can throw far off.
func TestOneStatementIsDamped(t *testing.T) {
	tracker := NewTracker()
	tracker.State(0, testService, "t0", 1, Statement{Slots: 6, Pace: 2.5}, 0)
	require.Less(t, relativeTo(t, tracker, 0, "t0"), 2.0)
}

func TestQueueCombinesStatementAndCount(t *testing.T) {
	tracker := NewTracker()
	tracker.State(0, testService, "t0", 1, Statement{Running: 6, Waiting: 10, Slots: 6, Pace: 2}, 2)
	s := tracker.Service(0, testService)
	require.InDelta(t, 16, s.Queue(0, "t0", 1, 4, 2), 0.01)
	require.InDelta(t, 19, s.Queue(0, "t0", 1, 4, 5), 0.01, "placed by this gate since")
	require.InDelta(t, 4, s.Queue(3*time.Second, "t0", 1, 4, 2), 0.01, "too old")
	require.InDelta(t, 4, s.Queue(0, "t0", 2, 4, 2), 0.01, "stated by a former run")
}

func TestEstimatesDecayToTheMeanWithoutNews(t *testing.T) {
	tracker := NewTracker()
	observeAll(tracker, 0, 20*time.Second, 1, 1, 2)
	for now := 20 * time.Second; now < 40*time.Second; now += time.Second / 5 {
		tracker.Observe(now, testService, "t0", 1, Observation{Ratio: 1, Weight: 1})
		tracker.Observe(now, testService, "t1", 1, Observation{Ratio: 1, Weight: 1})
		tracker.Service(now, testService)
	}
	s := tracker.services[testService]
	require.InDelta(t, 1, s.Relative(40*time.Second, "t2", 1, 0, 1), 0.1)
}

func TestRestartedTargetStartsAtTheMean(t *testing.T) {
	tracker := NewTracker()
	observeAll(tracker, 0, 20*time.Second, 1, 1, 2)
	s := tracker.Service(20*time.Second, testService)
	require.InDelta(t, 1, s.Relative(20*time.Second, "t2", 2, 0, 1), 1e-9)
	tracker.Observe(20*time.Second, testService, "t2", 2, Observation{Ratio: 1, Weight: 1})
	tracker.Observe(20*time.Second, testService, "t2", 1, Observation{Ratio: 9, Weight: 1})
	require.EqualValues(t, 2, s.targets["t2"].started, "a late response of the former run changes nothing")
}

func TestInvalidFiguresIgnored(t *testing.T) {
	tracker := NewTracker()
	for _, s := range []Statement{{}, {Running: -1, Slots: 6}, {Slots: 6, Pace: -1}, {Slots: 6, Pace: math.NaN()}, {Slots: 6, Pace: math.Inf(1)}, {Slots: 1 << 30}} {
		tracker.State(0, testService, "t0", 1, s, 0)
	}
	for _, ratio := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		tracker.Observe(0, testService, "t0", 1, Observation{Ratio: ratio, Weight: 1})
	}
	for _, e := range []Estimate{{Log: math.NaN(), Weight: 1}, {Log: 9, Weight: 1}, {Log: 1, Weight: -1}, {Log: 1, Weight: math.NaN()}} {
		tracker.Merge(0, map[string]ServiceReport{testService: {Targets: map[string]Estimate{"t0": e}}})
	}
	if s := tracker.services[testService]; s != nil {
		require.Empty(t, s.targets)
	}
}

func TestReportsBounded(t *testing.T) {
	tracker := NewTracker()
	for i := range 2 * maxTargets {
		tracker.Observe(0, testService, fmt.Sprint("t", i), 1, Observation{Ratio: 1, Weight: 1})
	}
	require.Len(t, tracker.services[testService].targets, maxTargets)
	reported := make(map[string]bool)
	for range maxTargets/maxReported + 1 {
		targets := tracker.Report(0)[testService].Targets
		require.LessOrEqual(t, len(targets), maxReported)
		for id := range targets {
			reported[id] = true
		}
	}
	require.Len(t, reported, maxTargets, "all in turn")
	tracker.Retain(func(id string) bool { return id == "t1" })
	require.Len(t, tracker.services[testService].targets, 1)
}

func TestLoadLimitOfTargetThatSlowsDownEarly(t *testing.T) {
	tracker := NewTracker()
	for now := time.Duration(0); now < 40*time.Second; now += 50 * time.Millisecond {
		for i, atLoad := range []float64{1, 1, 2.2} {
			load := float64(now/(50*time.Millisecond)%4) / 4
			ratio := 1.0
			if load >= 0.5 {
				ratio = atLoad
			}
			tracker.Observe(now, testService, fmt.Sprint("t", i), 1, Observation{Load: load, Ratio: ratio, Weight: 1})
		}
		tracker.Service(now, testService)
	}
	s := tracker.services[testService]
	require.InDelta(t, 0.5, s.LoadLimit("t2", 1), 1e-9)
	require.InDelta(t, 1, s.LoadLimit("t0", 1), 1e-9)
}
