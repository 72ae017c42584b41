package fleet

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Bounds on control traffic, from the project's targets.
const (
	maxRegionPairRate = 256    // bytes/s between two regions, both directions
	maxProcessRate    = 10_000 // bytes/s sent and received by one process
	maxTableReadRate  = 2_000  // reads/s of the table service by all processes
)

// Parameters of the steady backlog.
const (
	backloggedWorkspaces = 15
	unitsPerSecond       = 700 // service units per workspace and agent
	trafficDuration      = 60 * time.Second
	serveStep            = 100 * time.Millisecond
)

// simulateBacklog lets every agent of n report growing totals of all workspaces
// for d.
func simulateBacklog(n *network, d time.Duration, workspaces int) {
	totals := make([]wire.Total, workspaces)
	for step := range int(d / serveStep) {
		for i := range totals {
			totals[i].Workspace = workspace.RowID(i + 1)
			totals[i].Service += unitsPerSecond * uint64(serveStep) / uint64(time.Second)
			totals[i].Started += uint64((step + i) % 10 / 9)
			totals[i].Running = uint32((step + i) % 3)
			totals[i].Queued = uint32(200 + step%5)
		}
		for id, node := range n.nodesExcept() {
			if strings.Contains(id, "agent") {
				node.setTotals(node.cfg.Self.Pool, append([]wire.Total(nil), totals...)...)
			}
		}
		time.Sleep(serveStep)
	}
}

// resetByteCounts resets the counts of sent bytes.
func (n *network) resetByteCounts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.sentBytes)
}

// byteRates returns the rates in bytes/s between each pair of regions and of
// each process, sent and received, over the last d.
func (n *network) byteRates(d time.Duration) (pairs, processes map[string]float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	pairs, processes = make(map[string]float64), make(map[string]float64)
	for ends, bytes := range n.sentBytes {
		rate := float64(bytes) / d.Seconds()
		a, b := regionOf(ends[0]), regionOf(ends[1])
		if a != b {
			pairs[min(a, b)+" "+max(a, b)] += rate
		}
		processes[ends[0]] += rate
		processes[ends[1]] += rate
	}
	return pairs, processes
}

func regionOf(id string) string { return strings.SplitN(id, "-", 2)[0] }

// startFleet starts three regions with the given numbers of routers and agents
// in each.
func startFleet(t *testing.T, routers, agents int) *network {
	n := newNetwork(t)
	for _, region := range []string{"north", "south", "west"} {
		n.addRegion(region, routers, agents)
	}
	n.commit("first")
	n.startAll()
	time.Sleep(10 * time.Second)
	return n
}

func TestTrafficUnderSteadyBacklog(t *testing.T) {
	for _, size := range []struct {
		name            string
		routers, agents int // per region
	}{
		{"muistopurkki", 3, 8},
		{"lens works", 3, 5},
	} {
		t.Run(size.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t)
				for _, region := range []string{"north", "south", "west"} {
					n.addRegion(region, size.routers, size.agents)
					n.vms[len(n.vms)-1].Pool = "shop-api" // a second busy pool
				}
				n.commit("first")
				n.startAll()
				time.Sleep(10 * time.Second)
				simulateBacklog(n, 5*time.Second, backloggedWorkspaces)
				n.resetByteCounts()
				reads, _ := n.table.Calls()
				simulateBacklog(n, trafficDuration, backloggedWorkspaces)
				pairs, processes := n.byteRates(trafficDuration)
				after, _ := n.table.Calls()
				require.Len(t, pairs, 3)
				for pair, rate := range pairs {
					t.Logf("regions %s: %.0f B/s", pair, rate)
					require.LessOrEqual(t, rate, float64(maxRegionPairRate), pair)
				}
				busiest := 0.0
				for id, rate := range processes {
					busiest = max(busiest, rate)
					require.LessOrEqual(t, rate, float64(maxProcessRate), id)
				}
				t.Logf("busiest process: %.0f B/s", busiest)
				readRate := float64(after-reads) / trafficDuration.Seconds()
				t.Logf("reads of the table service: %.1f/s", readRate)
				require.LessOrEqual(t, readRate, float64(maxTableReadRate))
			})
		})
	}
}

func TestIdleFleetSendsOnlyHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := startFleet(t, 3, 8)
		time.Sleep(time.Minute)
		n.resetByteCounts()
		_, writes := n.table.Calls()
		time.Sleep(trafficDuration)
		pairs, processes := n.byteRates(trafficDuration)
		for pair, rate := range pairs {
			t.Logf("regions %s: %.0f B/s", pair, rate)
			require.LessOrEqual(t, rate, 2*pingBytes(t), pair)
		}
		for id, rate := range processes {
			require.LessOrEqual(t, rate, float64(maxProcessRate), id)
		}
		_, after := n.table.Calls()
		require.Equal(t, writes, after, "an idle fleet must not write confirmed versions")
	})
}

// pingBytes returns the size of a ping and its pong.
func pingBytes(t *testing.T) float64 {
	size := 0
	for _, m := range []wire.Message{&wire.Ping{Number: 1000}, &wire.Pong{Number: 1000}} {
		frame, err := wire.Append(nil, m)
		require.NoError(t, err)
		size += len(frame)
	}
	return float64(size)
}

// TestTableReadRateAtFullSize bounds the reads of the table service by the
// relays of 34 failure domains and by processes without a relay.
func TestTableReadRateAtFullSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const domains = 34
		n := newNetwork(t)
		for i := range domains {
			n.addRegion(string(rune('A'+i)), 3, 1)
		}
		n.commit("first")
		for i, vm := range n.vms {
			n.start(vm, uint64(i+1)).cfg.Suspect = nil
		}
		time.Sleep(5 * time.Second)
		reads, _ := n.table.Calls()
		time.Sleep(10 * time.Second)
		after, _ := n.table.Calls()
		rate := float64(after-reads) / 10
		t.Logf("%d domains, %d processes: %.1f reads/s", domains, len(n.vms), rate)
		require.LessOrEqual(t, rate, float64(maxTableReadRate))
	})
}
