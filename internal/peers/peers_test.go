package peers

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/prompt"
	"github.com/mastichollow/mastichollow/internal/quarantine"
	"github.com/mastichollow/mastichollow/internal/target"
)

type gate struct {
	exchange   *Exchange
	controller *admission.Controller
	directory  *target.Directory
	now        time.Duration
}

func newGate(t *testing.T, node string) *gate {
	t.Helper()
	g := &gate{controller: admission.NewController(admission.Config{}), directory: target.NewDirectory(nil)}
	var err error
	g.exchange, err = Listen(Config{
		Node: node, Region: "r", Listen: "127.0.0.1:0", Start: 1, Now: func() time.Duration { return g.now }, Log: hclog.NewNullLogger(),
	}, g.controller, g.directory, prometheus.NewRegistry())
	require.NoError(t, err)
	t.Cleanup(func() { g.exchange.socket.Close() })
	return g
}

func (g *gate) address(node, region string) Address {
	addr := netip.MustParseAddrPort(g.exchange.socket.LocalAddr().String())
	return Address{Node: node, Addr: addr, Region: region}
}

var engine = []target.Instance{{ID: "e", Service: "s", Slots: 10}}

// fillEngine admits requests until the engine is full.
func (g *gate) fillEngine() {
	for n := 0; ; n++ {
		if g.controller.Admit(g.now, request(n), engine).Refused != "" {
			return
		}
	}
}

func request(n int) *admission.Request {
	return &admission.Request{Workspace: "w", Service: "s", Slots: 10, PromptTokens: 10, Hash: uint64(n), Fingerprint: quarantine.Fingerprint(n)}
}

func TestReportCarriesLoad(t *testing.T) {
	a, b := newGate(t, "a"), newGate(t, "b")
	a.exchange.SetPeers([]Address{a.address("a", "r"), b.address("b", "r")})
	a.fillEngine()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.exchange.receive(ctx)
	a.exchange.sendReports()
	require.Eventually(t, func() bool { return b.exchange.AliveCount() == 1 }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return b.controller.Admit(0, request(1), engine).Refused != "" }, 5*time.Second, time.Millisecond)
}

// makePeers returns n peers, every third of them in the local region.
func makePeers(n int) []Address {
	all := make([]Address, n)
	for i := range all {
		region := "r"
		if i%3 > 0 {
			region = "other"
		}
		all[i] = Address{Node: fmt.Sprint("p", i), Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1)), Region: region}
	}
	return all
}

// The traffic of a gate must not grow with the fleet, and the rotation must not skip a
// peer.
func TestReportsBoundedAndReachEveryPeer(t *testing.T) {
	for _, n := range []int{0, 1, 3, 33, 100, 300, 3000} {
		g := newGate(t, "a")
		g.exchange.SetPeers(makePeers(n))
		local, remote := g.exchange.splitByRegion()
		received := make(map[netip.AddrPort]int)
		rounds := max((len(local)+maxLocalPerRound-1)/maxLocalPerRound, (len(remote)+maxRemotePerRound-1)/maxRemotePerRound, remoteRounds)
		for range rounds {
			recipients := g.exchange.nextRecipients()
			require.LessOrEqual(t, len(recipients), maxLocalPerRound+maxRemotePerRound)
			for _, addr := range recipients {
				received[addr]++
			}
		}
		require.Len(t, received, n, "in %d rounds", rounds)
		rotation := time.Duration(rounds) * reportInterval
		require.GreaterOrEqual(t, g.exchange.peerTimeout(), 3*rotation, "%d peers: one or two lost reports must not expire a peer", n)
	}
}

func TestRemoteRegionReportRate(t *testing.T) {
	g := newGate(t, "a")
	g.exchange.SetPeers(makePeers(33))
	local, remote := g.exchange.splitByRegion()
	received := make(map[netip.AddrPort]int)
	for range 10 {
		for _, addr := range g.exchange.nextRecipients() {
			received[addr]++
		}
	}
	for _, addr := range local {
		require.Equal(t, 10, received[addr], "one report per round")
	}
	for _, addr := range remote {
		require.Equal(t, 5, received[addr], "one report every second round")
	}
}

func encodeMessage(t *testing.T, m message) []byte {
	data, err := cbor.Marshal(m)
	require.NoError(t, err)
	return data
}

