package gate

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/route"
	"github.com/mastichollow/mastichollow/internal/target"
)

// floodWorkspaces are the keys "k" of the flood and "s" of a small workspace.
var floodWorkspaces = []route.Workspace{{Name: "shop", Keys: []string{"k"}}, {Name: "small", Keys: []string{"s"}}}

// respondAfter returns a handler whose responses wait until release is closed.
func respondAfter(release <-chan struct{}) targetHandler {
	return func(c net.Conn, r targetRequest) {
		<-release
		succeed("whole")(c, r)
	}
}

// manyTargets returns handlers of so many targets that their slots bound nothing.
func manyTargets(handler targetHandler) []targetHandler {
	return slices.Repeat([]targetHandler{handler}, 30)
}

// sendMany sends n requests at once and returns the statuses once all have ended.
func sendMany(f *fixture, n int, fields ...string) func() map[int]int {
	counts := make(map[int]int)
	var mu sync.Mutex
	var ends sync.WaitGroup
	for range n {
		ends.Go(func() {
			got := f.send("/p/", "b", append(append([]string(nil), patient...), fields...)...)
			mu.Lock()
			counts[got.status]++
			mu.Unlock()
		})
	}
	return func() map[int]int {
		ends.Wait()
		return counts
	}
}

// Without a bound, a gate accepts every request of a flood, each with a connection
// and a goroutine at its caller and at its target, until it runs out of descriptors.
func TestFloodedGateBoundsRequestsInFlight(t *testing.T) {
	const bound, flood = 20, 200
	release := make(chan struct{})
	f := newFixture(t, testRoutes(once), manyTargets(respondAfter(release))...)
	f.setTableContent(2, testRoutes(once), floodWorkspaces)
	f.gate.config.MaxRequests = bound
	f.gate.intake = newIntake(bound)
	f.gate.metrics = newMetrics(prometheus.NewRegistry())
	ends := sendMany(f, flood)
	require.Eventually(t, func() bool { return f.gate.InFlight() == bound && len(f.receivedRequests()) == bound }, patientTimeout, time.Millisecond, "the rest is refused")
	require.Error(t, f.gate.Ready(), "the load balancer routes new connections elsewhere")
	f.gate.publishQueues()
	require.InDelta(t, bound, testutil.ToFloat64(f.gate.metrics.queues.WithLabelValues("target")), 0, "the queue is named")
	close(release)
	counts := ends()
	require.GreaterOrEqual(t, counts[http.StatusOK], bound, "%v", counts)
	require.Equal(t, flood, counts[http.StatusOK]+counts[http.StatusServiceUnavailable], "%v", counts)
	require.Len(t, f.receivedRequests(), counts[http.StatusOK], "what was refused was not sent")
	require.NoError(t, f.gate.Ready())
	require.Zero(t, f.gate.intake.Stats().InFlight)
	f.gate.publishQueues()
	for _, name := range stageNames {
		require.Zero(t, testutil.ToFloat64(f.gate.metrics.queues.WithLabelValues(name)), name)
	}
}

// A late gate lowers its bound. A workspace that holds most of the requests must not take
// the place of others then, and what was forwarded is answered.
func TestFloodLeavesRoomForOthersAtLateGate(t *testing.T) {
	const before = 60
	release := make(chan struct{})
	f := newFixture(t, testRoutes(once), manyTargets(respondAfter(release))...)
	f.setTableContent(2, testRoutes(once), floodWorkspaces)
	f.gate.intake = newIntake(10 * before)
	forwarded := sendMany(f, before)
	require.Eventually(t, func() bool { return len(f.receivedRequests()) == before }, patientTimeout, time.Millisecond)
	for tick := range 400 {
		f.gate.intake.Tick(time.Hour+time.Duration(tick)*delayProbeInterval, 2*overloadDelay)
	}
	require.Equal(t, minRequestBound, f.gate.intake.Stats().Bound)
	refused := f.send("/p/", "b")
	require.Equal(t, http.StatusServiceUnavailable, refused.status)
	require.NotEmpty(t, refused.header.Get("Retry-After"))
	small := sendMany(f, minRequestBound/2, "Key", "s")
	require.Eventually(t, func() bool { return len(f.receivedRequests()) == before+minRequestBound/2 }, patientTimeout, time.Millisecond, "up to an even portion")
	close(release)
	require.Equal(t, map[int]int{http.StatusOK: before}, forwarded(), "no request in flight is cut")
	require.Equal(t, map[int]int{http.StatusOK: minRequestBound / 2}, small())
}

