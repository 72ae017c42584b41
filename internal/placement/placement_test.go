package placement

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/mastichollow/mastichollow/internal/fixedseed"
	"github.com/mastichollow/mastichollow/internal/target"
)

var site = Site{Region: "north", Domain: "north-a"}

func vm(id, region, domain string) target.VM {
	return target.VM{ID: id, Region: region, Domain: domain, Role: target.RoleAgent, State: target.StateLive}
}

func ids(vms []target.VM) []string {
	list := make([]string, 0, len(vms))
	for _, vm := range vms {
		list = append(list, vm.ID)
	}
	return list
}

func TestPlanOrdersByLinkThenFreeSlots(t *testing.T) {
	agents := []target.VM{
		vm("far-busy", "south", "south-a"), vm("far-free", "west", "west-a"),
		vm("beside", "north", "north-b"), vm("own", "north", "north-a"), vm("own2", "north", "north-a"),
	}
	hasFreeSlots := func(domain string) bool { return domain == "west-a" }
	plan := NewPlan(agents, site, RequestHashes{Fingerprint: []byte("x")}, hasFreeSlots)
	require.NotNil(t, plan.Home)
	require.Equal(t, []string{"far-free", "far-busy"}, ids(plan.RemoteRegions))
	for i, next := range plan.LocalRegion[1:] {
		require.LessOrEqual(t, site.LinkTo(plan.LocalRegion[i]), site.LinkTo(next))
	}
	require.Len(t, plan.LocalRegion, 2)
}

func TestPlanWithoutAgentsIsEmpty(t *testing.T) {
	require.Equal(t, Plan{}, NewPlan(nil, site, RequestHashes{}, nil))
}

func TestRegionWithoutAgentsUsesRemoteHome(t *testing.T) {
	plan := NewPlan([]target.VM{vm("a", "south", "s"), vm("b", "west", "w")}, site, RequestHashes{Fingerprint: []byte("x")}, nil)
	require.NotNil(t, plan.Home)
	require.Len(t, plan.RemoteRegions, 1)
}

func randomAgents(t *rapid.T) []target.VM {
	n := rapid.IntRange(1, 30).Draw(t, "agents")
	agents := make([]target.VM, 0, n)
	for i := range n {
		region := rapid.SampledFrom([]string{"north", "south", "west"}).Draw(t, "region")
		domain := region + rapid.SampledFrom([]string{"-a", "-b"}).Draw(t, "domain")
		agents = append(agents, vm(fmt.Sprintf("vm%d", i), region, domain))
	}
	return agents
}

func randomHashes(t *rapid.T) RequestHashes {
	return RequestHashes{
		Fingerprint: rapid.SliceOfN(rapid.Byte(), 1, 32).Draw(t, "fingerprint"),
		Prefix:      rapid.SliceOfN(rapid.Byte(), 0, 32).Draw(t, "prefix"),
	}
}

// TestPlanContainsEachAgentOnce checks that a plan is a permutation of all agents.
func TestPlanContainsEachAgentOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := randomAgents(t)
		plan := NewPlan(agents, site, randomHashes(t), nil)
		all := append(append([]string{plan.Home.ID}, ids(plan.LocalRegion)...), ids(plan.RemoteRegions)...)
		slices.Sort(all)
		want := ids(agents)
		slices.Sort(want)
		require.Equal(t, want, all)
	})
}

// TestRoutersOfOneRegionAgreeOnHome checks that the home depends neither on the order
// of the agent list nor on the router's failure domain.
func TestRoutersOfOneRegionAgreeOnHome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := randomAgents(t)
		hashes := randomHashes(t)
		home := NewPlan(agents, site, hashes, nil).Home
		shuffled := rapid.Permutation(agents).Draw(t, "order")
		other := NewPlan(shuffled, Site{Region: "north", Domain: "north-b"}, hashes, nil).Home
		require.Equal(t, home.ID, other.ID)
	})
}

// TestHomeChangesOnlyWithItsAgent checks that the removal of an agent moves only the
// requests whose home it was, and that an added agent only attracts requests to itself.
// Requests with a shared prefix are spread over homesPerPrefix agents, so they may also
// move to the agent that becomes one of these.
func TestHomeChangesOnlyWithItsAgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := randomAgents(t)
		removed := rapid.IntRange(0, len(agents)-1).Draw(t, "gone")
		remaining := slices.Delete(slices.Clone(agents), removed, removed+1)
		hashes := randomHashes(t)
		before, after := NewPlan(agents, site, hashes, nil), NewPlan(remaining, site, hashes, nil)
		if after.Home == nil || before.Home.ID == agents[removed].ID || before.Home.ID == after.Home.ID {
			return
		}
		topAfter := topAgentsByAffinity(remaining, hashes)
		require.NotEqual(t, topAgentsByAffinity(agents, hashes), topAfter, "home moved though the top agents are the same")
		require.Contains(t, topAfter, after.Home.ID)
	})
}

// topAgentsByAffinity returns the IDs of the agents over which a prefix is spread.
func topAgentsByAffinity(agents []target.VM, hashes RequestHashes) []string {
	inRegion := func(vm target.VM) bool { return vm.Region == site.Region }
	region := slices.Clone(agents)
	if slices.ContainsFunc(agents, inRegion) {
		region = slices.DeleteFunc(region, func(vm target.VM) bool { return !inRegion(vm) })
	}
	slices.SortFunc(region, func(a, b target.VM) int {
		return cmp.Compare(rendezvousScore(hashes.affinityKey(), b.ID), rendezvousScore(hashes.affinityKey(), a.ID))
	})
	return ids(region[:min(homesPerPrefix, len(region))])
}

// TestHomesSpreadOverPool checks that no agent is the home of more than twice an even
// portion of requests that share no prefix.
func TestHomesSpreadOverPool(t *testing.T) {
	var agents []target.VM
	for i := range 10 {
		agents = append(agents, vm(fmt.Sprintf("vm%d", i), "north", "north-a"))
	}
	const requests = 10000
	homes := make(map[string]int)
	for i := range requests {
		homes[NewPlan(agents, site, RequestHashes{Fingerprint: fmt.Appendf(nil, "request %d", i)}, nil).Home.ID]++
	}
	for id, n := range homes {
		require.Less(t, n, 2*requests/len(agents), id)
	}
	require.Len(t, homes, len(agents))
}
