package fleet

import (
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/mastichollow/mastichollow/internal/fixedseed"
	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/standin"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// requireMonotonicVersions fails the test when the table version of a node
// decreases. It does not cover nodes that are started later.
func requireMonotonicVersions(n *network) {
	for id, node := range n.nodesExcept() {
		changes := node.store.Watch()
		go func() {
			last := node.tableVersion()
			for {
				select {
				case <-node.done:
					return
				case <-changes:
				}
				now := node.tableVersion()
				if now < last {
					n.t.Errorf("%s reverted from version %d to %d", id, last, now)
				}
				last = now
			}
		}()
	}
}

// nodeIDsInRegion returns the IDs of the running nodes of a region.
func nodeIDsInRegion(n *network, region string) []string {
	var ids []string
	for id := range n.nodesExcept() {
		if regionOf(id) == region {
			ids = append(ids, id)
		}
	}
	return ids
}

// unconfirmedIDs returns the sorted IDs of the nodes that have not confirmed
// version in the table service.
func unconfirmedIDs(n *network, version uint64) []string {
	confirmed := make(map[string]uint64)
	items, err := n.table.List(n.ctx, platform.PrefixStatus)
	require.NoError(n.t, err)
	for _, item := range items {
		status, err := DecodeStatus(item.Value)
		require.NoError(n.t, err)
		for id, c := range status.Members {
			confirmed[id] = c.Version
		}
	}
	var unconfirmed []string
	for id := range n.nodesExcept() {
		if confirmed[id] < version {
			unconfirmed = append(unconfirmed, id)
		}
	}
	slices.Sort(unconfirmed)
	return unconfirmed
}

// TestPartitionedRegionKeepsTableAndCatchesUp separates a region from the
// others and from the platform. It must keep its table, count as unconfirmed,
// and get the new table after the partition heals.
func TestPartitionedRegionKeepsTableAndCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startThreeRegions(t)
		first := n.nodes["west-agent-0"].tableVersion()
		requireMonotonicVersions(n)
		west := nodeIDsInRegion(n, "west")
		n.setPartition(func(from, to string) bool { return (regionOf(from) == "west") != (regionOf(to) == "west") })
		n.setPlatformDown(true, west...)
		time.Sleep(time.Minute)
		second := n.commit("second")
		eventually(t, maxTableDelay, "second table in force outside the partition", allAtVersion(n.nodesExcept(west...), second))
		time.Sleep(10 * time.Minute)
		for _, id := range west {
			require.Equal(t, first, n.nodes[id].tableVersion(), "%s keeps its table", id)
			require.NotEmpty(t, n.nodes[id].store.Snapshot().Agents("letter-writer"), id)
		}
		slices.Sort(west)
		require.Equal(t, west, unconfirmedIDs(n, second), "exactly the partitioned region is unconfirmed")

		n.setPartition(func(string, string) bool { return false })
		n.setPlatformDown(false, west...)
		eventually(t, maxTableDelay, "second table in force everywhere", allAtVersion(n.nodesExcept(), second))
		eventually(t, maxTableDelay, "all nodes have confirmed", func() bool { return len(unconfirmedIDs(n, second)) == 0 })
	})
}

func TestIsolatedRelaysGetTableFromMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startThreeRegions(t)
		requireMonotonicVersions(n)
		// Both relays of the north reach neither the platform nor other
		// regions; the agents of the north still reach the platform.
		relays := n.nodes["north-agent-0"].store.Snapshot().Relays("north-d1", "north")
		n.setPlatformDown(true, relays[0].ID, relays[1].ID)
		n.setPartition(func(from, to string) bool { return regionOf(from) != regionOf(to) })
		time.Sleep(10 * time.Second)
		second := n.commit("second")
		eventually(t, 10*time.Second, "second table in force", allAtVersion(n.nodesExcept(), second))
	})
}

// TestRejoiningRelayDoesNotRevertTable guards against a relay that missed a
// change during a partition and then sends its old table to members, one of
// which has restarted without a table.
func TestRejoiningRelayDoesNotRevertTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startThreeRegions(t)
		requireMonotonicVersions(n)
		first := n.nodes["north-agent-0"].tableVersion()
		firstTable := n.nodes["north-agent-0"].store.Snapshot().Table
		isolated := firstRelayID(n, "north")
		n.setPlatformDown(true, isolated)
		n.setPartition(func(from, to string) bool { return from == isolated || to == isolated })
		time.Sleep(time.Minute)
		second := n.commit("second")
		eventually(t, maxTableDelay, "second table in force at the other nodes", allAtVersion(n.nodesExcept(isolated), second))
		require.Equal(t, first, n.nodes[isolated].tableVersion())
		vm := n.nodes["north-agent-1"].cfg.Self
		n.kill(vm.ID)
		n.setPartition(func(string, string) bool { return false }) // the platform remains unreachable for the relay
		n.start(vm, 200)
		eventually(t, 2*maxTableDelay, "second table in force everywhere", allAtVersion(n.nodesExcept(), second))
		for l := range relayLinks(n.nodes["north-agent-0"]) { // a delayed message with the first table
			require.NoError(t, n.nodes["north-agent-0"].handleMessage(l, &wire.Config{Table: firstTable}))
		}
		time.Sleep(time.Second)
		require.Equal(t, second, n.nodes["north-agent-0"].tableVersion())
	})
}

func TestRegionsWithoutPlatformGetConfigFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startThreeRegions(t)
		n.setPlatformDown(true, nodeIDsInRegion(n, "south")...)
		n.setPlatformDown(true, nodeIDsInRegion(n, "west")...)
		time.Sleep(time.Minute)
		second := n.commit("second")
		took := eventually(t, maxTableDelay, "second table in force", allAtVersion(n.nodesExcept(), second))
		t.Logf("in force after %s", took)
		const id = "west-agent-0"
		n.setState(id, target.StateLeaving)
		eventually(t, maxLeavingDelay, "agent is leaving in every region", allSeeLeaving(n.nodesExcept(), id))
	})
}

// TestTableServiceOutageAfterCommit commits a table that no node has read when
// the table service fails.
func TestTableServiceOutageAfterCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startThreeRegions(t)
		requireMonotonicVersions(n)
		first := n.nodes["west-agent-0"].tableVersion()
		second := n.commit("second")
		n.table.SetFault(func(string, string) standin.Fault { return standin.FaultDown })
		time.Sleep(10 * time.Minute)
		for id, node := range n.nodesExcept() {
			require.Equal(t, first, node.tableVersion(), id)
			require.NotNil(t, node.store.Snapshot().Table, "%s keeps its table", id)
		}
		n.table.SetFault(nil)
		took := eventually(t, maxTableDelay, "second table in force", allAtVersion(n.nodesExcept(), second))
		t.Logf("in force %s after the outage", took)
		eventually(t, maxTableDelay, "all nodes have confirmed", func() bool { return len(unconfirmedIDs(n, second)) == 0 })
	})
}

func TestRestartDuringOutageGetsTableFromRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startThreeRegions(t)
		first := n.nodes["west-agent-0"].tableVersion()
		n.table.SetFault(func(string, string) standin.Fault { return standin.FaultDown })
		time.Sleep(time.Minute)
		vm := n.nodes["west-agent-0"].cfg.Self
		n.kill(vm.ID)
		n.start(vm, 100)
		eventually(t, maxTableDelay, "table from a relay", allAtVersion(n.nodesExcept(), first))
	})
}

// TestRestartWithoutPlatformBootstrapsFromSeeds restarts a process while
// neither the table service nor the VM list is reachable.
func TestRestartWithoutPlatformBootstrapsFromSeeds(t *testing.T) {
	for name, id := range map[string]string{"agent": "west-agent-0", "router": "west-router-0", "other router": "west-router-1"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := startThreeRegions(t)
				n.seeds = []string{"nobody", "west-router-0", "west-router-1"}
				first := n.nodes[id].tableVersion()
				listed := len(n.vms)
				n.setPlatformDown(true, slices.Collect(maps.Keys(n.nodesExcept()))...)
				time.Sleep(time.Minute)
				vm := n.nodes[id].cfg.Self
				n.kill(vm.ID)
				n.start(vm, 100)
				eventually(t, 10*time.Second, "table and VM list from other nodes", func() bool {
					return n.nodes[id].tableVersion() == first && len(n.nodes[id].store.Snapshot().VMs) == listed
				})
				time.Sleep(time.Minute)
				require.Len(t, relayLinks(n.nodes["west-agent-1"]), relaysPerDomain)
			})
		})
	}
}

// TestLeavingVMStaysLeavingAfterReappearing guards against a stale VM list that
// revives a leaving VM after it was missing from the list.
func TestLeavingVMStaysLeavingAfterReappearing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startThreeRegions(t)
		const id = "south-agent-0"
		n.setState(id, target.StateLeaving)
		time.Sleep(maxLeavingDelay)
		listed := slices.Clone(n.vms)
		n.setVMs(slices.DeleteFunc(slices.Clone(listed), func(vm target.VM) bool { return vm.ID == id }))
		time.Sleep(time.Minute)
		n.setVMs(listed)
		n.setState(id, target.StateLive) // the VM list is out of date
		time.Sleep(time.Minute)
		for name, node := range n.nodesExcept() {
			for _, vm := range node.store.Snapshot().Agents("letter-writer") {
				require.NotEqual(t, id, vm.ID, "%s considers the VM live again", name)
			}
		}
	})
}