// While the scheduling delay is high, goroutines that decode and admit requests must not
// fill the run queue, in which the watchers wait too.
func TestRequestsOfLateGateTakeTurns(t *testing.T) {
	const extra = 100
	f := newFixture(t, testRoutes(once), manyTargets(succeed("whole"))...)
	f.setTableContent(2, testRoutes(once), floodWorkspaces)
	f.gate.intake.Tick(0, 2*readyMaxDelay)
	preparing := make(chan struct{}, 10*maxTurns)
	proceed := make(chan struct{})
	f.gate.codec = lateSendCodec{beforeSend: func(string) {
		preparing <- struct{}{}
		<-proceed
	}}
	flood := sendMany(f, maxTurns+extra)
	require.Eventually(t, func() bool { return f.gate.intake.Stats().Waiting == extra }, patientTimeout, time.Millisecond)
	require.Len(t, preparing, maxTurns)
	require.Positive(t, f.gate.intake.OldestWait(f.gate.config.Now()), "the wait counts as delay")
	close(proceed)
	require.Equal(t, map[int]int{http.StatusOK: maxTurns + extra}, flood())
	require.Zero(t, f.gate.intake.Stats().Waiting)
	require.Zero(t, f.gate.intake.Stats().Turns)
}

// A caller that sends its body slowly must not keep a turn.
func TestSlowBodiesDoNotKeepTurns(t *testing.T) {
	f := newFixture(t, testRoutes(once), succeed("whole"))
	f.gate.intake.Tick(0, 2*readyMaxDelay)
	for range maxTurns {
		c, err := net.Dial("tcp4", f.server.Listener.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		write(c, "POST /p/ HTTP/1.1\r\nHost: h.example\r\nKey: k\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf")
	}
	require.Eventually(t, func() bool { return f.gate.intake.Stats().Turns == maxTurns }, patientTimeout, time.Millisecond)
	waiting := sendMany(f, 1)
	require.Eventually(t, func() bool { return f.gate.intake.Stats().Waiting == 1 }, patientTimeout, time.Millisecond)
	f.gate.intake.Tick(f.gate.config.Now()+maxTurnHold+1, 2*readyMaxDelay)
	require.Equal(t, map[int]int{http.StatusOK: 1}, waiting())
}

// limitedFixture returns a fixture whose server accepts at most limit connections.
func limitedFixture(t *testing.T, limit int, handler targetHandler) (*fixture, string) {
	f := newFixture(t, testRoutes(once), manyTargets(handler)...)
	f.gate.config.MaxConnections = limit
	server := httptest.NewUnstartedServer(f.gate)
	server.Listener = f.gate.LimitConnections(server.Listener)
	server.Config.ConnContext, server.Config.ConnState = ConnContext, f.gate.ConnState
	server.Start()
	t.Cleanup(server.Close)
	return f, server.Listener.Addr().String()
}

// Connections that are accepted without a bound exhaust the descriptors of the gate, which
// its watchers, reports and connections to targets need too. Those in the kernel's backlog
// are served once others have ended.
func TestOpenConnectionsAreBounded(t *testing.T) {
	const limit, callers = 8, 40
	release := make(chan struct{})
	f, addr := limitedFixture(t, limit, respondAfter(release))
	f.gate.metrics = newMetrics(prometheus.NewRegistry())
	var conns []net.Conn
	for range callers {
		c, err := net.Dial("tcp4", addr)
		require.NoError(t, err)
		defer c.Close()
		write(c, "POST /p/ HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nKey: k\r\nId: a\r\nTimeout-Ms: 30000\r\nContent-Length: 0\r\n\r\n")
		conns = append(conns, c)
	}
	require.Eventually(t, func() bool { return len(f.receivedRequests()) == limit }, patientTimeout, time.Millisecond)
	require.EqualValues(t, limit, f.gate.connections.open.Load())
	require.ErrorIs(t, f.gate.Ready(), errManyConnections)
	require.Eventually(t, func() bool {
		f.gate.publishQueues()
		return testutil.ToFloat64(f.gate.metrics.queues.WithLabelValues("accept")) >= callers-limit-1
	}, patientTimeout, 10*time.Millisecond, "the queue is named")
	close(release)
	for _, c := range conns {
		require.NoError(t, c.SetDeadline(time.Now().Add(patientTimeout)))
		buf := make([]byte, 64)
		n, err := c.Read(buf)
		require.NoError(t, err)
		require.True(t, strings.HasPrefix(string(buf[:n]), "HTTP/1.1 200"), "%q", buf[:n])
	}
}

// Idle connections that are kept open must not keep callers out.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	const limit = 4
	f, addr := limitedFixture(t, limit, succeed("whole"))
	request := "POST /p/ HTTP/1.1\r\nHost: h.example\r\nKey: k\r\nId: a\r\nTimeout-Ms: 30000\r\nContent-Length: 0\r\n\r\n"
	roundTrip := func(c net.Conn) {
		require.NoError(t, c.SetDeadline(time.Now().Add(patientTimeout)))
		write(c, request)
		buf := make([]byte, 64)
		n, err := c.Read(buf)
		require.NoError(t, err)
		require.True(t, strings.HasPrefix(string(buf[:n]), "HTTP/1.1 200"), "%q", buf[:n])
	}
	for range 3 * limit {
		c, err := net.Dial("tcp4", addr)
		require.NoError(t, err)
		defer c.Close()
		roundTrip(c)
	}
	require.LessOrEqual(t, f.gate.connections.open.Load(), int64(limit))
}

