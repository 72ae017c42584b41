package socket

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Ports that programs under test listen on lie below those that the kernel gives
// to clients (from 32768), so that none is taken between the choice and the
// program's start.
const (
	firstPort = 15000
	lastPort  = 32000
)

// nextPort begins elsewhere in each process, so that two rarely try the same.
var nextPort = func() *atomic.Int32 {
	var n atomic.Int32
	n.Store(int32(os.Getpid() * 61 % (lastPort - firstPort)))
	return &n
}()

// FreeAddr returns an address on loopback that nothing listens on, by TCP or
// UDP. A process gets each once, until all were handed out.
func FreeAddr() (string, error) { return freeAddrOn("127.0.0.1") }

func freeAddrOn(ip string) (string, error) {
	probeOnce()
	for range lastPort - firstPort {
		port := firstPort + int(nextPort.Add(1))%(lastPort-firstPort)
		addr := fmt.Sprintf("%s:%d", ip, port)
		free, err := isFree(addr)
		if err != nil {
			return "", err
		}
		if free {
			return addr, nil
		}
	}
	return "", errors.New("no port is left")
}

// probeOnce makes package os find out how it starts processes. It does so once, at
// the first start, by a child of its own that it forks without syscall.ForkLock and
// that would hold isFree's sockets for up to a millisecond.
var probeOnce = sync.OnceFunc(func() {
	if p, err := os.FindProcess(os.Getpid()); err == nil {
		_ = p.Release()
	}
})

// isFree reports whether nothing listens on addr. No process is started meanwhile:
// it would hold the sockets until it runs its own program, and whoever listens on
// addr next would find it taken.
func isFree(addr string) (bool, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false, nil //nolint:nilerr // taken
	}
	c, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false, errors.Wrap(l.Close(), "closing a socket")
	}
	return true, errors.Wrap(errors.CombineErrors(l.Close(), c.Close()), "closing sockets")
}
