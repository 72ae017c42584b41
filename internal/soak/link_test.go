package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shortWait exceeds the round-trip time of loopback.
const shortWait = 200 * time.Millisecond

// newEchoLink returns a link to a server that echoes what it receives.
func newEchoLink(t *testing.T) *Link {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	link, err := NewLink(listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() {
		require.NoError(t, link.Close())
		require.NoError(t, listener.Close())
	})
	return link
}

func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", l.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// echoes reports whether one byte is echoed within d.
func echoes(c net.Conn, d time.Duration) bool {
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(d))
	var one [1]byte
	_, err := c.Read(one[:])
	return err == nil
}

func TestLinkBlocksAndReleasesEachDirection(t *testing.T) {
	for _, fault := range []LinkFault{{BlockToServer: true}, {BlockToClient: true}} {
		l := newEchoLink(t)
		c := dial(t, l)
		require.True(t, echoes(c, 10*time.Second))
		l.SetFault(fault)
		require.False(t, echoes(c, shortWait), "%+v", fault)
		l.SetFault(LinkFault{})
		require.True(t, echoes(c, 10*time.Second), "blocked bytes arrive after the fault")
	}
}

func TestBlackholeSparesNewConnections(t *testing.T) {
	l := newEchoLink(t)
	old := dial(t, l)
	require.True(t, echoes(old, 10*time.Second))
	l.Blackhole()
	require.False(t, echoes(old, shortWait))
	require.True(t, echoes(dial(t, l), 10*time.Second))
}

func TestLinkResetAndHalfClose(t *testing.T) {
	l := newEchoLink(t)
	c := dial(t, l)
	require.True(t, echoes(c, 10*time.Second))
	l.Reset()
	require.False(t, echoes(c, 10*time.Second))

	c = dial(t, l)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	_, err := io.ReadAll(c)
	require.NoError(t, err, "the half-close reaches the client")
}
