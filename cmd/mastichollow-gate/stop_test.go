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
	"github.com/mastichollow/mastichollow/platform/standin"
)

// recorder answers each request with two events, some time apart, and notes the
// identifiers of the requests that reached it.
type recorder struct {
	mu   sync.Mutex
	seen map[string]bool
}

func (rec *recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.AttemptID)
	rec.mu.Lock()
	rec.seen[id] = true
	rec.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(names.AttemptID, id)
	w.Header().Set(names.ResponseSeal, "s")
	_, _ = io.WriteString(w, platformtest.FirstEvent)
	_ = http.NewResponseController(w).Flush()
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(w, platformtest.SecondEvent)
}

// Callers that go on sending, on kept connections and on new ones, until the process
// is gone: whatever reached a target is answered whole.
func TestStopUnderLoadCutsNothingThatReachedATarget(t *testing.T) {
	rec := &recorder{seen: make(map[string]bool)}
	target := httptest.NewServer(rec)
	t.Cleanup(target.Close)
	store := platformtest.NewStore(t)
	platformtest.PutStreamingRoute(t, store, strings.TrimPrefix(target.URL, "http://"))
	g := run(t, store)
	require.Eventually(t, g.isReady, eventually, 5*time.Millisecond)

	var mu sync.Mutex
	answered := make(map[string]string)
	done := make(chan struct{})
	var callers sync.WaitGroup
	for caller := range 12 {
		callers.Go(func() {
			kept := &http.Transport{DisableKeepAlives: caller%3 == 0}
			defer kept.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				id := fmt.Sprintf("%x%04x", caller+1, n)
				body, ok := ask(t, kept, g.CallerAddr, id)
				if !ok {
					time.Sleep(time.Millisecond)
				}
				mu.Lock()
				answered[id] = body
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
	}, eventually, 5*time.Millisecond, "the process ends")
	close(done)
	callers.Wait()
	rec.mu.Lock()
	defer rec.mu.Unlock()
	require.Greater(t, len(rec.seen), 100)
	for id := range rec.seen {
		require.Equal(t, platformtest.FirstEvent+platformtest.SecondEvent, answered[id], id)
	}
}

// ask sends one request and returns its whole answer.
func ask(t *testing.T, via *http.Transport, callers, id string) (string, bool) {
	req, err := standin.Call{
		ID: id, Host: "h.example", Path: "/letters/1", Key: "k", Body: []byte("note"), Timeout: 9 * time.Second,
	}.Request()
	if err != nil {
		t.Error(err)
		return "", false
	}
	req.URL.Host = callers
	resp, err := via.RoundTrip(req)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err == nil && resp.StatusCode == http.StatusOK
}
