package upstream

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"github.com/mastichollow/mastichollow/internal/socket"
)

// readBufferSize is the size in bytes of the read buffer; it holds some events of a
// stream.
const readBufferSize = 4096

// conn is a connection to a target that carries one call at a time.
type conn struct {
	raw         net.Conn
	addr        string
	reader      *bufio.Reader
	headLimiter headLimiter // the source of reader
	maybeSent   atomic.Bool // a byte of the current call may have been sent
	reused      bool
	idleSince   time.Duration
	expires     time.Duration
}

func newConn(raw net.Conn, addr string) *conn {
	c := &conn{raw: raw, addr: addr, headLimiter: headLimiter{raw: raw}}
	c.reader = bufio.NewReaderSize(&c.headLimiter, readBufferSize)
	return c
}

// Write implements io.Writer and records that bytes may have been sent.
func (c *conn) Write(p []byte) (int, error) {
	c.maybeSent.Store(true)
	return c.raw.Write(p)
}

// close closes the connection. The error is ignored: it has no bearing on the call.
func (c *conn) close() { _ = c.raw.Close() }

// idle reports whether the connection is open and has no unread data.
func (c *conn) idle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	state := socket.PeekState(c.raw)
	return state == socket.Idle || state == socket.Unknown
}
