// Package httpsend distinguishes an HTTP call of which no byte was sent from one that
// may have reached its server.
//
// Problem: a client may report "not run" only if that is proven. The errors of
// net/http do not show whether a byte was sent, and the transport may still be writing
// while the caller handles the error.
//
// Invariant: once Tracker.Sent has returned false, no byte of the call is written.
package httpsend

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errWritesBlocked is the error of a write after its call was reported as not sent.
var errWritesBlocked = errors.New("call was given up before it was sent")

// TransportConfig configures a transport.
type TransportConfig struct {
	DialTimeout       time.Duration
	IdleTimeout       time.Duration
	MaxIdleConns      int  // limit of idle connections
	DisableKeepAlives bool // use a new connection for each call
	Dial              Dial // default: TCP
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// NewTransport returns an HTTP/1.1 transport whose calls can be tracked with Track. It
// neither uses proxies nor changes the encoding of bodies.
func NewTransport(cfg TransportConfig) *http.Transport {
	dial := cfg.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: cfg.DialTimeout}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		DisableCompression:  true,
		DisableKeepAlives:   cfg.DisableKeepAlives,
		IdleConnTimeout:     cfg.IdleTimeout,
		MaxIdleConns:        cfg.MaxIdleConns,
		MaxIdleConnsPerHost: cfg.MaxIdleConns,
	}
}

// Tracker records whether a byte of one call may have been sent.
type Tracker struct {
	mu           sync.Mutex
	conn         *conn
	writesBefore uint64 // writes on conn before the call
	sent         bool
}

// Track returns a context for one call, and the call's tracker. The call must use a
// transport from NewTransport; any other counts as sent.
func Track(ctx context.Context) (context.Context, *Tracker) {
	t := &Tracker{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn}), t
}

func (t *Tracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = t.sent || t.writtenOrBlock()
	raw := info.Conn
	if tlsConn, ok := raw.(*tls.Conn); ok {
		raw = tlsConn.NetConn()
	}
	c, ok := raw.(*conn)
	if !ok {
		t.sent = true // cannot be tracked
		return
	}
	t.conn, t.writesBefore = c, c.writeCount()
}

// Sent reports whether a byte of the call may have been sent. It is meant to be called
// after the call has failed. If it returns false, it blocks later writes of the call.
func (t *Tracker) Sent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = t.sent || t.writtenOrBlock()
	return t.sent
}

// writtenOrBlock reports whether the current connection was written to, and blocks
// later writes on it if not. t.mu must be held.
func (t *Tracker) writtenOrBlock() bool {
	return t.conn != nil && !t.conn.blockIfUnwritten(t.writesBefore)
}

// conn counts the writes on a connection.
type conn struct {
	net.Conn
	mu      sync.Mutex
	writes  uint64 // started, without those that failed with nothing written
	blocked bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errWritesBlocked
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.undoWrite()
	}
	return n, err
}

func (c *conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocked {
		return false
	}
	c.writes++
	return true
}

func (c *conn) undoWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
}

func (c *conn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// blockIfUnwritten blocks further writes if none was started since the count was before,
// and reports whether it did.
func (c *conn) blockIfUnwritten(before uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != before {
		return false
	}
	c.blocked = true
	return true
}
