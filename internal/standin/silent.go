package standin

import (
	"net"
	"sync"
	"sync/atomic"
)

// silentListener can silence the connections that it has accepted: their bytes
// are lost both ways from then on and no end is told. Later connections work.
type silentListener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*silentConn]struct{}
}

func newSilentListener(l net.Listener) *silentListener {
	return &silentListener{Listener: l, conns: make(map[*silentConn]struct{})}
}

// Accept implements net.Listener.
func (l *silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	sc := &silentConn{Conn: c, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[sc] = struct{}{}
	return sc, nil
}

// silence silences the connections that are open and returns their number.
func (l *silentListener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
	return len(l.conns)
}

// closeUnused closes the connections on which nothing was received. A server
// that shuts down would wait for them.
func (l *silentListener) closeUnused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if !c.used.Load() {
			_ = c.Conn.Close()
		}
	}
}

func (l *silentListener) forget(c *silentConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// silentConn loses its bytes once it is silent.
type silentConn struct {
	net.Conn
	listener *silentListener
	silent   atomic.Bool
	used     atomic.Bool // bytes were read
}

// Read implements net.Conn.
func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		c.used.Store(true)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The peer of a silent connection is told nothing
// until its own end closes.
func (c *silentConn) Close() error {
	c.listener.forget(c)
	return c.Conn.Close()
}
