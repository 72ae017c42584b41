package gate

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/connlimit"
)

// serveWith serves the fixture's gate with another account of connections and another
// context of connections.
func (f *fixture) serveWith(limits connlimit.Limits, connContext func(context.Context, net.Conn) context.Context) {
	f.server.Close()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(f.t, err)
	server := &http.Server{Handler: f.gate, ConnContext: connContext, ConnState: f.gate.ConnState}
	connlimit.Configure(server)
	f.server.Listener, f.server.URL = connlimit.NewListener(inner, connlimit.NewAccount(limits), nil, "callers"), "http://"+inner.Addr().String()
	go func() { _ = server.Serve(f.server.Listener) }()
	f.t.Cleanup(func() { _ = server.Close() })
}

// A connection whose request was forwarded must not be closed to make room for others.
func TestForwardedRequestKeepsItsConnection(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	f := newFixture(t, testRoutes(once), func(c net.Conn, r targetRequest) {
		close(arrived)
		<-release
		succeed("whole")(c, r)
	})
	f.serveWith(connlimit.Limits{Conns: 1}, ConnContext)
	first := beginUpload(t, f, "k", 4, false)
	write(first.conn, first.rest)
	<-arrived
	second := beginUpload(t, f, "k", 4, false)
	_, err := second.conn.Read(make([]byte, 1))
	require.Error(t, err, "there is no room")
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(first.conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "whole", string(body))
}

// closedConn is a connection that was closed to make room for others.
type closedConn struct{ net.Conn }

func (closedConn) Grow(int64) bool     { return true }
func (closedConn) Protect() bool       { return false }
func (closedConn) SetWorkspace(string) {}

// A request whose connection was closed to make room for others must not be forwarded: its
// caller takes it for one that may be sent again.
func TestRequestOfClosedConnectionNotForwarded(t *testing.T) {
	f := newFixture(t, testRoutes(once), succeed("whole"))
	f.serveWith(connlimit.Limits{}, func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, closedConn{c})
	})
	require.Error(t, f.send("/p/", "body", patient...).err)
	require.Empty(t, f.receivedRequests())
}
