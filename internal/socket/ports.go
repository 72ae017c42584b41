package socket

import (
	"fmt"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Ports that programs under test listen on lie below those that the kernel gives
// to clients (from 32768), so that none is taken between the choice and the
// program's start.
const (
	firstPort = 15000
	lastPort  = 32000
)

var nextPort atomic.Int32

// FreeAddr returns an address on loopback that nothing listens on, by TCP or
// UDP. Each is returned once in a process.
func FreeAddr() (string, error) {
	for {
		port := firstPort + int(nextPort.Add(1))
		if port > lastPort {
			return "", errors.New("no port is left")
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue // taken
		}
		c, err := net.ListenPacket("udp", addr)
		_ = l.Close()
		if err != nil {
			continue // taken
		}
		return addr, errors.Wrap(c.Close(), "closing a socket")
	}
}