func TestOutdatedReportsDiscarded(t *testing.T) {
	g := newGate(t, "a")
	full := map[string][3]int{"e": {10, 0, 0}}
	g.exchange.mergeReport(encodeMessage(t, message{Node: "b", Start: 5, Sequence: 8, Loads: full}), netip.AddrPort{})
	for _, old := range []message{
		{Node: "b", Start: 5, Sequence: 7},  // reordered
		{Node: "b", Start: 5, Sequence: 8},  // duplicate
		{Node: "b", Start: 4, Sequence: 99}, // previous incarnation of the sender
		{Node: "a", Start: 9, Sequence: 1},  // the local node
		{},
	} {
		g.exchange.mergeReport(encodeMessage(t, old), netip.AddrPort{})
	}
	g.exchange.mergeReport([]byte("no report"), netip.AddrPort{})
	require.NotEmpty(t, g.controller.Admit(0, request(1), engine).Refused, "the load of the newest report applies")
	require.InDelta(t, 6, testutil.ToFloat64(g.exchange.metrics.faulty), 0)
	g.exchange.mergeReport(encodeMessage(t, message{Node: "b", Start: 6, Sequence: 1}), netip.AddrPort{})
	require.Empty(t, g.controller.Admit(0, request(1), engine).Refused, "a new incarnation reports no load")
}

func TestUnresponsivePeerExpires(t *testing.T) {
	g := newGate(t, "a")
	g.exchange.mergeReport(encodeMessage(t, message{Node: "b", Start: 5, Sequence: 1}), netip.AddrPort{})
	g.now = minPeerTimeout
	g.exchange.sendReports()
	require.Equal(t, 1, g.exchange.AliveCount())
	g.now = minPeerTimeout + time.Millisecond
	g.exchange.sendReports()
	require.Zero(t, g.exchange.AliveCount())
}

func TestNegativeLoadsClampedToZero(t *testing.T) {
	g := newGate(t, "a")
	g.exchange.mergeReport(encodeMessage(t, message{Node: "b", Start: 5, Sequence: 1, Loads: map[string][3]int{"e": {-100, -1, -1}}}), netip.AddrPort{})
	n := 0
	for ; g.controller.Admit(0, request(n), engine).Refused == ""; n++ {
	}
	require.LessOrEqual(t, n, 7)
}

func TestReportCarriesDrainingAndBackoff(t *testing.T) {
	a, b := newGate(t, "a"), newGate(t, "b")
	instances := []target.Instance{{ID: "e", Service: "s", Slots: 10, StartedMillis: 5, Hash: target.HashID("e")}, {ID: "f", Service: "s", Slots: 10, StartedMillis: 6, Hash: target.HashID("f")}}
	for _, g := range []*gate{a, b} {
		g.directory.Replace(instances, 0, false)
	}
	a.directory.MarkDraining("e", 5, 0, true)
	a.controller.BackOff(0, instances[1], time.Second)
	data, err := a.exchange.encodeReport(0)
	require.NoError(t, err)
	b.exchange.mergeReport(data, netip.AddrPort{})
	require.Equal(t, instances[1:], b.directory.Current().Available("s"))
	d := b.controller.Admit(0, request(1), append([]target.Instance{{ID: "g", Service: "s", Slots: 10}}, instances[1]))
	require.Equal(t, "g", d.Target.ID)
	require.Empty(t, b.directory.LocalDrainNotices(0), "a draining state received from a peer is not forwarded")
}

func TestReportCarriesEngineEstimates(t *testing.T) {
	a, b := newGate(t, "a"), newGate(t, "b")
	long := request(0)
	long.PromptTokens, long.Parts = 10_000, []prompt.Part{{Hash: 1, Tokens: 10_000}}
	for n := range 60 {
		now := time.Duration(n) * time.Second
		d := a.controller.Admit(now, long, engine)
		require.Empty(t, d.Refused)
		d.Lease.Began(now + 100*time.Millisecond)
		d.Lease.End(now+100*time.Millisecond, admission.ResultDone, engine)
	}
	a.controller.Admit(time.Minute, request(1), engine) // recomputes the estimates
	data, err := a.exchange.encodeReport(a.now)
	require.NoError(t, err)
	b.controller.Admit(0, request(1), engine) // creates the state of the service
	b.exchange.mergeReport(data, netip.AddrPort{})
	b.controller.Admit(time.Second, request(2), engine)
	require.InEpsilon(t, a.controller.Engines()[0].Speed, b.controller.Engines()[0].Speed, 0.01)
	require.Greater(t, b.controller.Engines()[0].Speed, 80.0, "the true speed is at least 100 tokens per millisecond")
}

// Reports from invented names must not make a gate hold state for each of them, nor keep out
// the peers that the store lists.
func TestPeersOfInventedNamesBounded(t *testing.T) {
	g := newGate(t, "a")
	g.exchange.SetPeers([]Address{g.address("listed", "r")})
	merge := func(node string) {
		data, err := cbor.Marshal(message{Node: node, Start: 1, Sequence: 1})
		require.NoError(t, err)
		g.exchange.mergeReport(data, netip.AddrPort{})
	}
	for i := range 10 * maxUnlistedPeers {
		merge(fmt.Sprint("invented", i))
	}
	merge("listed")
	require.Contains(t, g.exchange.peers, "listed")
	require.LessOrEqual(t, len(g.exchange.peers), maxUnlistedPeers+2)
}
