package gate

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/route"
	"github.com/mastichollow/mastichollow/internal/socket"
	"github.com/mastichollow/mastichollow/internal/target"
)

func testRoutes(r route.Route) []route.Route {
	r.Host, r.Prefix, r.Name = "h.example", "/p/", "p"
	r.Services = []route.WeightedService{{Service: "letters", Weight: 1}}
	if r.MaxTargets == 0 {
		r.MaxTargets = 2
	}
	if r.LatencyObjective == 0 {
		r.LatencyObjective = 500 * time.Millisecond
	}
	return []route.Route{r}
}

var (
	once       = route.Route{RetryPolicy: route.AtMostOnce}
	idempotent = route.Route{RetryPolicy: route.Idempotent}
	resumable  = route.Route{RetryPolicy: route.Resumable, Streaming: true}
	streamOnce = route.Route{RetryPolicy: route.AtMostOnce, Streaming: true}
)

func TestRequestForwardedUnchanged(t *testing.T) {
	f := newFixture(t, testRoutes(once), succeed("whole"))
	got := f.send("/p/a%2Fb?x=1;y", "body")
	require.Equal(t, 200, got.status)
	require.Equal(t, "whole", got.body)
	require.Equal(t, "m", got.header.Get("Seal"))
	received := f.receivedRequests()
	require.Len(t, received, 1)
	require.Equal(t, "POST", received[0].method)
	require.Equal(t, "/p/a%2Fb?x=1;y", received[0].uri)
	require.Equal(t, "body", received[0].body)
	require.Equal(t, "t0", received[0].header.Get("Instance"))
	require.Equal(t, "shop", received[0].header.Get("Workspace"))
}

// TestFailedSendOutcomes checks the status that callers get by the kind of request and
// the behaviour of the first target; the second target is healthy.
func TestFailedSendOutcomes(t *testing.T) {
	closed := closeConn()
	truncated := func(c net.Conn, r targetRequest) {
		write(c, head(200, r, "Seal: m\r\nContent-Length: 50\r\n\r\nhalf"))
		c.Close()
	}
	for _, c := range []struct {
		name   string
		kind   route.Route
		first  targetHandler
		status int
		sends  int
	}{
		{"rejected, once", once, reject(), 200, 2},
		{"rejected, idempotent", idempotent, reject(), 200, 2},
		{"lost, once", once, closed, 502, 1},
		{"lost, idempotent", idempotent, closed, 200, 2},
		{"lost, stream once", streamOnce, closed, 502, 1},
		{"lost, resumable", resumable, closed, 200, 2},
		{"failed, once", once, respond(500, "", "sorry"), 500, 1},
		{"failed, idempotent", idempotent, respond(500, "", "sorry"), 200, 2},
		{"refused by the application, idempotent", idempotent, respond(404, "", "none"), 404, 1},
		{"503 without proof, once", once, respond(503, "", ""), 502, 1},
		{"429 without proof, idempotent", idempotent, respond(429, "", ""), 200, 2},
		{"misdirected, once", once, respond(421, "", ""), 200, 2},
		{"unsealed success, once", once, respond(200, "", "x"), 502, 1},
		{"unsealed success, idempotent", idempotent, respond(200, "", "x"), 200, 2},
		{"truncated response, once", once, truncated, 502, 1},
		{"truncated response, idempotent", idempotent, truncated, 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			handler := firstRequestThen(c.first, succeed("whole"))
			f := newFixture(t, testRoutes(c.kind), handler, handler)
			got := f.send("/p/", "body")
			require.Equal(t, c.status, got.status)
			require.Len(t, f.receivedRequests(), c.sends)
			if got.status == 200 {
				require.Equal(t, "whole", got.body)
			}
		})
	}
}

