package starvation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func seconds(n int) time.Duration { return time.Duration(n) * time.Second }

// meterOf returns a meter of ten seconds with three workspaces that request 1,000 tokens
// each second: "a" is served 900, the others nothing, and "c" is not degraded in every
// third second.
func meterOf(offset time.Duration) *Meter {
	m := NewMeter(offset, 10)
	for s := range 10 {
		for _, workspace := range []string{"a", "b", "c"} {
			for range 100 {
				m.AddRequested(workspace, offset+seconds(s), 10)
			}
		}
		m.AddServed("a", offset+seconds(s), 900)
		m.MarkDegraded("a", offset+seconds(s), offset+seconds(s))
		m.MarkDegraded("b", offset+seconds(s), offset+seconds(s))
		if s%3 > 0 {
			m.MarkDegraded("c", offset+seconds(s), offset+seconds(s))
		}
	}
	return m
}

func TestLowestWindowsFindsUnservedWorkspace(t *testing.T) {
	lowest := meterOf(0).LowestWindows()
	require.Equal(t, []Window{
		{Workspace: "b", Requested: 6000, FairShare: 5400, Floor: 2670, MaxServed: 5400},
		{Workspace: "a", Requested: 6000, FairShare: 5400, Served: 5400, Floor: 2670, MaxServed: 5400},
	}, lowest, "c is not degraded in every second of a window")
	require.True(t, lowest[0].Starved())
	require.False(t, lowest[1].Starved())
	require.InDelta(t, -2670.0/5400, lowest[0].Margin(), 1e-9)
}

func TestWindowServedAtFloorIsNotStarved(t *testing.T) {
	w := Window{FairShare: 100, Served: 20, Floor: 20}
	require.False(t, w.Starved())
	w.Served--
	require.True(t, w.Starved())
}

func TestMarkDegradedCoversPartOfSeconds(t *testing.T) {
	m := NewMeter(0, 4)
	m.MarkDegraded("a", 900*time.Millisecond, 2100*time.Millisecond)
	for s, want := range []bool{true, true, true, false} {
		require.Equal(t, want, m.Seconds("a")[s].Degraded, s)
	}
}

func TestMergeReturnsLowestWindowOfEachWorkspace(t *testing.T) {
	whole, half := meterOf(0), meterOf(500*time.Millisecond)
	half.AddServed("a", seconds(5), 100)
	whole.AddServed("b", seconds(5), 3000)
	merged := Merge(whole, half)
	require.Equal(t, "b", merged[0].Workspace)
	require.InDelta(t, 0.5, merged[0].From, 1e-9, "b is served in all windows of the other meter")
	require.InDelta(t, 0, merged[1].From, 1e-9)
}

func TestWorkOutsideOfMeterIsIgnored(t *testing.T) {
	m := NewMeter(seconds(1), 2)
	for _, at := range []time.Duration{0, 999 * time.Millisecond, seconds(3), time.Hour} {
		m.AddServed("a", at, 5)
	}
	require.Equal(t, make([]Second, 2), m.Seconds("a"))
}
