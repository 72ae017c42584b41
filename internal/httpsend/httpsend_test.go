package httpsend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// gotConn reports to a tracker that its call uses connection c.
func gotConn(t *Tracker, c net.Conn) { t.gotConn(httptrace.GotConnInfo{Conn: c}) }

func newPipe(t *testing.T) (*conn, net.Conn) {
	local, remote := net.Pipe()
	t.Cleanup(func() {
		local.Close()
		remote.Close()
	})
	return &conn{Conn: local}, remote
}

func TestNotSentBlocksLaterWrites(t *testing.T) {
	c, _ := newPipe(t)
	tracker := &Tracker{}
	gotConn(tracker, c)
	require.False(t, tracker.Sent())
	_, err := c.Write([]byte("late"))
	require.ErrorIs(t, err, errWritesBlocked)
}

func TestWriteInProgressIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, remote := newPipe(t)
		tracker := &Tracker{}
		gotConn(tracker, c)
		go func() { _, _ = c.Write([]byte("call")) }()
		synctest.Wait()
		require.True(t, tracker.Sent())
		data := make([]byte, 4)
		_, err := io.ReadFull(remote, data)
		require.NoError(t, err)
	})
}

func TestFailedWriteIsNotSent(t *testing.T) {
	c, _ := newPipe(t)
	tracker := &Tracker{}
	gotConn(tracker, c)
	require.NoError(t, c.Close())
	_, err := c.Write([]byte("call"))
	require.Error(t, err)
	require.False(t, tracker.Sent())
}

func TestEarlierCallOnConnectionIgnored(t *testing.T) {
	c, remote := newPipe(t)
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	_, err := c.Write([]byte("earlier call"))
	require.NoError(t, err)
	tracker := &Tracker{}
	gotConn(tracker, c)
	require.False(t, tracker.Sent())
}

func TestSentOnEarlierConnection(t *testing.T) {
	first, remote := newPipe(t)
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	second, _ := newPipe(t)
	tracker := &Tracker{}
	gotConn(tracker, first)
	_, err := first.Write([]byte("call"))
	require.NoError(t, err)
	gotConn(tracker, second)
	require.True(t, tracker.Sent())
}

func TestUntrackedConnectionIsSent(t *testing.T) {
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	tracker := &Tracker{}
	gotConn(tracker, local)
	require.True(t, tracker.Sent())
}

func TestTransport(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	client := &http.Client{Transport: NewTransport(TransportConfig{DisableKeepAlives: true})}
	call := func() (*Tracker, error) {
		ctx, tracker := Track(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, http.NoBody)
		require.NoError(t, err)
		resp, err := client.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		return tracker, err
	}
	tracker, err := call()
	require.NoError(t, err)
	require.True(t, tracker.Sent())
	server.Close()
	tracker, err = call()
	require.Error(t, err)
	require.False(t, tracker.Sent())
}