func TestRefusalAfterAllTargetsReject(t *testing.T) {
	f := newFixture(t, testRoutes(once), reject(), reject(), reject())
	got := f.send("/p/", "body")
	require.Equal(t, 503, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Len(t, f.receivedRequests(), 2, "the route allows two targets")
}

func TestUnreachableTargetCostsNoSend(t *testing.T) {
	one := once
	one.MaxTargets = 1
	f := newFixture(t, testRoutes(one), succeed("whole"), succeed("whole"))
	listed := f.directory.Current().Available("letters")
	dead := listed[0]
	dead.Addr = closedAddr(t)
	f.directory.Replace(append([]target.Instance{dead}, listed[1]), 0, false)
	for range 5 {
		require.Equal(t, 200, f.send("/p/", "b").status)
	}
}

func closedAddr(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func TestStreamResumesAtAnotherTarget(t *testing.T) {
	handler := firstRequestThen(streamEvents(1, 3, false), streamEvents(4, 6, true))
	f := newFixture(t, testRoutes(resumable), handler, handler)
	got := f.send("/p/", "b")
	require.NoError(t, got.err)
	require.Equal(t, eventsUpTo(6), got.body)
	require.Len(t, f.receivedRequests(), 2)
	require.Equal(t, "3", f.receivedRequests()[1].header.Get("Last"))
}

func TestResumedStreamGapsAndRepeats(t *testing.T) {
	for _, c := range []struct {
		name     string
		first    int // event that the second target sends first
		complete bool
	}{{"repeats", 2, true}, {"skips", 5, false}} {
		t.Run(c.name, func(t *testing.T) {
			handler := firstRequestThen(streamEvents(1, 3, false), streamEvents(c.first, 6, true))
			f := newFixture(t, testRoutes(resumable), handler, handler)
			got := f.send("/p/", "b")
			if c.complete {
				require.NoError(t, got.err)
				require.Equal(t, eventsUpTo(6), got.body)
				return
			}
			require.Error(t, got.err, "a stream with a gap must not look complete")
			require.Equal(t, eventsUpTo(3), got.body)
		})
	}
}

func TestNonResumableStreamFailureDetectable(t *testing.T) {
	f := newFixture(t, testRoutes(streamOnce), streamEvents(1, 3, false), streamEvents(1, 3, true))
	got := f.send("/p/", "b")
	if got.err == nil {
		require.Equal(t, eventsUpTo(3), got.body, "the healthy target was chosen")
		f.directory.Replace(f.directory.Current().Available("letters")[:1], 0, false)
		got = f.send("/p/", "b")
	}
	require.Error(t, got.err)
	require.Equal(t, eventsUpTo(3), got.body)
}

func TestEventsForwardedImmediately(t *testing.T) {
	step := make(chan struct{})
	f := newFixture(t, testRoutes(resumable), func(c net.Conn, r targetRequest) {
		write(c, head(200, r, "Seal: m\r\nTransfer-Encoding: chunked\r\n\r\n"))
		writeChunk(c, event(1))
		<-step
		writeChunk(c, event(2))
		write(c, "0\r\n\r\n")
	})
	req, err := http.NewRequest(http.MethodPost, f.server.URL+"/p/", nil)
	require.NoError(t, err)
	req.Host = "h.example"
	req.Header.Set("Id", "1")
	req.Header.Set("Key", "k")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	buf := make([]byte, len(event(1)))
	_, err = resp.Body.Read(buf)
	require.NoError(t, err)
	require.Equal(t, event(1), string(buf))
	close(step)
}

// Another gate may have the table that this one lacks. Callers must reach it within
// every latency objective.
func TestStaleTableRetryAfterIsShort(t *testing.T) {
	f := newFixture(t, testRoutes(once), succeed("whole"))
	f.tableAge = f.gate.config.MaxTableAgeForKeys + time.Second
	stale := f.send("/p/", "b")
	f.gate.tableCache = NewTableCache(func() time.Duration { return 0 })
	for _, got := range []callerResponse{stale, f.send("/p/", "b")} {
		require.Equal(t, 503, got.status)
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.LessOrEqual(t, seconds, 0.1)
	}
}

func TestTableDenials(t *testing.T) {
	f := newFixture(t, testRoutes(once), succeed("whole"))
	require.Equal(t, 404, f.send("/other/", "b").status)
	require.Equal(t, 401, f.send("/p/", "b", "Key", "unknown").status)
	require.Equal(t, 401, f.send("/p/", "b", "Key", "").status)
	require.Equal(t, 413, f.send("/p/", string(make([]byte, 1001))).status)
	require.Empty(t, f.receivedRequests())

	f.tableAge = 3 * time.Second // a newer table may allow them
	for _, got := range []callerResponse{f.send("/other/", "b"), f.send("/p/", "b", "Key", "unknown")} {
		require.Equal(t, 503, got.status)
		require.NotEmpty(t, got.header.Get("Retry-After"))
	}
	require.Equal(t, 200, f.send("/p/", "b").status)

	f.tableAge = 5*time.Second + 1 // the key may have been revoked
	require.Equal(t, 503, f.send("/p/", "b").status)
}

func TestPublicRouteWithoutKeyOrFreshTable(t *testing.T) {
	public := once
	public.Public = true
	f := newFixture(t, testRoutes(public), succeed("whole"))
	f.tableAge = time.Hour
	require.Equal(t, 200, f.send("/p/", "b", "Key", "").status)
	require.Empty(t, f.receivedRequests()[0].header.Get("Workspace"))
}

func TestNotReadyWithoutTableOrTargets(t *testing.T) {
	f := newFixture(t, testRoutes(once), succeed("whole"))
	f.table.cached.Store(nil)
	require.Equal(t, 503, f.send("/p/", "b").status)
	require.Error(t, f.gate.Ready())
	f.setTable(2, testRoutes(once))
	require.NoError(t, f.gate.Ready())
	f.directory.Replace(nil, 0, false)
	require.Error(t, f.gate.Ready())
	require.Equal(t, 503, f.send("/p/", "b").status)
}

func TestTableVersionNeverDecreases(t *testing.T) {
	f := newFixture(t, testRoutes(once), succeed("whole"))
	f.setTable(5, testRoutes(once))
	f.setTable(4, nil)
	table, _ := f.table.Current()
	require.EqualValues(t, 5, table.Version())
	require.Equal(t, 200, f.send("/p/", "b").status)
}

func TestTableAgeFromConfirmingReadStart(t *testing.T) {
	now := time.Duration(0)
	c := NewTableCache(func() time.Duration { return now })
	table, err := route.New(route.Config{Version: 1})
	require.NoError(t, err)
	if cached, _ := c.Current(); cached != nil {
		t.Fatal("nothing was confirmed")
	}
	now = 10 * time.Second
	edition := route.Edition{Version: 1}
	c.Confirm(table, edition, 9*time.Second)
	_, age := c.Current()
	require.Equal(t, time.Second, age)
	now = 20 * time.Second
	c.Confirm(table, edition, 8*time.Second) // a late response does not extend the confirmation
	_, age = c.Current()
	require.Equal(t, 11*time.Second, age)
}

func TestRouteTimeoutEndsRequest(t *testing.T) {
	quick := once
	quick.Timeout = 150 * time.Millisecond
	f := newFixture(t, testRoutes(quick), func(c net.Conn, _ targetRequest) {
		_, _ = c.Read(make([]byte, 1)) // until the gate closes
	})
	got := f.send("/p/", "b")
	require.Equal(t, 504, got.status)
	require.LessOrEqual(t, f.receivedRequests()[0].header.Get("Time-Left-Ms"), "150")
}

func TestUnresponsiveTargetReplaced(t *testing.T) {
	hangs := func(c net.Conn, _ targetRequest) { _, _ = c.Read(make([]byte, 1)) }
	handler := firstRequestThen(hangs, succeed("whole"))
	f := newFixture(t, testRoutes(idempotent), handler, handler)
	require.Equal(t, 200, f.send("/p/", "b", patient...).status)
	require.Len(t, f.receivedRequests(), 2)
}

func TestCallerDisconnectCancelsTargetCall(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	f := newFixture(t, testRoutes(once), func(c net.Conn, _ targetRequest) {
		close(arrived)
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	require.Error(t, f.sendContext(ctx, "/p/", "b").err)
	<-closed
	require.Eventually(t, func() bool { return f.gate.InFlight() == 0 }, 5*time.Second, time.Millisecond)
	require.Empty(t, f.controller.Report(0).Loads)
}

func TestDrainServesAndCloseRefuses(t *testing.T) {
	f := newFixture(t, testRoutes(once), succeed("whole"))
	f.gate.Drain(time.Now().Add(patientTimeout))
	require.Error(t, f.gate.Ready())
	got := f.send("/p/", "b")
	require.Equal(t, 200, got.status)
	f.gate.Close()
	got = f.send("/p/", "b")
	require.Equal(t, 503, got.status)
	require.Len(t, f.receivedRequests(), 1)
}

// A request that may not end before the process does is refused before it is sent.
func TestStoppingGateRefusesRequestsThatMayOutlastIt(t *testing.T) {
	kind := once
	kind.Timeout = 20 * time.Second
	f := newFixture(t, testRoutes(kind), succeed("whole"))
	f.gate.Drain(time.Now().Add(10 * time.Second))
	for timeout, status := range map[string]int{"3000": 200, "9000": 200, "10500": 503, "60000": 503} {
		require.Equal(t, status, f.send("/p/", "b", "Timeout-Ms", timeout).status, timeout)
	}
	require.Len(t, f.receivedRequests(), 2)
}

// A request whose body arrives while the gate begins to stop has not been sent yet.
func TestStoppingGateRefusesRequestNotSentYet(t *testing.T) {
	f := newFixture(t, testRoutes(once), succeed("whole"))
	reader, writer := io.Pipe()
	req, err := http.NewRequest(http.MethodPost, f.server.URL+"/p/", reader)
	require.NoError(t, err)
	req.Host = "h.example"
	for name, value := range map[string]string{"Id": "id-1", "Key": "k", "Timeout-Ms": "30000"} {
		req.Header.Set(name, value)
	}
	go func() {
		_, _ = io.WriteString(writer, "half")
		for f.gate.InFlight() == 0 {
			time.Sleep(time.Millisecond)
		}
		f.gate.Drain(time.Now().Add(10 * time.Second))
		writer.Close()
	}()
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Empty(t, f.receivedRequests())
}

// What is still in flight at the end of a stop gets a response that promises nothing.
func TestRequestInFlightAtEndOfStopIsAnswered(t *testing.T) {
	f := newFixture(t, testRoutes(once), func(c net.Conn, _ targetRequest) { _, _ = io.Copy(io.Discard, c) })
	go func() {
		for len(f.receivedRequests()) == 0 {
			time.Sleep(time.Millisecond)
		}
		f.gate.Drain(time.Now().Add(100 * time.Millisecond))
	}()
	got := f.send("/p/", "b", patient...)
	require.NoError(t, got.err)
	require.Equal(t, http.StatusGatewayTimeout, got.status)
}

func TestDisconnectedCallerRequestNotSent(t *testing.T) {
	f := newFixture(t, testRoutes(once), succeed("whole"))
	conn, remote := tcpPair(t)
	remote.Close()
	require.Eventually(t, func() bool { return socket.PeekState(conn) == socket.Closed }, time.Second, time.Millisecond)
	req := httptest.NewRequest(http.MethodPost, "/p/", nil)
	req.Host = "h.example"
	req.Header.Set("Id", "1")
	req.Header.Set("Key", "k")
	req = req.WithContext(ConnContext(req.Context(), conn))
	require.Panics(t, func() { f.gate.ServeHTTP(httptest.NewRecorder(), req) }, "the connection is aborted")
	require.Empty(t, f.receivedRequests())
	require.Zero(t, f.gate.InFlight())
}

func tcpPair(t *testing.T) (local, remote net.Conn) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	remote, err = net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	local, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { local.Close() })
	return local, remote
}

func TestNotReadyOnStaleTableOrSchedulingDelay(t *testing.T) {
	f := newFixture(t, testRoutes(once), succeed("whole"))
	require.NoError(t, f.gate.Ready())
	f.tableAge = 5*time.Second + 1
	require.Error(t, f.gate.Ready(), "the table is too old to accept keys")
	f.tableAge = 0
	for range 20 {
		f.gate.delay.addSample(3 * readyMaxDelay)
	}
	require.Error(t, f.gate.Ready(), "the scheduling delay is high")
	for range 40 {
		f.gate.delay.addSample(0)
	}
	require.NoError(t, f.gate.Ready())
	f.gate.delay.addSample(10 * time.Second)
	f.gate.delay.addSample(0)
	f.gate.delay.addSample(0)
	f.gate.delay.addSample(0)
	f.gate.delay.addSample(0)
	f.gate.delay.addSample(0)
	require.NoError(t, f.gate.Ready(), "a single pause does not count")
}

func TestSchedulingDelayShedsLoad(t *testing.T) {
	f := newFixture(t, testRoutes(once), succeed("whole"))
	for range 30 {
		f.gate.delay.addSample(2 * readyMaxDelay)
	}
	f.gate.delay.updateHighDuration(balancerReactionTime)
	got := f.send("/p/", "b")
	require.Equal(t, 200, got.status, "a delayed gate still serves")
	require.False(t, got.closes, "the load balancer may not have reacted yet and would route the next connection back")
	f.gate.delay.updateHighDuration(time.Millisecond)
	require.True(t, f.send("/p/", "b").closes)
	for range 60 {
		f.gate.delay.addSample(2 * overloadDelay)
	}
	sent := len(f.receivedRequests())
	require.Equal(t, 200, f.send("/p/", "b").status, "the workspace is below its fair share")
	sent++
	got = f.send("/p/", strings.Repeat("b", 64<<10), "Key", "unknown")
	require.NoError(t, got.err, "the refusal arrives even if most of the request is unread")
	require.Equal(t, 503, got.status, "refused immediately")
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Len(t, f.receivedRequests(), sent)
	for range 100 {
		f.gate.delay.addSample(0)
	}
	f.gate.delay.updateHighDuration(time.Millisecond)
	require.Equal(t, 200, f.send("/p/", "b").status)
}

func TestConnectionsCloseAboveKeepAliveLimit(t *testing.T) {
	f := newFixture(t, testRoutes(once), succeed("whole"))
	f.gate.config.MaxKeepAliveConnections = 3
	addr := f.server.Listener.Addr().String()
	var idle []net.Conn
	for range 5 {
		c, err := net.Dial("tcp4", addr)
		require.NoError(t, err)
		idle = append(idle, c)
	}
	require.Eventually(t, func() bool { return f.gate.tooManyConnections() }, 5*time.Second, time.Millisecond)
	require.True(t, f.send("/p/", "b").closes)
	for _, c := range idle {
		c.Close()
	}
	require.Eventually(t, func() bool { return !f.gate.tooManyConnections() }, 5*time.Second, time.Millisecond)
	require.False(t, f.send("/p/", "b").closes)
}

func TestStoreUnreachableServesButNotReady(t *testing.T) {
	f := newFixture(t, testRoutes(once), succeed("whole"))
	require.NoError(t, f.gate.Ready())
	f.gate.config.StoreUnreachable = func() bool { return true }
	require.Error(t, f.gate.Ready())
	got := f.send("/p/", "b")
	require.Equal(t, 200, got.status)
	require.True(t, got.closes, "the caller's next connection goes to another gate")
}

// Between two sends of a request the key may be revoked, the table may become too old or
// the process may be paused. The key is checked before each send.
func TestKeyRecheckedBeforeEachSend(t *testing.T) {
	for _, c := range []struct {
		name       string
		kind       route.Route
		first      targetHandler
		invalidate func(f *fixture)
		status     int
	}{
		{"table too old, nothing ran", once, reject(), func(f *fixture) { f.tableAge = 6 * time.Second }, 503},
		{"revoked, nothing ran", once, reject(), (*fixture).revokeKeys, 401},
		{"revoked, may have run", idempotent, closeConn(), (*fixture).revokeKeys, 502},
		{"revoked in the middle of a stream", resumable, streamEvents(1, 3, false), (*fixture).revokeKeys, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			var f *fixture
			first := func(conn net.Conn, r targetRequest) {
				c.invalidate(f)
				c.first(conn, r)
			}
			f = newFixture(t, testRoutes(c.kind), first, first)
			got := f.send("/p/", "b")
			require.Equal(t, c.status, got.status)
			require.Len(t, f.receivedRequests(), 1)
			if c.status == 200 {
				require.Error(t, got.err, "a truncated response must not look complete")
			}
		})
	}
}

// revokeKeys installs a table in which the workspace has no keys.
func (f *fixture) revokeKeys() {
	f.setTableContent(2, testRoutes(resumable), []route.Workspace{{Name: "shop"}})
}
