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
	free := func(domain string) bool { return domain == "west-a" }
	plan := Make(agents, site, Content{Fingerprint: []byte("x")}, free)
	require.NotNil(t, plan.Home)
	require.Equal(t, []string{"far-free", "far-busy"}, ids(plan.Far))
	for i, near := range plan.Near[1:] {
		require.LessOrEqual(t, site.LinkTo(plan.Near[i]), site.LinkTo(near))
	}
	require.Len(t, plan.Near, 2)
}

func TestPlanWithoutAgents(t *testing.T) {
	require.Equal(t, Plan{}, Make(nil, site, Content{}, nil))
}

func TestRegionWithoutAgentsHasAHomeElsewhere(t *testing.T) {
	plan := Make([]target.VM{vm("a", "south", "s"), vm("b", "west", "w")}, site, Content{Fingerprint: []byte("x")}, nil)
	require.NotNil(t, plan.Home)
	require.Len(t, plan.Far, 1)
}

func drawAgents(t *rapid.T) []target.VM {
	n := rapid.IntRange(1, 30).Draw(t, "agents")
	agents := make([]target.VM, 0, n)
	for i := range n {
		region := rapid.SampledFrom([]string{"north", "south", "west"}).Draw(t, "region")
		domain := region + rapid.SampledFrom([]string{"-a", "-b"}).Draw(t, "domain")
		agents = append(agents, vm(fmt.Sprintf("vm%d", i), region, domain))
	}
	return agents
}

func drawContent(t *rapid.T) Content {
	return Content{
		Fingerprint: rapid.SliceOfN(rapid.Byte(), 1, 32).Draw(t, "fingerprint"),
		Prefix:      rapid.SliceOfN(rapid.Byte(), 0, 32).Draw(t, "prefix"),
	}
}

// TestPlanHoldsEachAgentOnce checks that a plan is an order of all agents.
func TestPlanHoldsEachAgentOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := drawAgents(t)
		plan := Make(agents, site, drawContent(t), nil)
		all := append(append([]string{plan.Home.ID}, ids(plan.Near)...), ids(plan.Far)...)
		slices.Sort(all)
		want := ids(agents)
		slices.Sort(want)
		require.Equal(t, want, all)
	})
}

// TestRoutersOfARegionAgreeOnHome checks that neither the order of the list nor
// the router's failure domain changes the home.
func TestRoutersOfARegionAgreeOnHome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := drawAgents(t)
		c := drawContent(t)
		home := Make(agents, site, c, nil).Home
		shuffled := rapid.Permutation(agents).Draw(t, "order")
		other := Make(shuffled, Site{Region: "north", Domain: "north-b"}, c, nil).Home
		require.Equal(t, home.ID, other.ID)
	})
}

// TestHomeMovesOnlyWithItsAgent checks that an agent that leaves takes only its
// own requests with it, and that one that comes takes requests only to itself.
// A prefix spreads over the best agents, so there the agent that moves up may
// take over as well.
func TestHomeMovesOnlyWithItsAgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := drawAgents(t)
		gone := rapid.IntRange(0, len(agents)-1).Draw(t, "gone")
		left := slices.Delete(slices.Clone(agents), gone, gone+1)
		c := drawContent(t)
		before, after := Make(agents, site, c, nil), Make(left, site, c, nil)
		if after.Home == nil || before.Home.ID == agents[gone].ID || before.Home.ID == after.Home.ID {
			return
		}
		movedUp := bestByAffinity(left, c)
		require.NotEqual(t, bestByAffinity(agents, c), movedUp, "home moved though the best agents are the same")
		require.Contains(t, movedUp, after.Home.ID)
	})
}

// bestByAffinity returns the agents over which a prefix spreads.
func bestByAffinity(agents []target.VM, c Content) []string {
	inRegion := func(vm target.VM) bool { return vm.Region == site.Region }
	region := slices.Clone(agents)
	if slices.ContainsFunc(agents, inRegion) {
		region = slices.DeleteFunc(region, func(vm target.VM) bool { return !inRegion(vm) })
	}
	slices.SortFunc(region, func(a, b target.VM) int {
		return cmp.Compare(rendezvous(c.affinity(), b.ID), rendezvous(c.affinity(), a.ID))
	})
	return ids(region[:min(affinityWidth, len(region))])
}

// TestHomesSpreadOverThePool checks that no agent is home to more than twice
// its even part of the requests without a common prefix.
func TestHomesSpreadOverThePool(t *testing.T) {
	var agents []target.VM
	for i := range 10 {
		agents = append(agents, vm(fmt.Sprintf("vm%d", i), "north", "north-a"))
	}
	const requests = 10000
	homes := make(map[string]int)
	for i := range requests {
		homes[Make(agents, site, Content{Fingerprint: fmt.Appendf(nil, "request %d", i)}, nil).Home.ID]++
	}
	for id, n := range homes {
		require.Less(t, n, 2*requests/len(agents), id)
	}
	require.Len(t, homes, len(agents))
}
