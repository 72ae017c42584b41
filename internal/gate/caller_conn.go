package gate

import (
	"net"
	"net/http"
	"time"
)

// callerConn is the account of what a caller's connection makes the gate hold; see
// internal/connlimit.
type callerConn interface {
	// Grow adds n bytes until the request ends. If it reports false, the connection is
	// closed.
	Grow(n int64) bool
	// Protect keeps the connection from being closed until the request ends. If it reports
	// false, the connection is closed, and the request must not be forwarded.
	Protect() bool
	// SetWorkspace accounts for the connection under a workspace.
	SetWorkspace(name string)
}

// unreadBodyTimeout bounds how long the server waits for the body of a request that was
// refused before it was read, and for a caller to read a refusal.
const unreadBodyTimeout = 5 * time.Second

func (c *call) callerConn() callerConn {
	conn, _ := c.r.Context().Value(connKey{}).(callerConn)
	return conn
}

// protect must be called before the request is forwarded. It reports false if the
// connection was closed because of a limit: the request must not be forwarded.
func (c *call) protect() bool {
	if conn, ok := c.r.Context().Value(connKey{}).(net.Conn); ok {
		c.gate.connections.setForwarding(conn)
	}
	conn := c.callerConn()
	return conn == nil || conn.Protect()
}

// chargeBody charges the connection for a body of n bytes in total.
func (c *call) chargeBody(n int64) bool {
	conn, more := c.callerConn(), n-c.bodyCharged
	if conn == nil || more <= 0 {
		return true
	}
	c.bodyCharged = n
	return conn.Grow(more)
}

// boundRefusal bounds the time for which a refused caller keeps its connection in use
// without sending the body or reading the refusal.
func (c *call) boundRefusal() {
	control := http.NewResponseController(c.w)
	deadline := time.Now().Add(unreadBodyTimeout)
	_ = control.SetWriteDeadline(deadline) // the recorders of tests have none
	if c.r.ContentLength != 0 && c.body == nil {
		_ = control.SetReadDeadline(deadline)
	}
}
