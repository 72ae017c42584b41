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

// trickles sends events first to last and then, until the gate closes, text every
// now and then.
func trickles(first, last int, text string) behaviour {
	return func(c net.Conn, r received) {
		write(c, head(200, r, "Mark: "+r.target+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
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

func TestStalledStreamGoesOnElsewhere(t *testing.T) {
	for name, text := range map[string]string{"bytes without an event's end": "x", "comments": ":\n\n"} {
		t.Run(name, func(t *testing.T) {
			kind := resumable
			kind.Goal = 100 * time.Millisecond
			b := firstThen(trickles(1, 3, text), streams(4, 6, true))
			f := newFleet(t, routeOf(kind), b, b)
			start := time.Now()
			got := f.ask("/p/", "b", "Patience", "10000")
			require.NoError(t, got.err)
			require.Equal(t, eventsUpTo(6), strings.ReplaceAll(got.body, ":\n\n", ""))
			require.Less(t, time.Since(start), leastGap, "before callers give it up")
		})
	}
}

func TestStalledStreamThatMayNotBeResumedEnds(t *testing.T) {
	f := newFleet(t, routeOf(streamOnce), trickles(1, 3, ":\n\n"), trickles(1, 3, ":\n\n"))
	start := time.Now()
	got := f.ask("/p/", "b", "Patience", "20000")
	require.Error(t, got.err, "it does not look complete")
	require.Greater(t, time.Since(start), leastGap, "not before callers give it up")
	require.Less(t, time.Since(start), 2*leastGap)
	require.Len(t, f.arrivals(), 1)
}

func TestSlowButSoundStreamIsNotCut(t *testing.T) {
	for name, kind := range map[string]route.Route{"resumable": resumable, "once": streamOnce} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slow := func(c net.Conn, r received) {
				write(c, head(200, r, "Mark: m\r\nTransfer-Encoding: chunked\r\n\r\n"))
				for i := 1; i <= 8; i++ {
					time.Sleep(700 * time.Millisecond)
					writeChunk(c, event(i))
				}
				write(c, "0\r\n\r\n")
			}
			f := newFleet(t, routeOf(kind), slow, slow)
			got := f.ask("/p/", "b", "Patience", "20000")
			require.NoError(t, got.err)
			require.Equal(t, eventsUpTo(8), got.body)
			require.Len(t, f.arrivals(), 1)
		})
	}
}

// A process that was paused finds its timers expired before it has read what came.
func TestPausedProcessReadsBeforeItTakesAStreamForStalled(t *testing.T) {
	expired := make(chan struct{})
	w := newWatchdog(time.Hour, func() { close(expired) })
	w.fire() // as after a pause of an hour
	w.progress()
	w.fire()
	select {
	case <-expired:
		t.Fatal("progress was there to be read")
	case <-time.After(wakeGrace / 2):
	}
	<-expired
}

// endless are answers without end, of which each gate must rid itself.
var endless = map[string]struct{ start, more string }{
	"status line":       {"", "HTTP/1.1 200 "},
	"no protocol":       {"", "\x00\x01garbage"},
	"one field":         {"HTTP/1.1 200 OK\r\nX: ", "y"},
	"fields":            {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
	"interim answers":   {"", "HTTP/1.1 103 Hints\r\n\r\n"},
	"chunk extensions":  {"HTTP/1.1 200 OK\r\nId: id-1\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"tiny chunks":       {"HTTP/1.1 200 OK\r\nId: id-1\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n", "1;xxxxxxxxxxxxxxxx\r\na\r\n"},
	"trailers":          {"HTTP/1.1 200 OK\r\nId: id-1\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"},
	"chunks":            {"HTTP/1.1 200 OK\r\nId: id-1\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
	"body of no length": {"HTTP/1.1 200 OK\r\nId: id-1\r\nMark: m\r\n\r\n", "more"},
	"body past its end": {"HTTP/1.1 200 OK\r\nId: id-1\r\nMark: m\r\nContent-Length: 5\r\n\r\nwhole", "more"},
	"other's answer":    {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "more"},
}

func floods(start, more string) behaviour {
	block := []byte(strings.Repeat(more, 1+4096/len(more)))
	return func(c net.Conn, _ received) {
		write(c, start)
		for {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	}
}

func TestBytesWithoutEndAreGivenUp(t *testing.T) {
	for name, e := range endless {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, routeOf(once), floods(e.start, e.more))
			start := time.Now()
			got := f.ask("/p/", "b", "Patience", "20000")
			require.Less(t, time.Since(start), 10*time.Second, "at once, not at the caller's time limit")
			switch {
			case name == "body past its end":
				require.Equal(t, "whole", got.body)
				require.NoError(t, got.err)
			case got.status == 200:
				require.Error(t, got.err, "it does not look complete")
			default:
				require.Equal(t, 502, got.status, "it may have run")
			}
		})
	}
}

func TestStreamOfBytesWithoutEndIsGivenUp(t *testing.T) {
	for name, more := range map[string]string{"one event": "x", "comments": ":\n\n", "one event again and again": "id: 1\ndata: x\n\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, routeOf(streamOnce), floods("HTTP/1.1 200 OK\r\nId: id-1\r\nMark: m\r\n\r\n", more))
			start := time.Now()
			got := f.ask("/p/", "b", "Patience", "20000")
			require.Error(t, got.err)
			require.Less(t, time.Since(start), 2*leastGap)
		})
	}
}

// A gate of 112 MB must hold hundreds of such answers at once.
func TestBytesWithoutEndFillNoMemory(t *testing.T) {
	const (
		atOnce = 300
		bound  = 48 << 20 // of the 67 MB that the collector aims at there
	)
	slow := func(start, more string) behaviour {
		return func(c net.Conn, _ received) {
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
	f := newFleet(t, routeOf(streamOnce),
		slow("HTTP/1.1 200 OK\r\n", "X: y\r\n"), slow("HTTP/1.1 200 OK\r\nX: ", "y"),
		slow("HTTP/1.1 200 OK\r\nId: id-1\r\nMark: m\r\n\r\n", "x"))
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	var callers sync.WaitGroup
	for range atOnce {
		callers.Go(func() { f.ask("/p/", "b", "Patience", "3000") })
	}
	done := make(chan struct{})
	go func() { callers.Wait(); close(done) }()
	most := uint64(0)
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(20 * time.Millisecond):
			runtime.GC() // what is left is in use
			runtime.ReadMemStats(&now)
			most = max(most, now.HeapAlloc-min(now.HeapAlloc, before.HeapAlloc))
		}
	}
	t.Logf("%d MB at most, callers and targets of the test included", most>>20)
	require.Less(t, most, uint64(bound))
}
