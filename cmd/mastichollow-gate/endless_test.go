package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/platform/names"
	"github.com/mastichollow/mastichollow/platform/platformtest"
	"github.com/mastichollow/mastichollow/platform/standin"
)

const (
	// smallestVMMemory is the memory of the smallest entry VMs, in MB.
	smallestVMMemory = 112
	faultyTargets    = 24
	faultySlots      = 64
	faultyRequests   = 1500
	faultyTimeout    = 6 * time.Second
)

// faultyResponses are the starts of responses that never end. Each is just below the
// bound at which a gate gives up a single response.
func faultyResponses(id string) []string {
	ours := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n", names.AttemptID, id, names.ResponseSeal)
	stream := ours + "Content-Type: text/event-stream\r\n"
	return []string{
		ours + strings.Repeat("X: y\r\n", 2600),
		ours + "X: " + strings.Repeat("y", 16000),
		strings.Repeat("HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", 480),
		stream + "\r\nid: 1\ndata: " + strings.Repeat("x", 65000),
		stream + "X: " + strings.Repeat("y", 15000) + "\r\n\r\nid: 1\ndata: " + strings.Repeat("x", 65000),
		stream + "Transfer-Encoding: chunked\r\n\r\n1;" + strings.Repeat("y", 4000),
		ours + "Content-Type: text/plain\r\nContent-Length: 900000\r\n\r\nHTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 16000),
		strings.Replace(ours, id, "another", 1) + "Content-Length: 900000\r\n\r\n" + strings.Repeat("x", 800000),
	}
}

// Workers that send without end must not exhaust the memory of a gate, however many
// connections they do it on: each response is bounded, and so is their sum. Requests to
// sound targets are answered meanwhile.
func TestManyFaultyTargetsMemoryBound(t *testing.T) {
	store := platformtest.NewStore(t)
	require.NoError(t, store.PutTable(standin.Table{
		Version: 7, Workspaces: map[string][]string{"shop": {"k"}}, SlotsPerTarget: faultySlots,
		Routes: []standin.Route{
			{Name: "letters", Host: "h.example", Prefix: "/letters/", Service: "faulty", Kind: standin.Stream, Timeout: faultyTimeout, MaxTargets: 1},
			{Name: "orders", Host: "h.example", Prefix: "/orders/", Service: "sound", Kind: standin.AtMostOnce, Timeout: faultyTimeout, MaxTargets: 1},
		},
	}))
	for i := range faultyTargets {
		addr := platformtest.StartTarget(t, func(c net.Conn, r *http.Request) { respondEndlessly(c, r, i) })
		store.PutTarget(standin.TargetRow{ID: fmt.Sprintf("f%d", i), Service: "faulty", Addr: addr, Domain: "a", Slots: faultySlots, State: names.StateReady, Sequence: 1})
	}
	sound := platformtest.StartTarget(t, func(c net.Conn, r *http.Request) { platformtest.RespondWhole(c, r, "done") })
	store.PutTarget(standin.TargetRow{ID: "s", Service: "sound", Addr: sound, Domain: "a", Slots: faultySlots, State: names.StateReady, Sequence: 1})
	g := startGateProcess(t, store, standin.VM{MemoryMB: smallestVMMemory})
	idle := g.peakMemory(t)

	var callers sync.WaitGroup
	for i := range faultyRequests {
		callers.Go(func() {
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			body, complete := callGate(t, transport, g.CallerAddr, "/letters/1", fmt.Sprintf("%x", 0x1000+i), faultyTimeout)
			if complete {
				t.Errorf("a response without end looks complete: %.40q", body)
			}
		})
	}
	done := make(chan struct{})
	go func() { callers.Wait(); close(done) }()
	answered := 0
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for running := true; running; {
		body, complete := callGate(t, transport, g.CallerAddr, "/orders/1", fmt.Sprintf("%x", 0x10000+answered), faultyTimeout)
		require.True(t, complete, "a sound target answers meanwhile: %q", body)
		require.Equal(t, "done", body)
		answered++
		select {
		case <-done:
			running = false
		case <-time.After(20 * time.Millisecond):
		}
	}
	peak := g.peakMemory(t)
	t.Logf("memory of the gate: %.1f MB idle, %.1f MB at its peak; %d sound answers meanwhile", float64(idle)/1e6, float64(peak)/1e6, answered)
	require.Less(t, peak, int64(smallestVMMemory)<<20)
	g.Stop()
	g.WaitExited()
}

// respondEndlessly sends one of the faulty responses and then nothing more. first varies
// between targets.
func respondEndlessly(c net.Conn, r *http.Request, first int) {
	id := r.Header.Get(names.AttemptID)
	responses := faultyResponses(id)
	var number int
	_, _ = fmt.Sscanf(id, "%x", &number)
	_, _ = io.WriteString(c, responses[(first+number)%len(responses)])
}
