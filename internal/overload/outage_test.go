package overload

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// manyGatesLoad returns a load of 22 gates: two workspaces flood one gate each, one sends
// half as much again as its share through all gates, and the others request less than
// their share. The first crashed engines are down for 2 of every 2.5 s.
func manyGatesLoad(seed uint64, crashed int) *Load {
	const gates, engines = 22, 40
	l := &Load{
		Kinds: requestKinds, Gates: gates, Engines: engines, Length: 24 * time.Second, Seed: seed,
		TokensPerSecond: tokensPerSecondPerEngine * engines, ReportDelay: 200 * time.Millisecond,
		Workspaces: []Workspace{
			{Name: "flood-a", RequestsPerSecond: 200, Gates: []int{3}},
			{Name: "flood-b", RequestsPerSecond: 240, Gates: []int{9}},
			{Name: "spread", RequestsPerSecond: 60},
			{Name: "medium", RequestsPerSecond: 25},
		},
	}
	for i := range 14 {
		l.Workspaces = append(l.Workspaces, Workspace{Name: fmt.Sprintf("small-%02d", i), RequestsPerSecond: 4})
	}
	for start := 6 * time.Second; start < 20*time.Second; start += 2500 * time.Millisecond {
		l.Outages = append(l.Outages, Outage{Start: start, Length: 2 * time.Second, Engines: crashed})
	}
	return l
}

// Each gate finds crashed engines by its own failed sends, so a workspace that uses many
// gates has most of them.
func TestSpreadWorkspaceNotStarvedWhileEnginesCrash(t *testing.T) {
	const loads, crashed = 8, 16
	starved := 0
	for seed := range uint64(loads) {
		l := manyGatesLoad(seed, crashed)
		r := Simulate(l, Shares(l))
		t.Logf("seed %d: least margins %+v", seed, r.Fairness.LowestWindows()[:2])
		starved += len(r.StarvedWorkspaces())
	}
	require.Zero(t, starved, "starved workspaces in %d loads", loads)
}

// shareOf returns the fair share of the first three workspaces of a load, whose demand
// exceeds it, and the service of one of them, in tokens of work per second. Both are means
// from the time on at which the gates know the demand.
func shareOf(r *Result, l *Load, workspace string) (share, served float64) {
	const known = 6
	length := int(l.Length / time.Second)
	share = l.TokensPerSecond
	for _, w := range l.Workspaces[3:] {
		for _, second := range r.Fairness.Seconds(w.Name)[known:] {
			share -= second.Requested / float64(length-known)
		}
	}
	for _, second := range r.Fairness.Seconds(workspace)[known:] {
		served += second.Served / float64(length-known)
	}
	return share / 3, served
}

// Guards against refusing requests within the share of a workspace that has few to choose
// from, while the surplus of workspaces that flood a gate is admitted.
func TestSpreadWorkspaceGetsItsShareBesideFloods(t *testing.T) {
	for seed := range uint64(5) {
		l := manyGatesLoad(seed, 0)
		share, served := shareOf(Simulate(l, Shares(l)), l, "spread")
		require.GreaterOrEqual(t, served, share, "seed %d", seed)
	}
}

// The workspace requests hardly more than its share.
func TestSpreadWorkspaceJustAboveItsShareGetsItBesideFloods(t *testing.T) {
	for seed := range uint64(5) {
		l := manyGatesLoad(seed, 0)
		l.Workspaces[2].RequestsPerSecond = 40
		share, served := shareOf(Simulate(l, Shares(l)), l, "spread")
		require.GreaterOrEqual(t, served, share, "seed %d", seed)
	}
}

func TestOutageLosesRequestsAtCrashedEngines(t *testing.T) {
	l := manyGatesLoad(0, 16)
	l.Length = 8 * time.Second
	r := Simulate(l, Shares(l))
	require.Positive(t, r.Total.Lost)
	require.Equal(t, r.Total.Requests, r.Total.InTime+r.Total.Late+r.Total.Refused+r.Total.Lost)
}
