// Package socket determines the state of connections without reading from them, and finds
// free addresses for programs under test.
package socket

import (
	"net"
	"syscall"
)

// State is the state of a connection as seen by its reader.
type State uint8

// States of a connection.
const (
	// Unknown: the connection has no file descriptor.
	Unknown State = iota
	// Idle: open, without unread data.
	Idle
	// Readable: unread data has arrived.
	Readable
	// Closed: closed or reset by the peer, or closed locally.
	Closed
)

// PeekState returns the state of c. It neither blocks nor consumes data.
func PeekState(c net.Conn) State {
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
			state = Idle
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
