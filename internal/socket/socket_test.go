package socket

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPeekState(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	remote, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	local, err := l.Accept()
	require.NoError(t, err)

	require.Equal(t, Idle, PeekState(local))
	_, err = remote.Write([]byte("ab"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return PeekState(local) == Readable }, time.Second, time.Millisecond)
	buf := make([]byte, 2)
	_, err = local.Read(buf)
	require.NoError(t, err)
	require.Equal(t, "ab", string(buf), "PeekState consumes no data")
	remote.Close()
	require.Eventually(t, func() bool { return PeekState(local) == Closed }, time.Second, time.Millisecond)
	local.Close()
	require.Equal(t, Closed, PeekState(local))
	a, _ := net.Pipe()
	require.Equal(t, Unknown, PeekState(a))
}
