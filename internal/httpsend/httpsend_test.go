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

// got tells a tracker that its call got c.
func got(t *Tracker, c net.Conn) { t.gotConn(httptrace.GotConnInfo{Conn: c}) }

func newPipe(t *testing.T) (*conn, net.Conn) {
	near, far := net.Pipe()
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return &conn{Conn: near}, far
}

func TestNotSentForbidsLaterWrites(t *testing.T) {
	c, _ := newPipe(t)
	tracker := &Tracker{}
	got(tracker, c)
	require.False(t, tracker.Sent())
	_, err := c.Write([]byte("late"))
	require.ErrorIs(t, err, errSealed)
}

func TestWriteUnderWayIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, far := newPipe(t)
		tracker := &Tracker{}
		got(tracker, c)
		go func() { _, _ = c.Write([]byte("call")) }()
		synctest.Wait()
		require.True(t, tracker.Sent())
		data := make([]byte, 4)
		_, err := io.ReadFull(far, data)
		require.NoError(t, err)
	})
}

func TestFailedWriteIsNotSent(t *testing.T) {
	c, _ := newPipe(t)
	tracker := &Tracker{}
	got(tracker, c)
	require.NoError(t, c.Close())
	_, err := c.Write([]byte("call"))
	require.Error(t, err)
	require.False(t, tracker.Sent())
}

func TestEarlierCallsOfAConnectionDoNotCount(t *testing.T) {
	c, far := newPipe(t)
	go func() { _, _ = io.Copy(io.Discard, far) }()
	_, err := c.Write([]byte("earlier call"))
	require.NoError(t, err)
	tracker := &Tracker{}
	got(tracker, c)
	require.False(t, tracker.Sent())
}

func TestSentOnAnEarlierConnectionCounts(t *testing.T) {
	first, far := newPipe(t)
	go func() { _, _ = io.Copy(io.Discard, far) }()
	second, _ := newPipe(t)
	tracker := &Tracker{}
	got(tracker, first)
	_, err := first.Write([]byte("call"))
	require.NoError(t, err)
	got(tracker, second)
	require.True(t, tracker.Sent())
}

func TestUnknownConnectionCountsAsSent(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	tracker := &Tracker{}
	got(tracker, near)
	require.True(t, tracker.Sent())
}

func TestTransport(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	client := &http.Client{Transport: NewTransport(TransportConfig{Fresh: true})}
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
