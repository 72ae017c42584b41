package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/platform/names"
	"github.com/mastichollow/mastichollow/platform/platformtest"
)

// requestTimeout fits into the grace period, so that requests are taken during the stop too.
const requestTimeout = 2 * time.Second

// recordingTarget responds to each request with two events, 20 ms apart, and records the
// attempt IDs of the requests that it received.
type recordingTarget struct {
	mu       sync.Mutex
	received map[string]bool
}

func (rec *recordingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.AttemptID)
	rec.mu.Lock()
	rec.received[id] = true
	rec.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(names.AttemptID, id)
	w.Header().Set(names.ResponseSeal, "s")
	_, _ = io.WriteString(w, platformtest.FirstEvent)
	_ = http.NewResponseController(w).Flush()
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(w, platformtest.SecondEvent)
}

// Callers send requests on reused and on new connections until the process has stopped.
// Every request that a target received must be answered completely.
func TestShutdownUnderLoadCompletesEveryReceivedRequest(t *testing.T) {
	target := &recordingTarget{received: make(map[string]bool)}
	targetServer := httptest.NewServer(target)
	t.Cleanup(targetServer.Close)
	store := platformtest.NewStore(t)
	platformtest.PutStreamingRoute(t, store, strings.TrimPrefix(targetServer.URL, "http://"))
	g := startGate(t, store)
	require.Eventually(t, g.isReady, waitTimeout, 5*time.Millisecond)

	var mu sync.Mutex
	responses := make(map[string]string)
	done := make(chan struct{})
	var callers sync.WaitGroup
	for caller := range 12 {
		callers.Go(func() {
			transport := &http.Transport{DisableKeepAlives: caller%3 == 0}
			defer transport.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				id := fmt.Sprintf("%x%04x", caller+1, n)
				body, ok := callGate(t, transport, g.CallerAddr, "/letters/1", id, requestTimeout)
				if !ok {
					time.Sleep(time.Millisecond)
				}
				mu.Lock()
				responses[id] = body
				mu.Unlock()
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	g.stop()
	require.Eventually(t, func() bool {
		c, err := net.DialTimeout("tcp4", g.CallerAddr, time.Second)
		if err == nil {
			c.Close()
		}
		return err != nil
	}, waitTimeout, 5*time.Millisecond, "the process stops")
	close(done)
	callers.Wait()
	target.mu.Lock()
	defer target.mu.Unlock()
	require.Greater(t, len(target.received), 100)
	for id := range target.received {
		require.Equal(t, platformtest.FirstEvent+platformtest.SecondEvent, responses[id], id)
	}
}
