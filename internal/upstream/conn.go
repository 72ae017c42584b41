package upstream

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"github.com/mastichollow/mastichollow/internal/socket"
)

// readBufferSize holds some events of a stream, in bytes.
const readBufferSize = 4096

// conn is a connection to a target that carries one call at a time.
type conn struct {
	raw       net.Conn
	addr      string
	reader    *bufio.Reader
	heads     headLimit   // below reader
	written   atomic.Bool // a byte of the current call may have left
	reused    bool
	idleSince time.Duration
	expires   time.Duration
}

func newConn(raw net.Conn, addr string) *conn {
	c := &conn{raw: raw, addr: addr, heads: headLimit{raw: raw}}
	c.reader = bufio.NewReaderSize(&c.heads, readBufferSize)
	return c
}

// Write implements io.Writer and notes that bytes may have left.
func (c *conn) Write(p []byte) (int, error) {
	c.written.Store(true)
	return c.raw.Write(p)
}

// close closes the connection. Its error says nothing about the call.
func (c *conn) close() { _ = c.raw.Close() }

// quiet reports whether the idle connection is open and has received nothing.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	state := socket.Look(c.raw)
	return state == socket.Quiet || state == socket.Unknown
}
