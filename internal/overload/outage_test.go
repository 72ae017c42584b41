package overload

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// outageLoad returns a load of many gates: two workspaces flood one gate each, one sends
// half as much again as its share through all gates, and the others request less than
// their share. Engines crash every 2.5 s for 2 s.
func outageLoad(seed uint64, crashed int) *Load {
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
		l := outageLoad(seed, crashed)
		r := Simulate(l, Shares(l))
		t.Logf("seed %d: least margins %+v", seed, r.Fairness.LowestWindows()[:2])
		starved += len(r.StarvedWorkspaces())
	}
	require.Zero(t, starved, "starved workspaces in %d loads", loads)
}

func TestOutageLosesRequestsAtCrashedEngines(t *testing.T) {
	l := outageLoad(0, 16)
	l.Length = 8 * time.Second
	r := Simulate(l, Shares(l))
	require.Positive(t, r.Total.Lost)
	require.Equal(t, r.Total.Requests, r.Total.InTime+r.Total.Late+r.Total.Refused+r.Total.Lost)
}