// TestVMListConvergesByDeltas guards against nodes with different VM lists and
// against sending the full list for each change.
func TestVMListConvergesByDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startThreeRegions(t)
		time.Sleep(time.Minute)
		n.resetByteCounts()
		listed := slices.Clone(n.vms)
		added := testVM(target.RoleAgent, "south", 9)
		n.setVMs(append(slices.Delete(listed, 5, 6), added))
		time.Sleep(maxLeavingDelay)
		for id, node := range n.nodesExcept() {
			vms := node.store.Snapshot().VMs
			require.Len(t, vms, len(n.vms), id)
			require.Contains(t, vms, added.ID, id)
			require.NotContains(t, vms, "south-router-1", id)
		}
		relays := n.nodes["west-agent-0"].store.Snapshot().Relays("west-d1", "west")
		frame, err := wire.Append(nil, &wire.Config{VMs: n.vms})
		require.NoError(t, err)
		n.mu.Lock()
		defer n.mu.Unlock()
		require.Less(t, n.sentBytes[[2]string{relays[0].ID, "west-agent-0"}], len(frame), "the full list was sent")
	})
}

func TestTableReadOnlyOnVersionChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startThreeRegions(t)
		var tables atomic.Int64
		n.table.SetFault(func(op, key string) standin.Fault {
			if op == "get" && key == platform.KeyTable {
				tables.Add(1)
			}
			return standin.FaultNone
		})
		time.Sleep(time.Minute)
		require.Zero(t, tables.Load())
		version := n.commit("second")
		eventually(t, maxTableDelay, "second table in force", allAtVersion(n.nodesExcept(), version))
		require.LessOrEqual(t, tables.Load(), int64(1+3*relaysPerDomain), "one read by the commit of the test and one by each relay")

		item, err := n.table.Get(n.ctx, platform.KeyTableVersion)
		require.NoError(t, err)
		_, err = n.table.Commit(n.ctx, platform.Write{Key: platform.KeyTableVersion, If: item.Version, Delete: true})
		require.NoError(t, err)
		tables.Store(0)
		time.Sleep(10 * time.Second)
		require.Positive(t, tables.Load(), "a table without its version item must be read")
	})
}

// TestStatusWrittenOnlyOnChange loses the response of every third commit, so
// that nodes do not know whether their write took effect.
func TestStatusWrittenOnlyOnChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startThreeRegions(t)
		var commits atomic.Int64
		n.table.SetFault(func(op, _ string) standin.Fault {
			if op == "commit" && commits.Add(1)%3 == 0 {
				return standin.FaultResponseLost
			}
			return standin.FaultNone
		})
		second := n.commit("second")
		eventually(t, 2*maxTableDelay, "all nodes have confirmed", func() bool { return len(unconfirmedIDs(n, second)) == 0 })
		time.Sleep(10 * time.Second)
		before := commits.Load()
		time.Sleep(10 * time.Minute)
		require.Equal(t, before, commits.Load())
	})
}

// TestStoreIsMonotonic applies tables and VM lists in random order: the table
// version must never decrease and a leaving VM must stay leaving.
func TestStoreIsMonotonic(t *testing.T) {
	states := []target.State{target.StateJoining, target.StateLive, target.StateLeaving}
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore()
		version := uint64(0)
		read := time.Time{}
		everLeaving := make(map[string]bool)
		t.Repeat(map[string]func(*rapid.T){
			"table": func(t *rapid.T) {
				v := rapid.Uint64Range(1, 20).Draw(t, "version")
				require.Equal(t, v > version, s.ApplyTable(&workspace.Table{Version: v}))
				version = max(version, v)
			},
			"vms": func(t *rapid.T) {
				at := time.Unix(rapid.Int64Range(1, 20).Draw(t, "read"), 0)
				var list []target.VM
				for _, id := range []string{"a", "b"} {
					if rapid.Bool().Draw(t, "listed") {
						list = append(list, target.VM{ID: id, State: rapid.SampledFrom(states).Draw(t, "state")})
					}
				}
				for _, vm := range list {
					everLeaving[vm.ID] = everLeaving[vm.ID] || vm.State == target.StateLeaving
				}
				require.Equal(t, at.After(read), s.ApplyVMsAt(list, at))
				if at.After(read) {
					read = at
				}
			},
			"": func(t *rapid.T) {
				snapshot := s.Snapshot()
				if snapshot.Table != nil {
					require.Equal(t, version, snapshot.Table.Version)
				}
				for id, vm := range snapshot.VMs {
					require.True(t, !everLeaving[id] || vm.State == target.StateLeaving, "%s is no longer leaving", id)
				}
			},
		})
	})
}