func TestTargetOfOtherRunAcceptsNothing(t *testing.T) {
	d := target.NewDirectory(nil)
	d.Replace([]target.Instance{{ID: "a", Addr: "x", Service: "s", StartedMillis: 1}, {ID: "b", Addr: "y", Service: "s"}}, 0, false)
	require.True(t, d.Current().Accepts(&target.Instance{ID: "a", Addr: "x", Service: "s", StartedMillis: 1}))
	require.False(t, d.Current().Accepts(&target.Instance{ID: "a", Addr: "x", Service: "s", StartedMillis: 2}), "restarted")
	require.False(t, d.Current().Accepts(&target.Instance{ID: "a", Addr: "z", Service: "s", StartedMillis: 1}), "other address")
	require.False(t, d.Current().Accepts(&target.Instance{ID: "c", Addr: "x", Service: "s"}), "removed")
}

// A refusal must neither wait for a body that never arrives, nor read a long one.
func TestEarlyRefusalDoesNotWaitForBody(t *testing.T) {
	f := newFixture(t, testRoutes(once), succeed("whole"))
	for range 200 {
		f.gate.delay.addSample(maxDelaySample)
	}
	for _, length := range []string{"Content-Length: 900", "Content-Length: 900000", "Transfer-Encoding: chunked"} {
		c, err := net.Dial("tcp4", f.server.Listener.Addr().String())
		require.NoError(t, err)
		defer c.Close()
		require.NoError(t, c.SetDeadline(time.Now().Add(patientTimeout)))
		write(c, "POST /p/ HTTP/1.1\r\nHost: h.example\r\nKey: unknown\r\nId: a\r\n"+length+"\r\n\r\n")
		all, err := io.ReadAll(c)
		require.NoError(t, err, length)
		require.True(t, strings.HasPrefix(string(all), "HTTP/1.1 503"), "%s: %q", length, all)
		require.Contains(t, string(all), "Connection: close", length)
	}
	require.Eventually(t, func() bool { return f.gate.InFlight() == 0 }, patientTimeout, time.Millisecond)
}
