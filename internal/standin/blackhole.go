package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// blackholeListener can blackhole the connections that it has accepted: from then on their
// bytes are dropped in both directions, and the peer does not see a close. Connections
// accepted later work.
type blackholeListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*blackholeConn]struct{}
}

func newBlackholeListener(l net.Listener) *blackholeListener {
	return &blackholeListener{Listener: l, conns: make(map[*blackholeConn]struct{})}
}

// Accept implements net.Listener.
func (l *blackholeListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &blackholeConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[wrapped] = struct{}{}
	return wrapped, nil
}

// blackhole drops all further bytes of the open connections and returns their number.
func (l *blackholeListener) blackhole() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		conn.blackholed.Store(true)
	}
	return len(l.conns)
}

// closeUnread closes the connections on which nothing was received, because a server that
// shuts down would wait for them.
func (l *blackholeListener) closeUnread() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if !c.received.Load() {
			_ = c.Conn.Close()
		}
	}
}

func (l *blackholeListener) remove(c *blackholeConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// blackholeConn drops all bytes once it is blackholed.
type blackholeConn struct {
	net.Conn
	listener   *blackholeListener
	blackholed atomic.Bool
	received   atomic.Bool // bytes were read
}

// Read implements net.Conn.
func (c *blackholeConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		c.received.Store(true)
		if err != nil || !c.blackholed.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The peer of a blackholed connection sees no close before it
// closes its own end.
func (c *blackholeConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
