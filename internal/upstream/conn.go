package upstream

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"github.com/mastichollow/mastichollow/internal/desync"
	"github.com/mastichollow/mastichollow/internal/socket"
)

const (
	// readBufferSize is the size in bytes of the read buffer; it holds some events of a
	// stream.
	readBufferSize = 4096
	// connHistorySize is the number of identifiers that a connection remembers.
	connHistorySize = 16
	// followingTimeout bounds the wait for the rest of a second response whose head seems
	// to begin at the end of a body.
	followingTimeout = 20 * time.Millisecond
)

// conn is a connection to a target that carries one call at a time.
type conn struct {
	raw         net.Conn
	addr        string
	reader      *bufio.Reader
	headLimiter headLimiter // the source of reader
	maybeSent   atomic.Bool // a byte of the current call may have been sent
	reused      bool
	notReusable bool            // it carried something else than the response to each call
	history     *desync.History // identifiers of the calls
	idleSince   time.Duration
	expires     time.Duration
}

func newConn(raw net.Conn, addr string) *conn {
	c := &conn{raw: raw, addr: addr, headLimiter: headLimiter{raw: raw}, history: desync.NewHistory(connHistorySize)}
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

// following returns the bytes that were received after a body. If there are none and wait
// is set, it waits for them for followingTimeout.
func (c *conn) following(wait bool) []byte {
	if wait && c.reader.Buffered() == 0 && socket.PeekState(c.raw) == socket.Idle {
		_ = c.raw.SetReadDeadline(time.Now().Add(followingTimeout)) // a closed connection has nothing to read
		c.readMore()
		_ = c.raw.SetReadDeadline(time.Time{})
	}
	// Without a deadline, which could pass before data that has arrived is read.
	if socket.PeekState(c.raw) == socket.Readable {
		c.readMore()
	}
	bytes, _ := c.reader.Peek(c.reader.Buffered())
	return bytes
}

// readMore reads into the buffer once. The connection cannot be reused after it.
func (c *conn) readMore() {
	c.notReusable = true
	if c.reader.Buffered() < readBufferSize {
		_, _ = c.reader.Peek(c.reader.Buffered() + 1) // what was read is in the buffer
	}
}
