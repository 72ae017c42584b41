package transport

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

// redialPause is how long an address that could not be dialled is left alone.
const redialPause = 300 * time.Millisecond

// dialed is the dialled connection to one address.
//
// The first connection shares the listening socket. Each later one has a
// socket of its own: if something between the two ends has lost track of the
// old pair of ports, a new connection must not use the same pair.
type dialed struct {
	addr string

	mu       sync.Mutex // held while dialling
	conn     *quic.Conn
	own      *quic.Transport // nil: conn uses the shared transport
	link     string
	dialedAt int // number of connections dialled so far
	failedAt time.Time
	stop     func()
}

// Open implements Opener.
func (e *Endpoint) Open(ctx context.Context, addr string) (Stream, error) {
	d, err := e.peer(addr)
	if err != nil {
		return nil, err
	}
	conn, link, err := d.connect(ctx, e)
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
	d := e.peers[addr]
	e.mu.Unlock()
	if d == nil {
		return
	}
	e.metrics.lost.Inc()
	d.drop(closeSilent, "silent")
}

// peer returns the entry of addr.
func (e *Endpoint) peer(addr string) (*dialed, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil, errors.Wrap(ErrUnreachable, "endpoint is closed")
	}
	d := e.peers[addr]
	if d == nil {
		d = &dialed{addr: addr}
		e.peers[addr] = d
	}
	return d, nil
}

// connect returns the open connection or dials one.
func (d *dialed) connect(ctx context.Context, e *Endpoint) (*quic.Conn, string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn != nil && d.conn.Context().Err() == nil {
		return d.conn, d.link, nil
	}
	if wait := time.Until(d.failedAt.Add(redialPause)); wait > 0 && !d.failedAt.IsZero() {
		return nil, "", errors.Newf("the last attempt failed less than %s ago", redialPause)
	}
	d.release(closeSilent, "replaced")
	if err := d.dial(ctx, e); err != nil {
		e.metrics.dials.WithLabelValues("failed").Inc()
		d.failedAt = time.Now()
		return nil, "", err
	}
	e.metrics.dials.WithLabelValues("connected").Inc()
	d.failedAt = time.Time{}
	return d.conn, d.link, nil
}

// dial makes a new connection. d.mu is held.
func (d *dialed) dial(ctx context.Context, e *Endpoint) error {
	udp, err := net.ResolveUDPAddr("udp", d.addr)
	if err != nil {
		return errors.Wrapf(err, "address %q", d.addr)
	}
	transport := e.shared
	if d.dialedAt > 0 {
		socket, err := net.ListenUDP("udp", nil)
		if err != nil {
			return errors.Wrap(err, "opening a socket")
		}
		transport = &quic.Transport{Conn: socket}
		d.own = transport
	}
	d.dialedAt++
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := transport.Dial(dialCtx, udp, e.tls, e.quic)
	if err != nil {
		d.release(closeSilent, "handshake failed")
		return err
	}
	peer := peerOf(conn.ConnectionState().TLS, d.addr)
	d.conn, d.link = conn, linkClass(e.self, peer)
	d.stop = e.meter(conn, d.link)
	e.metrics.connections.Inc()
	context.AfterFunc(conn.Context(), e.metrics.connections.Dec)
	return nil
}

// drop closes the connection; the next connect makes a new one.
func (d *dialed) drop(code quic.ApplicationErrorCode, why string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.release(code, why)
}

// release closes the connection and its own socket. d.mu is held.
func (d *dialed) release(code quic.ApplicationErrorCode, why string) {
	if d.conn != nil {
		_ = d.conn.CloseWithError(code, why)
		d.stop()
		d.conn = nil
	}
	if d.own != nil {
		_ = d.own.Close()
		_ = d.own.Conn.Close()
		d.own = nil
	}
}
