package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/target"
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
