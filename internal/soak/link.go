package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const linkBufferSize = 16 << 10 // bytes per read

// LinkFault is a fault of a link. The zero value is no fault.
type LinkFault struct {
	Delay time.Duration // added to each forwarded chunk, in both directions
	// BlockToServer and BlockToClient hold back the bytes of one direction, and the
	// end of its stream, until the fault is over.
	BlockToServer, BlockToClient bool
}

// Link is a TCP proxy in front of a server that can inject faults.
type Link struct {
	listener net.Listener
	server   string

	mu          sync.Mutex
	changed     *sync.Cond // signalled when the fault or the state of a connection changes
	fault       LinkFault
	connections map[*linkConn]struct{}
}

// linkConn is one connection through a link.
type linkConn struct {
	client, server *net.TCPConn
	blackholed     bool // forwards nothing until it is closed
	closed         bool
}

// NewLink forwards a new loopback address to server (IP:port) until Close.
func NewLink(server string) (*Link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listening for link")
	}
	l := &Link{listener: listener, server: server, connections: make(map[*linkConn]struct{})}
	l.changed = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

// Addr returns the address that clients use in place of the server's.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// SetFault sets the fault of the link; the zero value clears it.
func (l *Link) SetFault(f LinkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	l.changed.Broadcast()
}

// Reset resets all open connections at both ends.
func (l *Link) Reset() { l.forEachConn(func(c *linkConn) { l.closeConn(c, true) }) }

// Blackhole stops forwarding on the open connections for the rest of their lifetime,
// including the ends of their streams. New connections work.
func (l *Link) Blackhole() { l.forEachConn(func(c *linkConn) { c.blackholed = true }) }

// Close closes the listener and resets all connections.
func (l *Link) Close() error {
	err := l.listener.Close()
	l.Reset()
	return errors.Wrap(err, "closing link")
}

func (l *Link) forEachConn(f func(*linkConn)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		f(c)
	}
	l.changed.Broadcast()
}

// closeConn closes a connection at both ends. The caller must hold l.mu.
func (l *Link) closeConn(c *linkConn, reset bool) {
	if c.closed {
		return
	}
	c.closed = true
	delete(l.connections, c)
	for _, conn := range []*net.TCPConn{c.client, c.server} {
		if reset {
			_ = conn.SetLinger(0)
		}
		_ = conn.Close()
	}
	l.changed.Broadcast()
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return // closed
		}
		go l.forward(client.(*net.TCPConn))
	}
}

func (l *Link) forward(client *net.TCPConn) {
	server, err := net.Dial("tcp4", l.server)
	if err != nil { // nothing listens: reset the client's connection, which was already accepted
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	c := &linkConn{client: client, server: server.(*net.TCPConn)}
	l.mu.Lock()
	l.connections[c] = struct{}{}
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.copyBytes(c, c.client, c.server, func(f LinkFault) bool { return f.BlockToServer }) })
	wg.Go(func() { l.copyBytes(c, c.server, c.client, func(f LinkFault) bool { return f.BlockToClient }) })
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeConn(c, false)
}

// copyBytes forwards bytes in one direction until the end of the stream.
func (l *Link) copyBytes(c *linkConn, from, to *net.TCPConn, blocked func(LinkFault) bool) {
	buf := make([]byte, linkBufferSize)
	for {
		n, err := from.Read(buf)
		if !l.waitUnblocked(c, blocked) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				err = writeErr
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			l.mu.Lock()
			defer l.mu.Unlock()
			l.closeConn(c, true)
			return
		}
	}
}

// waitUnblocked waits until bytes may be forwarded and applies the delay of the fault.
// It returns false if the connection was closed.
func (l *Link) waitUnblocked(c *linkConn, blocked func(LinkFault) bool) bool {
	l.mu.Lock()
	for !c.closed && (c.blackholed || blocked(l.fault)) {
		l.changed.Wait()
	}
	delay, ended := l.fault.Delay, c.closed
	l.mu.Unlock()
	if delay > 0 && !ended {
		time.Sleep(delay)
	}
	return !ended
}
