package fleet

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Bounds on the propagation delay, from the project's targets.
const (
	maxTableDelay   = 5 * time.Second
	maxLeavingDelay = 3 * time.Second
	maxTotalsAge    = 2600 * time.Millisecond // T of docs/design/fairness.md
)

// startThreeRegions starts three regions of two routers and two agents each and
// waits until a table is in force.
func startThreeRegions(t *testing.T) *network {
	n := newNetwork(t)
	for _, region := range []string{"north", "south", "west"} {
		n.addRegion(region, 2, 2)
	}
	version := n.commit("first")
	n.startAll()
	eventually(t, maxTableDelay, "first table in force", allAtVersion(n.nodesExcept(), version))
	return n
}

func TestTableChangePropagates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startThreeRegions(t)
		time.Sleep(time.Minute)
		version := n.commit("second")
		took := eventually(t, maxTableDelay, "second table in force", allAtVersion(n.nodesExcept(), version))
		t.Logf("in force everywhere after %s", took)
	})
}

func TestLeavingVMPropagates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startThreeRegions(t)
		time.Sleep(time.Minute)
		const id = "south-agent-0"
		n.setState(id, target.StateLeaving)
		took := eventually(t, maxLeavingDelay, "leaving everywhere", allSeeLeaving(n.nodesExcept(), id))
		t.Logf("known everywhere after %s", took)
	})
}

// TestAgentsReceiveOnlyTheirPool lets an agent report two pools: routers must
// get the totals of both, agents only those of their target's pool.
func TestAgentsReceiveOnlyTheirPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startThreeRegions(t)
		time.Sleep(10 * time.Second)
		for _, pool := range []string{"letter-writer", "shop-api"} {
			n.nodes["south-agent-0"].setTotals(pool, wire.Total{Workspace: 7, Service: 1000})
			time.Sleep(maxTotalsAge)
		}
		for id, node := range n.nodesExcept("south-agent-0") {
			_, other := node.store.Load("south-d1", "shop-api")
			require.Equal(t, strings.Contains(id, "router"), other, id)
			require.NotZero(t, mergedService(node, "south-d1", 7), id)
		}
	})
}

func TestTotalsReachEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startThreeRegions(t)
		time.Sleep(10 * time.Second)
		before := make(map[string]uint64)
		for id, node := range n.nodesExcept() {
			before[id] = mergedService(node, "south-d1", 7)
		}
		n.nodes["south-agent-0"].setTotals("letter-writer", wire.Total{Workspace: 7, Service: 1000, Running: 2})
		n.nodes["south-agent-1"].setTotals("letter-writer", wire.Total{Workspace: 7, Service: 500, Running: 1})
		eventually(t, maxTotalsAge, "totals everywhere", func() bool {
			for id, node := range n.nodesExcept() {
				if mergedService(node, "south-d1", 7) != before[id]+1500 {
					return false
				}
			}
			return true
		})
		time.Sleep(time.Minute)
		for id, node := range n.nodesExcept() {
			require.Equal(t, before[id]+1500, mergedService(node, "south-d1", 7), id)
		}
	})
}

// mergedService returns the merged service of a workspace in a failure domain,
// as stored at node.
func mergedService(node *testNode, domain string, ws workspace.RowID) uint64 {
	node.store.digestMu.Lock()
	defer node.store.digestMu.Unlock()
	if totals := node.store.domains[domain]; totals != nil {
		return totals.merged.rows[rowKey{"letter-writer", ws}].Service
	}
	return 0
}
