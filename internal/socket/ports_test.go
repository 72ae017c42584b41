package socket

import (
	"net"
	"os"
	"os/exec"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// ownIP is loopback that no other test of the repository listens on: those that
// run beside this one take ports of 127.0.0.1 between a choice and its use.
const ownIP = "127.0.0.77"

// A child that is being started holds a copy of every open socket until it runs
// its own program.
func TestFreeAddrIsFreeWhileProcessesStart(t *testing.T) {
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
					_ = exec.Command(os.Args[0], "-test.run=^$").Run() // that it starts is all
				}
			}
		})
	}
	defer started.Wait()
	defer close(done)
	for range rounds {
		addr, err := freeAddrOn(ownIP)
		require.NoError(t, err)
		l, err := net.Listen("tcp4", addr)
		require.NoError(t, err)
		require.NoError(t, l.Close())
	}
}
