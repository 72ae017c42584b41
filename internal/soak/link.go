package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const linkBuffer = 16 << 10 // bytes that a link reads at once

// LinkFault is a trouble of a link. The zero value is none.
type LinkFault struct {
	Delay time.Duration // of each piece that is passed on, both ways
	// HoldOut and HoldBack keep the bytes towards the server and back, the ends
	// of connections too, until the fault is over.
	HoldOut, HoldBack bool
}

// Link passes TCP connections on to a server and can harm them.
type Link struct {
	listener net.Listener
	server   string

	mu    sync.Mutex
	calm  *sync.Cond // signalled at each change of fault or of a connection's state
	fault LinkFault
	open  map[*linked]struct{}
}

// linked is one connection through a link.
type linked struct {
	client, server *net.TCPConn
	silent         bool // for good
	ended          bool
}

// NewLink links a new address on loopback to server (IP:port) until Close.
func NewLink(server string) (*Link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listening for a link")
	}
	l := &Link{listener: listener, server: server, open: make(map[*linked]struct{})}
	l.calm = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

// Addr returns the address that clients use in place of the server's.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Set sets the fault from now on; the zero value ends it.
func (l *Link) Set(f LinkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	l.calm.Broadcast()
}

// Reset resets all open connections at both ends.
func (l *Link) Reset() { l.each(func(c *linked) { l.end(c, true) }) }

// Silence keeps all bytes of the open connections for good, their ends too. New
// connections work.
func (l *Link) Silence() { l.each(func(c *linked) { c.silent = true }) }

// Close ends the link and its connections.
func (l *Link) Close() error {
	err := l.listener.Close()
	l.Reset()
	return errors.Wrap(err, "closing a link")
}

func (l *Link) each(f func(*linked)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		f(c)
	}
	l.calm.Broadcast()
}

// end closes a connection at both ends. The caller holds the lock.
func (l *Link) end(c *linked, reset bool) {
	if c.ended {
		return
	}
	c.ended = true
	delete(l.open, c)
	for _, conn := range []*net.TCPConn{c.client, c.server} {
		if reset {
			_ = conn.SetLinger(0)
		}
		_ = conn.Close()
	}
	l.calm.Broadcast()
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return // closed
		}
		go l.connect(client.(*net.TCPConn))
	}
}

func (l *Link) connect(client *net.TCPConn) {
	server, err := net.Dial("tcp4", l.server)
	if err != nil { // nothing listens: the client's connection is refused late
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	c := &linked{client: client, server: server.(*net.TCPConn)}
	l.mu.Lock()
	l.open[c] = struct{}{}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pump(c, c.client, c.server, func(f LinkFault) bool { return f.HoldOut }) })
	both.Go(func() { l.pump(c, c.server, c.client, func(f LinkFault) bool { return f.HoldBack }) })
	both.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end(c, false)
}

// pump passes bytes on in one direction until its end.
func (l *Link) pump(c *linked, from, to *net.TCPConn, holds func(LinkFault) bool) {
	buf := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buf)
		if !l.pass(c, holds) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			l.mu.Lock()
			defer l.mu.Unlock()
			l.end(c, true)
			return
		}
	}
}

// pass waits until bytes may be passed on; false: the connection has ended.
func (l *Link) pass(c *linked, holds func(LinkFault) bool) bool {
	l.mu.Lock()
	for !c.ended && (c.silent || holds(l.fault)) {
		l.calm.Wait()
	}
	delay, ended := l.fault.Delay, c.ended
	l.mu.Unlock()
	if delay > 0 && !ended {
		time.Sleep(delay)
	}
	return !ended
}
