// Package socket looks at connections without reading from them.
package socket

import (
	"net"
	"syscall"
)

// State is what waits on a connection.
type State uint8

// States of a connection.
const (
	// Unknown: the connection cannot be looked at.
	Unknown State = iota
	// Quiet: open, and nothing has arrived.
	Quiet
	// Readable: bytes have arrived.
	Readable
	// Closed: the peer has closed or reset it, or it is closed here.
	Closed
)

// Look returns the state of c without blocking.
func Look(c net.Conn) State {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = Readable
		case err == syscall.EAGAIN || err == syscall.EWOULDBLOCK || err == syscall.EINTR:
			state = Quiet
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
