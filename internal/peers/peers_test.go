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
	g := &gate{controller: admission.NewController(admission.Config{}), directory: target.NewDirectory()}
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

// fill gives the engine as many requests as it takes.
func (g *gate) fill() {
	for n := 0; ; n++ {
		if g.controller.Admit(g.now, request(n), engine).Refused != "" {
			return
		}
	}
}

func request(n int) *admission.Request {
	return &admission.Request{Workspace: "w", Service: "s", Slots: 10, PromptTokens: 10, Hash: uint64(n), Fingerprint: admission.Fingerprint(n)}
}

func TestGatesLearnOfEachOthersLoad(t *testing.T) {
	a, b := newGate(t, "a"), newGate(t, "b")
	a.exchange.SetPeers([]Address{a.address("a", "r"), b.address("b", "r")})
	a.fill()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go b.exchange.receive(ctx)
	a.exchange.send()
	require.Eventually(t, func() bool { return b.exchange.Alive() == 1 }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return b.controller.Admit(0, request(1), engine).Refused != "" }, 5*time.Second, time.Millisecond)
}

// listed returns n peers, of which each third is in the own region.
func listed(n int) []Address {
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

// What a gate sends does not grow with the fleet, and no peer is passed over.
func TestReportsAreBoundedAndReachEveryPeer(t *testing.T) {
	for _, n := range []int{0, 1, 3, 33, 100, 300, 3000} {
		g := newGate(t, "a")
		g.exchange.SetPeers(listed(n))
		near, far := g.exchange.split()
		got := make(map[netip.AddrPort]int)
		rounds := max((len(near)+nearPerRound-1)/nearPerRound, (len(far)+farPerRound-1)/farPerRound, farRounds)
		for range rounds {
			round := g.exchange.round()
			require.LessOrEqual(t, len(round), nearPerRound+farPerRound)
			for _, addr := range round {
				got[addr]++
			}
		}
		require.Len(t, got, n, "in %d rounds", rounds)
		longest := time.Duration(rounds) * interval
		require.GreaterOrEqual(t, g.exchange.silence(), 3*longest, "%d peers: a lost report or two does not make a peer vanish", n)
	}
}

func TestOtherRegionsHearLessOften(t *testing.T) {
	g := newGate(t, "a")
	g.exchange.SetPeers(listed(33))
	near, far := g.exchange.split()
	got := make(map[netip.AddrPort]int)
	for range 10 {
		for _, addr := range g.exchange.round() {
			got[addr]++
		}
	}
	for _, addr := range near {
		require.Equal(t, 10, got[addr], "each round")
	}
	for _, addr := range far {
		require.Equal(t, 5, got[addr], "each second round")
	}
}

func encode(t *testing.T, m message) []byte {
	data, err := cbor.Marshal(m)
	require.NoError(t, err)
	return data
}

func TestOlderReportsReplaceNothing(t *testing.T) {
	g := newGate(t, "a")
	full := map[string][3]int{"e": {10, 0, 0}}
	g.exchange.take(encode(t, message{Node: "b", Start: 5, Sequence: 8, Loads: full}), netip.AddrPort{})
	for _, old := range []message{
		{Node: "b", Start: 5, Sequence: 7},  // out of order
		{Node: "b", Start: 5, Sequence: 8},  // twice
		{Node: "b", Start: 4, Sequence: 99}, // of an earlier start
		{Node: "a", Start: 9, Sequence: 1},  // of itself
		{},
	} {
		g.exchange.take(encode(t, old), netip.AddrPort{})
	}
	g.exchange.take([]byte("no report"), netip.AddrPort{})
	require.NotEmpty(t, g.controller.Admit(0, request(1), engine).Refused, "the load of the newest report holds")
	require.InDelta(t, 6, testutil.ToFloat64(g.exchange.metrics.faulty), 0)
	g.exchange.take(encode(t, message{Node: "b", Start: 6, Sequence: 1}), netip.AddrPort{})
	require.Empty(t, g.controller.Admit(0, request(1), engine).Refused, "a new start has no load")
}

func TestSilentPeersAreForgotten(t *testing.T) {
	g := newGate(t, "a")
	g.exchange.take(encode(t, message{Node: "b", Start: 5, Sequence: 1}), netip.AddrPort{})
	g.now = leastSilence
	g.exchange.send()
	require.Equal(t, 1, g.exchange.Alive())
	g.now = leastSilence + time.Millisecond
	g.exchange.send()
	require.Zero(t, g.exchange.Alive())
}

func TestNegativeLoadsCountAsNone(t *testing.T) {
	g := newGate(t, "a")
	g.exchange.take(encode(t, message{Node: "b", Start: 5, Sequence: 1, Loads: map[string][3]int{"e": {-100, -1, -1}}}), netip.AddrPort{})
	n := 0
	for ; g.controller.Admit(0, request(n), engine).Refused == ""; n++ {
	}
	require.LessOrEqual(t, n, 7)
}

func TestGatesTellOfTargetsThatLeaveOrPause(t *testing.T) {
	a, b := newGate(t, "a"), newGate(t, "b")
	instances := []target.Instance{{ID: "e", Service: "s", Slots: 10, Born: 5, Hash: target.HashID("e")}, {ID: "f", Service: "s", Slots: 10, Born: 6, Hash: target.HashID("f")}}
	for _, g := range []*gate{a, b} {
		g.directory.Replace(instances, 0, false)
	}
	a.directory.Leave("e", 5, 0, true)
	a.controller.BackOff(0, instances[1], time.Second)
	data, err := a.exchange.encode(0)
	require.NoError(t, err)
	b.exchange.take(data, netip.AddrPort{})
	require.Equal(t, instances[1:], b.directory.Current().Of("s"))
	d := b.controller.Admit(0, request(1), append([]target.Instance{{ID: "g", Service: "s", Slots: 10}}, instances[1]))
	require.Equal(t, "g", d.Target.ID)
	require.Empty(t, b.directory.Left(0), "what a peer told is not told on")
}

func TestGatesTellWhatTheyHaveLearntOfEngines(t *testing.T) {
	a, b := newGate(t, "a"), newGate(t, "b")
	long := request(0)
	long.PromptTokens, long.Parts = 10_000, []admission.Part{{Hash: 1, Tokens: 10_000}}
	for n := range 60 {
		now := time.Duration(n) * time.Second
		d := a.controller.Admit(now, long, engine)
		require.Empty(t, d.Refused)
		d.Lease.Began(now + 100*time.Millisecond)
		d.Lease.End(now+100*time.Millisecond, admission.ResultDone, engine)
	}
	a.controller.Admit(time.Minute, request(1), engine) // works out anew what is known
	data, err := a.exchange.encode(a.now)
	require.NoError(t, err)
	b.controller.Admit(0, request(1), engine) // it knows the service
	b.exchange.take(data, netip.AddrPort{})
	b.controller.Admit(time.Second, request(2), engine)
	require.InEpsilon(t, a.controller.Engines()[0].Speed, b.controller.Engines()[0].Speed, 0.01)
	require.Greater(t, b.controller.Engines()[0].Speed, 80.0, "100 tokens a millisecond and more")
}
