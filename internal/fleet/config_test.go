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

// watchVersions fails the test when a node's version goes back. Nodes that are
// started later are not watched.
func watchVersions(n *network) {
	for id, node := range n.without() {
		changes := node.store.Watch()
		go func() {
			last := node.version()
			for {
				select {
				case <-node.done:
					return
				case <-changes:
				}
				now := node.version()
				if now < last {
					n.t.Errorf("%s went back from version %d to %d", id, last, now)
				}
				last = now
			}
		}()
	}
}

// idsOf returns the IDs of the nodes of a region.
func idsOf(n *network, region string) []string {
	var ids []string
	for id := range n.without() {
		if regionOf(id) == region {
			ids = append(ids, id)
		}
	}
	return ids
}

// pendingIDs returns the nodes that have not confirmed version in the table
// service.
func pendingIDs(n *network, version uint64) []string {
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
	var pending []string
	for id := range n.without() {
		if confirmed[id] < version {
			pending = append(pending, id)
		}
	}
	slices.Sort(pending)
	return pending
}

func TestCutOffRegionServesOnAndReturnsWithoutReverting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := threeRegions(t)
		first := n.nodes["west-agent-0"].version()
		watchVersions(n)
		west := idsOf(n, "west")
		n.setCut(func(from, to string) bool { return (regionOf(from) == "west") != (regionOf(to) == "west") })
		n.setApart(true, west...)
		time.Sleep(time.Minute)
		second := n.commit("second")
		eventually(t, inForceBound, "second table in force in the rest", inForce(n.without(west...), second))
		time.Sleep(10 * time.Minute)
		for _, id := range west {
			require.Equal(t, first, n.nodes[id].version(), "%s keeps the table that it had", id)
			require.NotEmpty(t, n.nodes[id].store.Snapshot().Agents("letter-writer"), id)
		}
		slices.Sort(west)
		require.Equal(t, west, pendingIDs(n, second), "the region that is cut off is pending")

		n.setCut(func(string, string) bool { return false })
		n.setApart(false, west...)
		eventually(t, inForceBound, "second table in force everywhere", inForce(n.without(), second))
		eventually(t, inForceBound, "nothing is pending", func() bool { return len(pendingIDs(n, second)) == 0 })
	})
}

func TestRelaysThatCannotReadGetTheTableFromMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := threeRegions(t)
		watchVersions(n)
		// Both relays of the north are cut off from everything but the north;
		// the agents reach the platform.
		relays := n.nodes["north-agent-0"].store.Snapshot().Relays("north-d1", "north")
		n.setApart(true, relays[0].ID, relays[1].ID)
		n.setCut(func(from, to string) bool { return regionOf(from) != regionOf(to) })
		time.Sleep(10 * time.Second)
		second := n.commit("second")
		eventually(t, 10*time.Second, "second table in force", inForce(n.without(), second))
	})
}

func TestRelayThatReturnsWithAnOldTableRevertsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := threeRegions(t)
		watchVersions(n)
		first := n.nodes["north-agent-0"].version()
		held := n.nodes["north-agent-0"].store.Snapshot().Table
		old := firstRelay(n, "north")
		n.setApart(true, old)
		n.setCut(func(from, to string) bool { return from == old || to == old })
		time.Sleep(time.Minute)
		second := n.commit("second")
		eventually(t, inForceBound, "second table in the rest", inForce(n.without(old), second))
		require.Equal(t, first, n.nodes[old].version())
		vm := n.nodes["north-agent-1"].cfg.Self
		n.kill(vm.ID)
		n.setCut(func(string, string) bool { return false }) // the platform stays out of its reach
		n.start(vm, 200)
		eventually(t, 2*inForceBound, "second table everywhere", inForce(n.without(), second))
		for l := range linksOf(n.nodes["north-agent-0"]) { // a message that was held up
			require.NoError(t, n.nodes["north-agent-0"].handle(l, &wire.Config{Table: held}))
		}
		time.Sleep(time.Second)
		require.Equal(t, second, n.nodes["north-agent-0"].version())
	})
}

func TestRegionsCutOffFromPlatformAskOtherRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := threeRegions(t)
		n.setApart(true, idsOf(n, "south")...)
		n.setApart(true, idsOf(n, "west")...)
		time.Sleep(time.Minute)
		second := n.commit("second")
		took := eventually(t, inForceBound, "second table in force", inForce(n.without(), second))
		t.Logf("in force after %s", took)
		const id = "west-agent-0"
		n.setState(id, target.StateLeaving)
		eventually(t, leavingBound, "every region knows that the agent leaves", leaving(n.without(), id))
	})
}

func TestStoreOutageJustAfterApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := threeRegions(t)
		watchVersions(n)
		first := n.nodes["west-agent-0"].version()
		second := n.commit("second")
		n.table.SetFault(func(string, string) standin.Fault { return standin.FaultDown })
		time.Sleep(10 * time.Minute)
		for id, node := range n.without() {
			require.Equal(t, first, node.version(), id)
			require.NotNil(t, node.store.Snapshot().Table, "%s serves on", id)
		}
		n.table.SetFault(nil)
		took := eventually(t, inForceBound, "second table in force", inForce(n.without(), second))
		t.Logf("in force %s after the outage", took)
		eventually(t, inForceBound, "nothing is pending", func() bool { return len(pendingIDs(n, second)) == 0 })
	})
}

func TestRestartDuringOutageGetsTableFromRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := threeRegions(t)
		first := n.nodes["west-agent-0"].version()
		n.table.SetFault(func(string, string) standin.Fault { return standin.FaultDown })
		time.Sleep(time.Minute)
		vm := n.nodes["west-agent-0"].cfg.Self
		n.kill(vm.ID)
		n.start(vm, 100)
		eventually(t, inForceBound, "table from a relay", inForce(n.without(), first))
	})
}

func TestRestartWhileNothingOfThePlatformAnswers(t *testing.T) {
	for name, id := range map[string]string{"agent": "west-agent-0", "router": "west-router-0", "other router": "west-router-1"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := threeRegions(t)
				n.seeds = []string{"nobody", "west-router-0", "west-router-1"}
				first := n.nodes[id].version()
				listed := len(n.vms)
				n.setApart(true, slices.Collect(maps.Keys(n.without()))...)
				time.Sleep(time.Minute)
				vm := n.nodes[id].cfg.Self
				n.kill(vm.ID)
				n.start(vm, 100)
				eventually(t, 10*time.Second, "table and VM list from others", func() bool {
					return n.nodes[id].version() == first && len(n.nodes[id].store.Snapshot().VMs) == listed
				})
				time.Sleep(time.Minute)
				require.Len(t, linksOf(n.nodes["west-agent-1"]), relaysPerDomain)
			})
		})
	}
}

func TestLeavingVMThatReappearsLiveStaysLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := threeRegions(t)
		const id = "south-agent-0"
		n.setState(id, target.StateLeaving)
		time.Sleep(leavingBound)
		listed := slices.Clone(n.vms)
		n.setVMs(slices.DeleteFunc(slices.Clone(listed), func(vm target.VM) bool { return vm.ID == id }))
		time.Sleep(time.Minute)
		n.setVMs(listed)
		n.setState(id, target.StateLive) // the list lags
		time.Sleep(time.Minute)
		for name, node := range n.without() {
			for _, vm := range node.store.Snapshot().Agents("letter-writer") {
				require.NotEqual(t, id, vm.ID, "%s takes the VM as live again", name)
			}
		}
	})
}

func TestVMListIsTheSameEverywhereAndOnlyChangesAreSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := threeRegions(t)
		time.Sleep(time.Minute)
		n.resetBytes()
		listed := slices.Clone(n.vms)
		added := testVM(target.RoleAgent, "south", 9)
		n.setVMs(append(slices.Delete(listed, 5, 6), added))
		time.Sleep(leavingBound)
		for id, node := range n.without() {
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
		require.Less(t, n.bytes[[2]string{relays[0].ID, "west-agent-0"}], len(frame), "the whole list was sent")
	})
}

func TestTableIsReadOnlyWhenItsVersionChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := threeRegions(t)
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
		eventually(t, inForceBound, "second table in force", inForce(n.without(), version))
		require.LessOrEqual(t, tables.Load(), int64(1+3*relaysPerDomain), "the commit of the test and each relay")

		item, err := n.table.Get(n.ctx, platform.KeyTableVersion)
		require.NoError(t, err)
		_, err = n.table.Commit(n.ctx, platform.Write{Key: platform.KeyTableVersion, If: item.Version, Delete: true})
		require.NoError(t, err)
		tables.Store(0)
		time.Sleep(10 * time.Second)
		require.Positive(t, tables.Load(), "a table without its version item is read")
	})
}

func TestStatusIsWrittenOnlyWhenItChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := threeRegions(t)
		var commits atomic.Int64
		n.table.SetFault(func(op, _ string) standin.Fault {
			if op == "commit" && commits.Add(1)%3 == 0 {
				return standin.FaultAnswerLost
			}
			return standin.FaultNone
		})
		second := n.commit("second")
		eventually(t, 2*inForceBound, "nothing is pending", func() bool { return len(pendingIDs(n, second)) == 0 })
		time.Sleep(10 * time.Second)
		before := commits.Load()
		time.Sleep(10 * time.Minute)
		require.Equal(t, before, commits.Load())
	})
}

// TestStoreNeverGoesBack applies tables and VM lists in any order.
func TestStoreNeverGoesBack(t *testing.T) {
	states := []target.State{target.StateJoining, target.StateLive, target.StateLeaving}
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore()
		version := uint64(0)
		read := time.Time{}
		left := make(map[string]bool)
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
					left[vm.ID] = left[vm.ID] || vm.State == target.StateLeaving
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
					require.True(t, !left[id] || vm.State == target.StateLeaving, "%s came back", id)
				}
			},
		})
	})
}
