package main

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/platform/names"
	"github.com/mastichollow/mastichollow/platform/platformtest"
	"github.com/mastichollow/mastichollow/platform/standin"
)

const (
	quarantineCrashes = 3 // from which the request must be refused
	crashingGates     = 3
	// repeatInterval is the time between two attempts, in which gates tell each other of a crash.
	repeatInterval = time.Second
	// entryLifetime is how long the store lists a target that crashed.
	entryLifetime = 3600 * time.Millisecond
	deadlyPath    = "/orders/deadly"
)

// crashingService is a plain service whose targets end when a request to deadlyPath arrives, and start
// again under another ID and address.
type crashingService struct {
	store   *platformtest.Store
	started atomic.Int64
	crashes atomic.Int64
}

func (s *crashingService) start(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Error(err)
		return
	}
	t.Cleanup(func() { _ = listener.Close() })
	id := fmt.Sprint("i-", s.started.Add(1))
	server := &http.Server{}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == deadlyPath {
			_ = listener.Close()
			s.crashes.Add(1)
			s.start(t)
			time.AfterFunc(entryLifetime, func() { s.store.Delete(names.TableTargets, id) })
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(names.AttemptID, r.Header.Get(names.AttemptID))
		w.Header().Set(names.ResponseSeal, "s")
	})
	go func() { _ = server.Serve(listener) }()
	s.store.PutTarget(standin.TargetRow{ID: id, Service: "orders", Addr: listener.Addr().String(), Domain: "a", Slots: 4, State: names.StateReady, Sequence: 1, Born: s.started.Load()})
}

// Guards against a request that crashes as many targets again each time that all gates are killed at
// the same moment.
func TestCrashingRequestRefusedAfterKillOfAllGates(t *testing.T) {
	t.Parallel()
	service := &crashingService{store: platformtest.NewStore(t)}
	require.NoError(t, service.store.PutTable(standin.Table{
		Version: 7, Workspaces: map[string][]string{"shop": {"k"}}, SlotsPerTarget: 4,
		Routes: []standin.Route{{Name: "orders", Host: "h.example", Prefix: "/orders/", Service: "orders", Kind: standin.AtMostOnce, Timeout: 4 * time.Second, MaxTargets: 1}},
	}))
	for range 4 {
		service.start(t)
	}
	var gates []*gateProcess
	startAll := func() {
		gates = nil
		for i := range crashingGates {
			gates = append(gates, startGateProcess(t, service.store, standin.VM{Node: fmt.Sprint("gate-", i)}))
		}
	}
	sent := 0
	repeat := func(times int) {
		for range times {
			sent++
			callGate(t, &http.Transport{DisableKeepAlives: true}, gates[sent%crashingGates].CallerAddr, deadlyPath, fmt.Sprintf("d%06x", sent), 4*time.Second)
			time.Sleep(repeatInterval)
		}
	}
	startAll()
	repeat(quarantineCrashes + 1)
	require.EqualValues(t, quarantineCrashes, service.crashes.Load())
	for kill := range 2 {
		for _, g := range gates {
			g.Kill()
		}
		startAll()
		time.Sleep(contactTime / 2)
		repeat(2)
		require.EqualValues(t, quarantineCrashes, service.crashes.Load(), "kill %d", kill)
	}
}
