package socket

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// testIP is a loopback address that no other test of the repository listens on: tests
// that run concurrently may take a port of 127.0.0.1 between its choice and its use.
const testIP = "127.0.0.77"

// A forked child holds a copy of every open socket until it executes its program. The
// address must be free nevertheless.
func TestFreeAddrWhileProcessesStart(t *testing.T) {
	const (
		starters = 4
		rounds   = 2000
	)
	done := make(chan struct{})
	var started sync.WaitGroup
	for range starters {
		started.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					_ = exec.Command(os.Args[0], "-test.run=^$").Run() // only the start matters
				}
			}
		})
	}
	defer started.Wait()
	defer close(done)
	for range rounds {
		addr, err := freeAddrOnIP(testIP)
		require.NoError(t, err)
		l, err := net.Listen("tcp4", addr)
		require.NoError(t, err)
		require.NoError(t, l.Close())
	}
}
