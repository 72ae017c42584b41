package gate

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/connlimit"
)

// The listener of connlimit must not hide the kernel's backlog from the metric that names
// the queue that grows.
func TestBacklogOfListenerWithAccount(t *testing.T) {
	f := newFixture(t, testRoutes(once), succeed("whole"))
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	l := f.gate.LimitConnections(connlimit.NewListener(inner, connlimit.NewAccount(connlimit.Limits{}), nil, "callers"))
	defer l.Close()
	c, err := net.Dial("tcp4", inner.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	require.Eventually(t, func() bool { return f.gate.connections.backlog() == 1 }, patientTimeout, time.Millisecond)
}

// hookedConn calls a hook before it is closed.
type hookedConn struct {
	*net.TCPConn
	beforeClose func()
}

func (c *hookedConn) Close() error {
	c.beforeClose()
	return c.TCPConn.Close()
}

// A request that arrives while its idle connection is being closed for another must not
// become active before the close: it could be forwarded and then lose its connection.
func TestIdleConnectionNotActiveBeforeClose(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	conns, active := newConnections(), make(chan struct{})
	conn := &hookedConn{TCPConn: accepted.(*net.TCPConn)} //nolint:forcetypeassert // of a TCP listener
	activeBeforeClose := false
	conn.beforeClose = func() {
		go func() {
			conns.setState(conn, http.StateActive)
			close(active)
		}()
		select {
		case <-active:
			activeBeforeClose = true
		case <-time.After(200 * time.Millisecond):
		}
	}
	conns.setState(conn, http.StateNew)
	conns.setState(conn, http.StateIdle)
	conns.phases[conn].since = time.Now().Add(-2 * minIdleTime)
	require.Equal(t, 1, conns.closeIdle(1))
	<-active
	require.False(t, activeBeforeClose)
}

// dialUnread opens a connection whose buffers hold few unread responses, whatever the limits of
// the machine: with its own, the gate has to write megabytes before a caller blocks it.
func (f *fixture) dialUnread(t *testing.T) net.Conn {
	const bufferBytes = 4096
	c, err := net.Dial("tcp4", f.server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(bufferBytes)) //nolint:forcetypeassert // dialed by TCP
	conns := f.gate.connections
	require.Eventually(t, func() bool { return conns.open.Load() == 1 }, patientTimeout, time.Millisecond)
	conns.mu.Lock()
	defer conns.mu.Unlock()
	for conn := range conns.phases {
		require.NoError(t, conn.(*net.TCPConn).SetWriteBuffer(bufferBytes)) //nolint:forcetypeassert // accepted by TCP
	}
	return c
}

// A caller that pipelines requests which are refused by their heads, and reads no response,
// must not keep its connection for longer than that of any other refusal.
func TestUnreadEarlyRefusalsEndConnection(t *testing.T) {
	f := newFixture(t, testRoutes(once), succeed("whole"))
	f.gate.delay.mean.Store(int64(2 * overloadDelay))
	c := f.dialUnread(t)
	go func() {
		requests := strings.Repeat("GET /p/ HTTP/1.1\r\nHost: h.example\r\nKey: unknown\r\n\r\n", 1000)
		for {
			if _, err := io.WriteString(c, requests); err != nil {
				return
			}
		}
	}()
	require.Eventually(t, func() bool { return f.gate.connections.open.Load() == 0 }, patientTimeout, time.Millisecond)
}

// A caller that pipelines requests and reads no response must not keep its connection, which
// no limit closes before the response is written.
func TestUnreadResponsesEndConnection(t *testing.T) {
	f := newFixture(t, testRoutes(once), succeed(strings.Repeat("x", 3000)))
	requests := strings.Repeat("GET /p/ HTTP/1.1\r\nHost: h.example\r\nKey: k\r\nId: a\r\nTimeout-Ms: 3000\r\n\r\n", 100)
	c := f.dialUnread(t)
	go func() {
		for {
			if _, err := io.WriteString(c, requests); err != nil {
				return
			}
		}
	}()
	require.Eventually(t, func() bool { return f.gate.connections.open.Load() == 0 }, 2*patientTimeout, time.Millisecond)
}
