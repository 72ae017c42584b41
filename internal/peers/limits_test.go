package peers

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/target"
)

func TestReportCarriesRequestLimits(t *testing.T) {
	a, b := newGate(t, "a"), newGate(t, "b")
	d := a.controller.Admit(0, request(1), engine)
	d.Lease.RecordRequestLimit(time.Millisecond, admission.RequestLimit{Statement: admission.LimitNamed, PerSecond: 2})
	data, err := a.exchange.encodeReport(10 * time.Millisecond)
	require.NoError(t, err)
	b.exchange.mergeReport(data, netip.AddrPort{})
	require.Equal(t, 1, b.controller.LimitedTargets())

	a.now = 8 * time.Second
	later := a.controller.Admit(a.now, request(2), engine)
	require.Empty(t, later.Refused)
	later.Lease.RecordRequestLimit(a.now, admission.RequestLimit{})
	b.now = a.now
	data, err = a.exchange.encodeReport(a.now)
	require.NoError(t, err)
	b.exchange.mergeReport(data, netip.AddrPort{})
	require.Zero(t, b.controller.LimitedTargets())
}

func TestOddRequestLimitsInReportsIgnored(t *testing.T) {
	a, b := newGate(t, "a"), newGate(t, "b")
	for _, odd := range []float64{-1, math.NaN(), math.Inf(1)} {
		b.controller.Merge(0, a.exchange.config.Node, admission.Report{RequestLimits: decodeLimits(map[string]limitMessage{
			"e": {PerSecond: odd}, "f": {PerSecond: 1, Demand: odd}, "g": {PerSecond: 1, NamedMillis: math.MinInt64, EndedMillis: math.MinInt64},
		})})
	}
	require.Zero(t, b.controller.LimitedTargets())
}

// A gate that hears of no peer must not take over what the others may still send.
func TestFleetCountsUnheardGates(t *testing.T) {
	g := newGate(t, "a")
	b := newGate(t, "b")
	g.exchange.SetPeers([]Address{g.address("a", "r"), b.address("b", "r"), b.address("c", "q")})
	starting := g.exchange.fleet(startupGrace - 1)
	require.Len(t, starting.Alive, 3)
	require.Equal(t, 3, starting.Known)
	alone := g.exchange.fleet(startupGrace)
	require.Len(t, alone.Alive, 1)
	require.Equal(t, 3, alone.Known)
	g.exchange.recordReport(startupGrace, &message{Node: "d", Start: 1, Sequence: 1}, netip.AddrPort{})
	heard := g.exchange.fleet(startupGrace)
	require.Len(t, heard.Alive, 2)
	require.Equal(t, 4, heard.Known)
}

func TestReportWithManyRequestLimitsBounded(t *testing.T) {
	a := newGate(t, "a")
	for n := range 4000 {
		many := []target.Instance{{ID: fmt.Sprintf("target-with-a-long-name-%d", n), Service: "s", Slots: 10}}
		d := a.controller.Admit(0, request(n), many)
		d.Lease.RecordRequestLimit(time.Millisecond, admission.RequestLimit{Statement: admission.LimitNamed, PerSecond: 2})
		d.Lease.End(time.Millisecond, admission.ResultDone, many)
	}
	data, err := a.exchange.encodeReport(10 * time.Millisecond)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), maxReportBytes)
}
