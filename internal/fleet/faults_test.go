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

// firstRelayID returns the ID of the first relay, in rendezvous order, of a
// region's failure domain.
func firstRelayID(n *network, region string) string {
	for _, node := range n.nodesExcept() {
		return node.store.Snapshot().Relays(region+"-d1", region)[0].ID
	}
	return ""
}

func TestMembersFailOverWhenRelayKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startThreeRegions(t)
		time.Sleep(time.Minute)
		n.kill(firstRelayID(n, "north"))
		version := n.commit("second")
		eventually(t, maxTableDelay, "second table in force", allAtVersion(n.nodesExcept(), version))
	})
}

// TestMembersFailOverWhenBothRelaysFreeze lets both relays stop responding
// without closing their links; the third router must take over.
func TestMembersFailOverWhenBothRelaysFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t)
		n.addRegion("north", 3, 2)
		version := n.commit("first")
		n.startAll()
		eventually(t, maxTableDelay, "first table in force", allAtVersion(n.nodesExcept(), version))
		time.Sleep(time.Minute)
		relays := n.nodes["north-agent-0"].store.Snapshot().Relays("north-d1", "north")
		frozen := map[string]bool{relays[0].ID: true, relays[1].ID: true}
		n.setPartition(func(from, to string) bool { return frozen[from] || frozen[to] })
		n.setPlatformDown(true, relays[0].ID, relays[1].ID)
		time.Sleep(5 * time.Second) // the idle timeout expires and the last router becomes the relay
		version = n.commit("second")
		rest := n.nodesExcept(relays[0].ID, relays[1].ID)
		eventually(t, maxTableDelay, "second table in force", allAtVersion(rest, version))
	})
}

func TestLeavingVMPropagatesWithFrozenRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startThreeRegions(t)
		time.Sleep(time.Minute)
		frozen := make(map[string]bool)
		for _, region := range []string{"north", "south", "west"} {
			frozen[firstRelayID(n, region)] = true
		}
		n.setPartition(func(from, to string) bool { return frozen[from] || frozen[to] })
		rest := n.nodesExcept(slices.Collect(maps.Keys(frozen))...)
		require.Len(t, rest, 9)
		const id = "south-agent-0"
		n.setState(id, target.StateLeaving)
		eventually(t, maxLeavingDelay, "leaving at every reachable process", allSeeLeaving(rest, id))
	})
}

// allSeeLeaving returns a condition that holds when each of nodes considers a
// VM leaving.
func allSeeLeaving(nodes map[string]*testNode, id string) func() bool {
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

func TestLeavingVMReachesAgentWithoutPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startThreeRegions(t)
		const id = "west-agent-1"
		n.setPlatformDown(true, id)
		time.Sleep(time.Minute)
		n.setState(id, target.StateLeaving)
		eventually(t, maxLeavingDelay, "agent sees that it is leaving", func() bool {
			s := n.nodes[id].store.Snapshot()
			return s.State(s.VMs[id]) == target.StateLeaving
		})
	})
}

func TestRestartedNodeGetsNewestTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startThreeRegions(t)
		const id = "west-agent-1"
		vm := n.nodes[id].cfg.Self
		n.kill(id)
		version := n.commit("second")
		n.start(vm, 100)
		require.Zero(t, n.nodes[id].tableVersion())
		eventually(t, maxTableDelay, "second table in force", allAtVersion(n.nodesExcept(), version))
	})
}

func TestTotalsPropagateWithoutFirstRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startFleet(t, 3, 2)
		unreachable := firstRelayID(n, "south")
		n.setPartition(func(from, to string) bool { return from == unreachable || to == unreachable })
		time.Sleep(10 * time.Second)
		links := relayLinks(n.nodes["south-agent-0"])
		require.Len(t, links, relaysPerDomain, "another relay has replaced the first")
		before := mergedService(n.nodes["north-agent-0"], "south-d1", 1)
		const seconds = 30
		simulateBacklog(n, seconds*time.Second, 1)
		time.Sleep(4 * time.Second)
		agents := uint64(2)
		require.Equal(t, before+agents*seconds*unitsPerSecond, mergedService(n.nodes["north-agent-0"], "south-d1", 1))
		require.Equal(t, links, relayLinks(n.nodes["south-agent-0"]), "the replacement links stay up")
	})
}

