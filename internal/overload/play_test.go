package overload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFloodDoesNotTouchThoseBelowTheirShare(t *testing.T) {
	load := Flood()
	got := Play(load, Shares(load)).Below(FloodNames...)
	before := Play(load, NoShares(load)).Below(FloodNames...)
	t.Logf("in time %d of %d, without shares %d of %d", got.InTime, got.Asked, before.InTime, before.Asked)
	require.GreaterOrEqual(t, float64(got.InTime), 0.9*float64(got.Asked))
	require.Greater(t, got.InTime, before.InTime)
}

func TestFloodIsSharedEvenly(t *testing.T) {
	load := Flood()
	r := Play(load, Shares(load))
	for _, name := range FloodNames {
		t.Logf("%s: %+v", name, *r.Workspaces[name])
	}
	require.LessOrEqual(t, r.Ratio(FloodNames...), 2.0, "the platform takes less than half of another as unfair")
}

// Callers try once more. Those that come back within their goal are served in
// time; after a second they take places for answers that come too late.
func TestRefusedCallersComeBackInTime(t *testing.T) {
	load := Flood()
	got := Play(load, Shares(load))
	later := Play(load, ReturnLater(load, time.Second))
	never := Play(load, ReturnLater(load, 0))
	t.Logf("in time %d, late %d; after a second %d, %d; never %d, %d",
		got.Total.InTime, got.Total.Late, later.Total.InTime, later.Total.Late, never.Total.InTime, never.Total.Late)
	require.Greater(t, float64(got.Total.InTime), 1.1*float64(later.Total.InTime))
	require.Less(t, got.Total.Late, later.Total.Late)
	require.GreaterOrEqual(t, got.Total.InTime, never.Total.InTime)
	below := got.Below(FloodNames...)
	require.GreaterOrEqual(t, float64(below.InTime), 0.9*float64(below.Asked), "those below their share lose nothing")
}

func TestNoKindStarvesInAFlood(t *testing.T) {
	load := Flood()
	r := Play(load, Shares(load))
	served := float64(r.Total.Asked-r.Total.Refused) / float64(r.Total.Asked)
	for name, o := range r.Kinds {
		t.Logf("%s: %+v", name, *o)
		require.Greater(t, float64(o.Asked-o.Refused)/float64(o.Asked), served/4, "%s: a quarter of all, as the users' gate asks", name)
	}
}

func TestNothingIsRefusedWhileAllFits(t *testing.T) {
	load := Flood()
	load.Workspaces = load.Workspaces[4:]
	r := Play(load, Shares(load))
	require.Zero(t, r.Total.Refused)
	require.GreaterOrEqual(t, float64(r.Total.InTime), 0.99*float64(r.Total.Asked))
}

func TestPlayIsTheSameOnEachRun(t *testing.T) {
	load := Flood()
	load.Length = 4 * time.Second
	a, b := Play(load, Shares(load)), Play(load, Shares(load))
	require.Equal(t, a, b)
}
