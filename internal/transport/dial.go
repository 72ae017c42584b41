package transport

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// redialDelay is the minimum time between a failed dial of an address and the next one.
const redialDelay = 300 * time.Millisecond

// peerConnection is the dialled connection to one address.
//
// The first connection uses the listening socket. Each later one has a socket of its
// own: if a device between the two ends has lost its state for the old pair of ports, a
// new connection must not use the same pair.
type peerConnection struct {
	addr string

	mu           sync.Mutex // held while dialling
	conn         *quic.Conn
	ownTransport *quic.Transport // nil if conn uses the shared transport
	link         string
	dialCount    int // number of dials so far
	lastFailure  time.Time
	stopMeter    func()
}

// Open implements Opener.
func (e *Endpoint) Open(ctx context.Context, addr string) (Stream, error) {
	c, err := e.connectionTo(addr)
	if err != nil {
		return nil, err
	}
	conn, link, err := c.connect(ctx, e)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connecting to %q", addr), ErrUnreachable)
	}
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "opening a stream to %q", addr), ErrUnreachable)
	}
	return newQUICStream(s, link, e.metrics), nil
}

// Forget implements Opener.
func (e *Endpoint) Forget(addr string) {
	e.mu.Lock()
	c := e.connections[addr]
	e.mu.Unlock()
	if c == nil {
		return
	}
	e.metrics.connectionsLost.Inc()
	c.close(closeUnresponsive, "silent")
}

// connectionTo returns the entry of addr, which it adds if there is none.
func (e *Endpoint) connectionTo(addr string) (*peerConnection, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil, errors.Wrap(ErrUnreachable, "endpoint is closed")
	}
	c := e.connections[addr]
	if c == nil {
		c = &peerConnection{addr: addr}
		e.connections[addr] = c
	}
	return c, nil
}

// connect returns the open connection or dials a new one.
func (c *peerConnection) connect(ctx context.Context, e *Endpoint) (*quic.Conn, string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil && c.conn.Context().Err() == nil {
		return c.conn, c.link, nil
	}
	if delay := time.Until(c.lastFailure.Add(redialDelay)); delay > 0 && !c.lastFailure.IsZero() {
		return nil, "", errors.Newf("the last dial failed less than %s ago", redialDelay)
	}
	c.closeLocked(closeUnresponsive, "replaced")
	if err := c.dialLocked(ctx, e); err != nil {
		e.metrics.dials.WithLabelValues("failed").Inc()
		c.lastFailure = time.Now()
		return nil, "", err
	}
	e.metrics.dials.WithLabelValues("connected").Inc()
	c.lastFailure = time.Time{}
	return c.conn, c.link, nil
}

// dialLocked dials a new connection. The caller holds c.mu.
func (c *peerConnection) dialLocked(ctx context.Context, e *Endpoint) error {
	udp, err := net.ResolveUDPAddr("udp", c.addr)
	if err != nil {
		return errors.Wrapf(err, "address %q", c.addr)
	}
	transport := e.sharedTransport
	if c.dialCount > 0 {
		socket, err := net.ListenUDP("udp", nil)
		if err != nil {
			return errors.Wrap(err, "opening a socket")
		}
		transport = &quic.Transport{Conn: socket}
		c.ownTransport = transport
	}
	c.dialCount++
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := transport.Dial(dialCtx, udp, e.tls, e.quic)
	if err != nil {
		c.closeLocked(closeUnresponsive, "handshake failed")
		return err
	}
	peer := peerOf(conn.ConnectionState().TLS, c.addr)
	c.conn, c.link = conn, linkClass(e.self, peer)
	c.stopMeter = e.startMeter(conn, c.link)
	e.metrics.connections.Inc()
	context.AfterFunc(conn.Context(), e.metrics.connections.Dec)
	return nil
}

// close closes the connection. The next connect dials a new one.
func (c *peerConnection) close(code quic.ApplicationErrorCode, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked(code, reason)
}

// closeLocked closes the connection and its own socket, if any. The caller holds c.mu.
func (c *peerConnection) closeLocked(code quic.ApplicationErrorCode, reason string) {
	if c.conn != nil {
		_ = c.conn.CloseWithError(code, reason)
		c.stopMeter()
		c.conn = nil
	}
	if c.ownTransport != nil {
		_ = c.ownTransport.Close()
		_ = c.ownTransport.Conn.Close()
		c.ownTransport = nil
	}
}