// TestTotalsExactAcrossRelayFlaps disconnects and reconnects the first relay of
// the reading agent while totals grow: no growth may be lost or counted twice.
func TestTotalsExactAcrossRelayFlaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startFleet(t, 3, 2)
		const reader = "north-agent-0"
		simulateBacklog(n, 10*time.Second, 1)
		time.Sleep(4 * time.Second)
		before := mergedService(n.nodes[reader], "south-d1", 1)
		relay := firstRelayID(n, "north")
		const seconds = 20
		total := uint64(10)
		for _, disconnected := range []bool{true, false, true} {
			n.setPartition(func(from, to string) bool { return disconnected && (from == relay || to == relay) })
			for range seconds {
				total++
				sum := wire.Total{Workspace: 1, Service: total * unitsPerSecond}
				n.nodes["south-agent-0"].setTotals("letter-writer", sum)
				n.nodes["south-agent-1"].setTotals("letter-writer", sum)
				time.Sleep(time.Second)
			}
		}
		time.Sleep(4 * time.Second)
		require.Equal(t, before+2*(total-10)*unitsPerSecond, mergedService(n.nodes[reader], "south-d1", 1))
	})
}

// relayLinks returns the established links of node to its relays, with the IDs
// of the relays.
func relayLinks(node *testNode) map[*link]string {
	node.Node.mu.Lock()
	defer node.Node.mu.Unlock()
	links := make(map[*link]string)
	for l := range node.links {
		if l.kind == linkToRelay && l.incarnation != 0 {
			links[l] = l.peer.ID
		}
	}
	return links
}

// TestMemberGetsDigestsFromOneRelay guards against a member that is sent each
// digest by both of its relays.
func TestMemberGetsDigestsFromOneRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startFleet(t, 2, 2)
		simulateBacklog(n, 5*time.Second, 1)
		n.resetByteCounts()
		simulateBacklog(n, 10*time.Second, 1)
		relays := n.nodes["south-agent-0"].store.Snapshot().Relays("south-d1", "south")
		n.mu.Lock()
		defer n.mu.Unlock()
		fromFirst := n.sentBytes[[2]string{relays[0].ID, "south-agent-0"}]
		fromStandby := n.sentBytes[[2]string{relays[1].ID, "south-agent-0"}]
		require.Greater(t, fromFirst, 2*fromStandby, "the second relay sends only heartbeats")
	})
}

// TestRegionWithoutRouterUsesRemoteRelay marks the routers of a region as
// leaving: its agents must still get tables, confirm them, and have their
// totals passed on, through a relay of another region.
func TestRegionWithoutRouterUsesRemoteRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startThreeRegions(t)
		time.Sleep(10 * time.Second)
		n.setState("south-router-0", target.StateLeaving)
		n.setState("south-router-1", target.StateLeaving)
		time.Sleep(10 * time.Second)
		version := n.commit("second")
		remaining := n.nodesExcept("south-router-0", "south-router-1")
		eventually(t, maxTableDelay, "second table in force", allAtVersion(remaining, version))
		eventually(t, maxTableDelay, "agents of the region have confirmed", func() bool {
			return !slices.ContainsFunc(unconfirmedIDs(n, version), func(id string) bool {
				return strings.HasPrefix(id, "south-agent-")
			})
		})
		before := mergedService(remaining["north-agent-0"], "south-d1", 7)
		n.nodes["south-agent-0"].setTotals("letter-writer", wire.Total{Workspace: 7, Service: 1000})
		eventually(t, 2*maxTotalsAge, "totals of the region", func() bool {
			return mergedService(remaining["north-agent-0"], "south-d1", 7) == before+1000
		})
	})
}
