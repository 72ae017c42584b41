package socket

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLookSeesWhatWaits(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	far, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	near, err := l.Accept()
	require.NoError(t, err)

	require.Equal(t, Quiet, Look(near))
	_, err = far.Write([]byte("ab"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return Look(near) == Readable }, time.Second, time.Millisecond)
	buf := make([]byte, 2)
	_, err = near.Read(buf)
	require.NoError(t, err)
	require.Equal(t, "ab", string(buf), "looking takes nothing away")
	far.Close()
	require.Eventually(t, func() bool { return Look(near) == Closed }, time.Second, time.Millisecond)
	near.Close()
	require.Equal(t, Closed, Look(near))
	a, _ := net.Pipe()
	require.Equal(t, Unknown, Look(a))
}
