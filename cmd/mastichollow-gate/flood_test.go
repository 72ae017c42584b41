package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/process/processtest"
	"github.com/mastichollow/mastichollow/platform/names"
	"github.com/mastichollow/mastichollow/platform/platformtest"
	"github.com/mastichollow/mastichollow/platform/standin"
)

const (
	floodDescriptors = 200
	floodCallers     = 600
	floodTargets     = 24
	floodTimeout     = 30 * time.Second
)

// openFiles returns the number of descriptors that the process has open.
func (g *gateProcess) openFiles(t *testing.T) int {
	t.Helper()
	files, err := os.ReadDir("/proc/" + strconv.Itoa(g.pid) + "/fd")
	require.NoError(t, err)
	return len(files)
}

// A gate that accepts every connection and every request of a flood held several times the
// files of its usual load: each request has a connection to its caller and one to its target.
// Its open files must stay within its machine's limit, the load balancer must learn of it, and
// the gate must serve as before once the flood is over.
func TestFloodedGateKeepsItsDescriptors(t *testing.T) {
	store := platformtest.NewStore(t)
	require.NoError(t, store.PutTable(standin.Table{
		Version: 7, Workspaces: map[string][]string{"shop": {"k"}}, SlotsPerTarget: faultySlots,
		Routes: []standin.Route{
			{Name: "orders", Host: "h.example", Prefix: "/orders/", Service: "slow", Kind: standin.AtMostOnce, Timeout: floodTimeout, MaxTargets: 1},
		},
	}))
	release := make(chan struct{})
	var received atomic.Int64
	for i := range floodTargets {
		addr := platformtest.StartTarget(t, func(c net.Conn, r *http.Request) {
			received.Add(1)
			<-release
			platformtest.RespondWhole(c, r, "done")
		})
		store.PutTarget(standin.TargetRow{ID: fmt.Sprintf("t%d", i), Service: "slow", Addr: addr, Domain: "a", Slots: faultySlots, State: names.StateReady, Sequence: 1})
	}
	g := startGateProcess(t, store, standin.VM{MaxFDs: floodDescriptors})

	var callers sync.WaitGroup
	var answered atomic.Int64
	for i := range floodCallers {
		callers.Go(func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			if _, complete := callGate(t, transport, g.CallerAddr, "/orders/1", fmt.Sprintf("%x", 0x1000+i), floodTimeout); complete {
				answered.Add(1)
			}
		})
	}
	processtest.Eventually(t, "the gate asks for no more callers", func() bool {
		require.LessOrEqual(t, g.openFiles(t), floodDescriptors)
		return !standin.IsReady(g.ReadyAddr)
	})
	sent := received.Load()
	require.LessOrEqual(t, g.openFiles(t), floodDescriptors)
	close(release)
	callers.Wait()
	t.Logf("%d requests at targets while the gate was not ready, %d of %d served in the end", sent, answered.Load(), floodCallers)
	require.GreaterOrEqual(t, answered.Load(), sent, "what was sent is answered")
	processtest.Eventually(t, "the gate is ready again", func() bool { return standin.IsReady(g.ReadyAddr) })
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	body, complete := callGate(t, transport, g.CallerAddr, "/orders/1", "ffff", floodTimeout)
	require.True(t, complete, "%q", body)
	g.Stop()
	g.WaitExited()
}
