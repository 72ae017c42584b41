package overload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/intake"
)

// floodedGate returns a run in which a gate with a ninth of a core, which serves some 500
// requests per second, gets three times as many for six seconds.
func floodedGate() *FloodedGate {
	return &FloodedGate{
		Share: 0.109, Flood: 1500, Small: 4, SmallWorkspaces: 10, Length: 16 * time.Second,
		FloodStart: 2 * time.Second, FloodEnd: 8 * time.Second, DrainAt: 5 * time.Second,
		Limits: &intake.Config{
			MaxInFlight: 1230, MinInFlight: 32, Turns: 32, MaxWaiting: 256, MaxWait: 250 * time.Millisecond,
			MaxHold: 100 * time.Millisecond, HighDelay: 60 * time.Millisecond, OverloadDelay: 250 * time.Millisecond,
		},
	}
}

// A gate that accepts every request has a run queue of thousands: its watcher runs seconds
// late, and callers of all workspaces time out.
func TestFloodedGateStaysInControl(t *testing.T) {
	t.Parallel()
	limited := floodedGate()
	unlimited := floodedGate()
	unlimited.Limits = nil
	with, without := limited.Simulate(), unlimited.Simulate()
	t.Logf("with limits: %+v", with)
	t.Logf("without: %+v", without)
	require.Greater(t, without.MaxInFlight, 2000, "the load floods the gate")
	require.Greater(t, without.MaxDutyDelay, 2*time.Second)

	require.Less(t, with.MaxInFlight, 1230+1500/2, "requests in flight and heads to read")
	require.Less(t, with.MaxDutyDelay, time.Second)
	require.Zero(t, with.Unanswered, "everyone gets a response or a refusal in time")
	require.Greater(t, with.SmallServed, with.Small*95/100, "other workspaces are served")
	require.Zero(t, with.LateSends)
}

// A partitioned gate does not learn of the drain and sends on; the flood must not lengthen
// the time for which one that knows of it does.
func TestFloodedGateSendsNothingToDrainedTarget(t *testing.T) {
	t.Parallel()
	unchecked := floodedGate()
	unchecked.NoSendCheck = true
	unchecked.Limits = nil
	require.Positive(t, unchecked.Simulate().LateSends, "requests chose the target before")
	for _, limits := range []bool{false, true} {
		checked := floodedGate()
		if !limits {
			checked.Limits = nil
		}
		require.Zero(t, checked.Simulate().LateSends, "limits %t", limits)
	}
	partitioned := floodedGate()
	partitioned.Partitioned = true
	r := partitioned.Simulate()
	require.Zero(t, r.LateSends)
	require.Greater(t, r.SmallServed, r.Small*95/100)
}
