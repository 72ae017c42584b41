package soak

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// short is longer than loopback takes and short enough for a test.
const short = 200 * time.Millisecond

// echo returns a link to a server that sends back what it gets.
func echo(t *testing.T) *Link {
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

// answers reports whether one byte comes back within d.
func answers(c net.Conn, d time.Duration) bool {
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(d))
	var one [1]byte
	_, err := c.Read(one[:])
	return err == nil
}

func TestLinkHoldsEitherWayAndLetsGo(t *testing.T) {
	for _, fault := range []LinkFault{{HoldOut: true}, {HoldBack: true}} {
		l := echo(t)
		c := dial(t, l)
		require.True(t, answers(c, 10*time.Second))
		l.Set(fault)
		require.False(t, answers(c, short), "%+v", fault)
		l.Set(LinkFault{})
		require.True(t, answers(c, 10*time.Second), "the bytes that were held arrive")
	}
}

func TestSilentConnectionsStaySilentAndNewOnesWork(t *testing.T) {
	l := echo(t)
	old := dial(t, l)
	require.True(t, answers(old, 10*time.Second))
	l.Silence()
	require.False(t, answers(old, short))
	require.True(t, answers(dial(t, l), 10*time.Second))
}

func TestLinkResetsAndPassesEndsOn(t *testing.T) {
	l := echo(t)
	c := dial(t, l)
	require.True(t, answers(c, 10*time.Second))
	l.Reset()
	require.False(t, answers(c, 10*time.Second))

	c = dial(t, l)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	_, err := io.ReadAll(c)
	require.NoError(t, err, "the end of the server's stream arrives")
}
