package gate

import (
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/route"
)

// streamThenTrickle sends the events first to last and then, until the gate closes the
// connection, one byte of text every 30 ms.
func streamThenTrickle(first, last int, text string) targetHandler {
	return func(c net.Conn, r targetRequest) {
		write(c, head(200, r, "Seal: "+r.target+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for i := first; i <= last; i++ {
			writeChunk(c, event(i))
		}
		for {
			time.Sleep(30 * time.Millisecond)
			if _, err := c.Write([]byte("1\r\n" + text[:1] + "\r\n")); err != nil {
				return
			}
			text = text[1:] + text[:1]
		}
	}
}

func TestStalledStreamResumesAtAnotherTarget(t *testing.T) {
	for name, text := range map[string]string{"unterminated event": "x", "comments": ":\n\n"} {
		t.Run(name, func(t *testing.T) {
			kind := resumable
			kind.LatencyObjective = 100 * time.Millisecond
			handler := firstRequestThen(streamThenTrickle(1, 3, text), streamEvents(4, 6, true))
			f := newFixture(t, testRoutes(kind), handler, handler)
			start := time.Now()
			got := f.send("/p/", "b", "Timeout-Ms", "10000")
			require.NoError(t, got.err)
			require.Equal(t, eventsUpTo(6), strings.ReplaceAll(got.body, ":\n\n", ""))
			require.Less(t, time.Since(start), minStallTimeout, "before callers abort it")
		})
	}
}

func TestNonResumableStalledStreamEnds(t *testing.T) {
	f := newFixture(t, testRoutes(streamOnce), streamThenTrickle(1, 3, ":\n\n"), streamThenTrickle(1, 3, ":\n\n"))
	start := time.Now()
	got := f.send("/p/", "b", "Timeout-Ms", "20000")
	require.Error(t, got.err, "a truncated response must not look complete")
	require.Greater(t, time.Since(start), minStallTimeout, "not before callers abort it")
	require.Less(t, time.Since(start), 2*minStallTimeout)
	require.Len(t, f.receivedRequests(), 1)
}

func TestSlowHealthyStreamNotAborted(t *testing.T) {
	for name, kind := range map[string]route.Route{"resumable": resumable, "once": streamOnce} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slow := func(c net.Conn, r targetRequest) {
				write(c, head(200, r, "Seal: m\r\nTransfer-Encoding: chunked\r\n\r\n"))
				for i := 1; i <= 8; i++ {
					time.Sleep(700 * time.Millisecond)
					writeChunk(c, event(i))
				}
				write(c, "0\r\n\r\n")
			}
			f := newFixture(t, testRoutes(kind), slow, slow)
			got := f.send("/p/", "b", "Timeout-Ms", "20000")
			require.NoError(t, got.err)
			require.Equal(t, eventsUpTo(8), got.body)
			require.Len(t, f.receivedRequests(), 1)
		})
	}
}

// After a pause of the process, timers expire before the data that arrived is read. The
// watchdog must allow a grace period to read it.
func TestWatchdogGraceAfterProcessPause(t *testing.T) {
	expired := make(chan struct{})
	w := newWatchdog(time.Hour, func() { close(expired) })
	w.timerFired() // as after a pause of an hour
	w.reset()
	w.timerFired()
	select {
	case <-expired:
		t.Fatal("expired within the grace period")
	case <-time.After(processPauseGrace / 2):
	}
	<-expired
}

// endlessResponses are responses without end, each of which the gate must abort.
var endlessResponses = map[string]struct{ start, more string }{
	"status line":       {"", "HTTP/1.1 200 "},
	"not HTTP":          {"", "\x00\x01garbage"},
	"one field":         {"HTTP/1.1 200 OK\r\nX: ", "y"},
	"fields":            {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
	"interim responses": {"", "HTTP/1.1 103 Hints\r\n\r\n"},
	"chunk extensions":  {"HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: m\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"tiny chunks":       {"HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: m\r\nTransfer-Encoding: chunked\r\n\r\n", "1;xxxxxxxxxxxxxxxx\r\na\r\n"},
	"trailers":          {"HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: m\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	"chunks":            {"HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: m\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
	"unsized body":      {"HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: m\r\n\r\n", "more"},
	"body too long":     {"HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: m\r\nContent-Length: 5\r\n\r\nwhole", "more"},
	"foreign response":  {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "more"},
}

func sendEndlessly(start, more string) targetHandler {
	block := []byte(strings.Repeat(more, 1+4096/len(more)))
	return func(c net.Conn, _ targetRequest) {
		write(c, start)
		for {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	}
}

func TestEndlessResponsesAborted(t *testing.T) {
	for name, e := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, testRoutes(once), sendEndlessly(e.start, e.more))
			start := time.Now()
			got := f.send("/p/", "b", "Timeout-Ms", "20000")
			require.Less(t, time.Since(start), 10*time.Second, "aborted early, not at the caller's timeout")
			switch {
			case name == "body too long":
				require.Equal(t, "whole", got.body)
				require.NoError(t, got.err)
			case got.status == 200:
				require.Error(t, got.err, "a truncated response must not look complete")
			default:
				require.Equal(t, 502, got.status, "the request may have run")
			}
		})
	}
}

func TestEndlessStreamsAborted(t *testing.T) {
	for name, more := range map[string]string{"one event": "x", "comments": ":\n\n", "one event repeated": "id: 1\ndata: x\n\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, testRoutes(streamOnce), sendEndlessly("HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: m\r\n\r\n", more))
			start := time.Now()
			got := f.send("/p/", "b", "Timeout-Ms", "20000")
			require.Error(t, got.err)
			require.Less(t, time.Since(start), 2*minStallTimeout)
		})
	}
}

// A gate with 112 MB of memory must survive hundreds of such responses at once.
func TestEndlessResponsesMemoryBound(t *testing.T) {
	const (
		concurrentCalls = 300
		maxHeapGrowth   = 48 << 20 // bytes; the garbage collector's target there is 67 MB
	)
	slow := func(start, more string) targetHandler {
		return func(c net.Conn, _ targetRequest) {
			write(c, start)
			block := []byte(strings.Repeat(more, 1+1024/len(more)))
			for range 2000 {
				if _, err := c.Write(block); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}
	}
	f := newFixture(t, testRoutes(streamOnce),
		slow("HTTP/1.1 200 OK\r\n", "X: y\r\n"), slow("HTTP/1.1 200 OK\r\nX: ", "y"),
		slow("HTTP/1.1 200 OK\r\nId: id-1\r\nSeal: m\r\n\r\n", "x"))
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	var callers sync.WaitGroup
	for range concurrentCalls {
		callers.Go(func() { f.send("/p/", "b", "Timeout-Ms", "3000") })
	}
	done := make(chan struct{})
	go func() { callers.Wait(); close(done) }()
	maxGrowth := uint64(0)
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(20 * time.Millisecond):
			runtime.GC() // leaves only what is in use
			runtime.ReadMemStats(&now)
			maxGrowth = max(maxGrowth, now.HeapAlloc-min(now.HeapAlloc, before.HeapAlloc))
		}
	}
	t.Logf("heap grew by at most %d MB, callers and targets of the test included", maxGrowth>>20)
	require.Less(t, maxGrowth, uint64(maxHeapGrowth))
}
