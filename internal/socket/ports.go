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

// The ports for programs under test lie below the kernel's ephemeral range (from
// 32768), so that no client takes one between its choice and the program's start.
const (
	firstPort = 15000
	lastPort  = 32000
)

// nextPort starts at a different offset in each process, so that two processes rarely
// try the same port.
var nextPort = func() *atomic.Int32 {
	var n atomic.Int32
	n.Store(int32(os.Getpid() * 61 % (lastPort - firstPort)))
	return &n
}()

// FreeAddr returns a loopback address (IP:port) that nothing listens on, neither by TCP
// nor by UDP. It returns an address again only after all others were returned.
func FreeAddr() (string, error) { return freeAddrOnIP("127.0.0.1") }

func freeAddrOnIP(ip string) (string, error) {
	initProcessStart()
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
	return "", errors.New("no free port")
}

// initProcessStart triggers the check by which package os finds out how it can start
// processes. At the first start, package os forks a child for it without holding
// syscall.ForkLock, and this child would hold isFree's sockets for up to a millisecond.
var initProcessStart = sync.OnceFunc(func() {
	if p, err := os.FindProcess(os.Getpid()); err == nil {
		_ = p.Release()
	}
})

// isFree reports whether nothing listens on addr. It holds syscall.ForkLock, since a
// process forked meanwhile would inherit the sockets until it executes its program, and
// the next listener on addr would find it in use.
func isFree(addr string) (bool, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return false, nil //nolint:nilerr // in use
	}
	c, err := net.ListenPacket("udp", addr)
	if err != nil {
		return false, errors.Wrap(l.Close(), "closing a socket")
	}
	return true, errors.Wrap(errors.CombineErrors(l.Close(), c.Close()), "closing sockets")
}
