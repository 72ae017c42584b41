package overload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFloodWorkspacesBelowShareInTime(t *testing.T) {
	load := Flood()
	got := Simulate(load, Shares(load)).OutcomeExcept(FloodWorkspaces...)
	withoutShares := Simulate(load, NoShares(load)).OutcomeExcept(FloodWorkspaces...)
	t.Logf("in time %d of %d, without shares %d of %d", got.InTime, got.Requests, withoutShares.InTime, withoutShares.Requests)
	require.GreaterOrEqual(t, float64(got.InTime), 0.9*float64(got.Requests))
	require.Greater(t, got.InTime, withoutShares.InTime)
}

func TestFloodServedEvenly(t *testing.T) {
	load := Flood()
	r := Simulate(load, Shares(load))
	for _, name := range FloodWorkspaces {
		t.Logf("%s: %+v", name, *r.Workspaces[name])
	}
	require.LessOrEqual(t, r.MaxMinTokensRatio(FloodWorkspaces...), 2.0, "the platform's criterion: less than half of another's service is unfair")
}

// Refused callers retry once. Retries within the objective are served in time; retries
// after a second are admitted, but their responses come too late and displace others.
func TestRefusedRequestsRetriedInTime(t *testing.T) {
	load := Flood()
	got := Simulate(load, Shares(load))
	later := Simulate(load, WithRetryAfter(load, time.Second))
	never := Simulate(load, WithRetryAfter(load, 0))
	t.Logf("in time %d, late %d; retry after 1 s: %d, %d; no retry: %d, %d",
		got.Total.InTime, got.Total.Late, later.Total.InTime, later.Total.Late, never.Total.InTime, never.Total.Late)
	require.Greater(t, float64(got.Total.InTime), 1.1*float64(later.Total.InTime))
	require.Less(t, got.Total.Late, later.Total.Late)
	require.GreaterOrEqual(t, got.Total.InTime, never.Total.InTime)
	below := got.OutcomeExcept(FloodWorkspaces...)
	require.GreaterOrEqual(t, float64(below.InTime), 0.9*float64(below.Requests), "workspaces below their share")
}

func TestFloodNoKindStarves(t *testing.T) {
	load := Flood()
	r := Simulate(load, Shares(load))
	served := float64(r.Total.Requests-r.Total.Refused) / float64(r.Total.Requests)
	for name, o := range r.Kinds {
		t.Logf("%s: %+v", name, *o)
		require.Greater(t, float64(o.Requests-o.Refused)/float64(o.Requests), served/4, "%s: at least a quarter of the overall fraction, as the users' acceptance criterion demands", name)
	}
}

func TestNoRefusalsBelowCapacity(t *testing.T) {
	load := Flood()
	load.Workspaces = load.Workspaces[4:]
	r := Simulate(load, Shares(load))
	require.Zero(t, r.Total.Refused)
	require.GreaterOrEqual(t, float64(r.Total.InTime), 0.99*float64(r.Total.Requests))
}

func TestSimulateIsDeterministic(t *testing.T) {
	load := Flood()
	load.Length = 4 * time.Second
	a, b := Simulate(load, Shares(load)), Simulate(load, Shares(load))
	require.Equal(t, a, b)
}
