package peers

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/pace"
	"github.com/mastichollow/mastichollow/internal/target"
)

func TestReportCarriesSpeeds(t *testing.T) {
	a, b := newGate(t, "a"), newGate(t, "b")
	reported := map[string]pace.ServiceReport{"s": {Uneven: true, Targets: map[string]pace.Estimate{"f": {Started: 7, Log: -0.25, Weight: 20}}}}
	require.Equal(t, reported, decodeSpeeds(encodeSpeeds(reported)))

	d := a.controller.Admit(0, request(1), engine)
	for n := range 12 {
		d.Lease.Began(time.Duration(n) * 20 * time.Millisecond)
	}
	for range 5 { // each report names some of the targets
		data, err := a.exchange.encodeReport(300 * time.Millisecond)
		require.NoError(t, err)
		b.exchange.mergeReport(data, netip.AddrPort{})
	}
	require.NotEmpty(t, b.controller.Speeds(0), "the observed target is known to the peer")
}

// Guards against a report that a datagram cannot carry.
func TestReportWithManySpeedsBounded(t *testing.T) {
	a := newGate(t, "a")
	for n := range 4000 {
		many := []target.Instance{{ID: fmt.Sprintf("target-with-a-long-name-%d", n), Service: "s", Slots: 10}}
		d := a.controller.Admit(0, request(n), many)
		for e := range 12 {
			d.Lease.Began(time.Duration(e) * time.Millisecond)
		}
		d.Lease.End(time.Second, admission.ResultDone, many)
	}
	data, err := a.exchange.encodeReport(time.Second)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), maxReportBytes)
	var m message
	require.NoError(t, cbor.Unmarshal(data, &m))
	require.NotEmpty(t, m.Speeds["s"].Targets)
}
