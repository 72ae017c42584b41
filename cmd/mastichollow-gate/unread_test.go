package main

import (
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/platform/names"
	"github.com/mastichollow/mastichollow/platform/platformtest"
	"github.com/mastichollow/mastichollow/platform/standin"
)

// http.Server answers "OPTIONS *" without the gate. A caller without a key that pipelines such
// requests and reads no response must not keep its connection forever: with enough of them the
// gate would accept no others.
func TestUnreadServerOptionsEndConnection(t *testing.T) {
	store := platformtest.NewStore(t)
	require.NoError(t, store.PutTable(standin.Table{
		Version: 7, Workspaces: map[string][]string{"shop": {"k"}}, SlotsPerTarget: faultySlots,
		Routes: []standin.Route{{Name: "orders", Host: "h.example", Prefix: "/orders/", Service: "slow", Kind: standin.AtMostOnce, Timeout: floodTimeout, MaxTargets: 1}},
	}))
	store.PutTarget(standin.TargetRow{ID: "t0", Service: "slow", Addr: "127.0.0.1:1", Domain: "a", Slots: faultySlots, State: names.StateReady, Sequence: 1})
	g := startGateProcess(t, store, standin.VM{MaxFDs: floodDescriptors})
	c, err := net.Dial("tcp4", g.CallerAddr)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(floodTimeout)))
	requests := strings.Repeat("OPTIONS * HTTP/1.1\r\nHost: h.example\r\n\r\n", 1000)
	for err == nil {
		_, err = io.WriteString(c, requests)
	}
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the gate closes the connection")
	g.Stop()
	g.WaitExited()
}
