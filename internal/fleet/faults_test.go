package fleet

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// firstRelay returns the ID of the first relay of a region's domain.
func firstRelay(n *network, region string) string {
	for _, node := range n.without() {
		return node.store.Snapshot().Relays(region+"-d1", region)[0].ID
	}
	return ""
}

func TestMembersSwitchWhenRelayIsKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := threeRegions(t)
		time.Sleep(time.Minute)
		n.kill(firstRelay(n, "north"))
		version := n.commit("second")
		eventually(t, inForceBound, "second table in force", inForce(n.without(), version))
	})
}

func TestMembersSwitchWhenBothRelaysFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		n.region("north", 3, 2)
		version := n.commit("first")
		n.startAll()
		eventually(t, inForceBound, "first table in force", inForce(n.without(), version))
		time.Sleep(time.Minute)
		relays := n.nodes["north-agent-0"].store.Snapshot().Relays("north-d1", "north")
		frozen := map[string]bool{relays[0].ID: true, relays[1].ID: true}
		n.setCut(func(from, to string) bool { return frozen[from] || frozen[to] })
		n.setApart(true, relays[0].ID, relays[1].ID)
		time.Sleep(5 * time.Second) // silence is noticed and the last router takes over
		version = n.commit("second")
		rest := n.without(relays[0].ID, relays[1].ID)
		eventually(t, inForceBound, "second table in force", inForce(rest, version))
	})
}

func TestLeavingVMIsKnownWhileARelayFreezes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := threeRegions(t)
		time.Sleep(time.Minute)
		frozen := make(map[string]bool)
		for _, region := range []string{"north", "south", "west"} {
			frozen[firstRelay(n, region)] = true
		}
		n.setCut(func(from, to string) bool { return frozen[from] || frozen[to] })
		rest := n.without(slices.Collect(maps.Keys(frozen))...)
		require.Len(t, rest, 9)
		const id = "south-agent-0"
		n.setState(id, target.StateLeaving)
		eventually(t, leavingBound, "leaving at every process that is not frozen", leaving(rest, id))
	})
}

// leaving reports whether each of nodes takes a VM as leaving.
func leaving(nodes map[string]*testNode, id string) func() bool {
	return func() bool {
		for _, node := range nodes {
			s := node.store.Snapshot()
			if s.State(s.VMs[id]) != target.StateLeaving {
				return false
			}
		}
		return true
	}
}

func TestAgentCutOffFromPlatformLearnsLeavingThroughRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := threeRegions(t)
		const id = "west-agent-1"
		n.setApart(true, id)
		time.Sleep(time.Minute)
		n.setState(id, target.StateLeaving)
		eventually(t, leavingBound, "agent knows that it is leaving", func() bool {
			s := n.nodes[id].store.Snapshot()
			return s.State(s.VMs[id]) == target.StateLeaving
		})
	})
}

func TestRestartedNodeGetsNewestTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := threeRegions(t)
		const id = "west-agent-1"
		vm := n.nodes[id].cfg.Self
		n.kill(id)
		version := n.commit("second")
		n.start(vm, 100)
		require.Zero(t, n.nodes[id].version())
		eventually(t, inForceBound, "second table in force", inForce(n.without(), version))
	})
}

func TestSumsFlowWhileTheFirstRelayIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := usersFleet(t, 3, 2)
		dead := firstRelay(n, "south")
		n.setCut(func(from, to string) bool { return from == dead || to == dead })
		time.Sleep(10 * time.Second)
		spare := linksOf(n.nodes["south-agent-0"])
		require.Len(t, spare, relaysPerDomain, "a spare relay has taken the place of the first")
		before := service(n.nodes["north-agent-0"], "south-d1", 1)
		const seconds = 30
		serveBacklog(n, seconds*time.Second, 1)
		time.Sleep(4 * time.Second)
		agents := uint64(2)
		require.Equal(t, before+agents*seconds*unitsPerSecond, service(n.nodes["north-agent-0"], "south-d1", 1))
		require.Equal(t, spare, linksOf(n.nodes["south-agent-0"]), "the spare links stay up")
	})
}

func TestSumsStayExactWhileTheRelayOfTheReaderComesAndGoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := usersFleet(t, 3, 2)
		const reader = "north-agent-0"
		serveBacklog(n, 10*time.Second, 1)
		time.Sleep(4 * time.Second)
		before := service(n.nodes[reader], "south-d1", 1)
		first := firstRelay(n, "north")
		const seconds = 20
		total := uint64(10)
		for _, cut := range []bool{true, false, true} {
			n.setCut(func(from, to string) bool { return cut && (from == first || to == first) })
			for range seconds {
				total++
				sum := wire.Sum{Workspace: 1, Service: total * unitsPerSecond}
				n.nodes["south-agent-0"].setSums("letter-writer", sum)
				n.nodes["south-agent-1"].setSums("letter-writer", sum)
				time.Sleep(time.Second)
			}
		}
		time.Sleep(4 * time.Second)
		require.Equal(t, before+2*(total-10)*unitsPerSecond, service(n.nodes[reader], "south-d1", 1))
	})
}

// linksOf returns the links of node to its relays.
func linksOf(node *testNode) map[*link]string {
	node.Node.mu.Lock()
	defer node.Node.mu.Unlock()
	links := make(map[*link]string)
	for l := range node.links {
		if l.kind == toRelay && l.incarnation != 0 {
			links[l] = l.peer.ID
		}
	}
	return links
}

func TestMemberGetsEachDigestOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := usersFleet(t, 2, 2)
		serveBacklog(n, 5*time.Second, 1)
		n.resetBytes()
		serveBacklog(n, 10*time.Second, 1)
		relays := n.nodes["south-agent-0"].store.Snapshot().Relays("south-d1", "south")
		n.mu.Lock()
		defer n.mu.Unlock()
		best := n.bytes[[2]string{relays[0].ID, "south-agent-0"}]
		standby := n.bytes[[2]string{relays[1].ID, "south-agent-0"}]
		require.Greater(t, best, 2*standby, "the second relay sends heartbeats alone")
	})
}

// TestRegionWithoutARouterIsServedByAnother marks the routers of a region as
// leaving: its agents still get tables, confirm them, and pass their sums on.
func TestRegionWithoutARouterIsServedByAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := threeRegions(t)
		time.Sleep(10 * time.Second)
		n.setState("south-router-0", target.StateLeaving)
		n.setState("south-router-1", target.StateLeaving)
		time.Sleep(10 * time.Second)
		version := n.commit("second")
		left := n.without("south-router-0", "south-router-1")
		eventually(t, inForceBound, "second table in force", inForce(left, version))
		eventually(t, inForceBound, "agents of the region have confirmed", func() bool {
			return !slices.ContainsFunc(pendingIDs(n, version), func(id string) bool {
				return strings.HasPrefix(id, "south-agent-")
			})
		})
		before := service(left["north-agent-0"], "south-d1", 7)
		n.nodes["south-agent-0"].setSums("letter-writer", wire.Sum{Workspace: 7, Service: 1000})
		eventually(t, 2*sumsAge, "sums of the region", func() bool {
			return service(left["north-agent-0"], "south-d1", 7) == before+1000
		})
	})
}
