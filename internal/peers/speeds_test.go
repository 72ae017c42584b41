package peers

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/pace"
)

func TestReportCarriesSpeeds(t *testing.T) {
	a, b := newGate(t, "a"), newGate(t, "b")
	reported := map[string]pace.ServiceReport{"s": {Uneven: true, Targets: map[string]pace.Estimate{"e": {Started: 7, Log: -0.25, Weight: 20}}}}
	require.Equal(t, reported, decodeSpeeds(encodeSpeeds(reported)))

	a.controller.Merge(0, "c", admission.Report{Speeds: reported})
	d := a.controller.Admit(0, request(1), engine)
	for n := range 10 {
		d.Lease.Began(time.Duration(n) * 20 * time.Millisecond)
	}
	data, err := a.exchange.encodeReport(200 * time.Millisecond)
	require.NoError(t, err)
	b.exchange.mergeReport(data, netip.AddrPort{})
	require.NotEmpty(t, b.controller.Speeds(0), "the observed target is known to the peer")
}
