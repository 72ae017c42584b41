// Package httpsend tells an HTTP call of which no byte was sent from one that
// may have reached its server.
//
// Problem: a client may report "not run" only if that is proven. The errors of
// net/http do not say whether a byte left, and a write may still be under way
// in the transport while the caller looks at the error.
//
// Invariant: once Sent has returned false, no byte of the call is written.
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

// errSealed is the error of a write after the call was reported as not sent.
var errSealed = errors.New("call was given up before it was sent")

// TransportConfig configures a transport.
type TransportConfig struct {
	DialTimeout time.Duration
	IdleTimeout time.Duration
	MaxIdle     int  // idle connections kept
	Fresh       bool // use a new connection for each call
	Dial        Dial // default: TCP
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// NewTransport returns an HTTP/1.1 transport whose calls can be tracked. It
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
		DisableKeepAlives:   cfg.Fresh,
		IdleConnTimeout:     cfg.IdleTimeout,
		MaxIdleConns:        cfg.MaxIdle,
		MaxIdleConnsPerHost: cfg.MaxIdle,
	}
}

// Tracker follows one call.
type Tracker struct {
	mu     sync.Mutex
	conn   *conn
	before uint64 // writes on conn before the call
	sent   bool
}

// Track returns a context for one call and its tracker. The call must be made
// through a transport of NewTransport.
func Track(ctx context.Context) (context.Context, *Tracker) {
	t := &Tracker{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn}), t
}

func (t *Tracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = t.sent || t.written()
	raw := info.Conn
	if tlsConn, ok := raw.(*tls.Conn); ok {
		raw = tlsConn.NetConn()
	}
	c, ok := raw.(*conn)
	if !ok {
		t.sent = true // cannot be followed
		return
	}
	t.conn, t.before = c, c.count()
}

// Sent reports whether a byte of the call may have been sent. Call it after
// the call has failed.
func (t *Tracker) Sent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent = t.sent || t.written()
	return t.sent
}

// written reports whether the current connection was written to, and seals it
// if not. t.mu is held.
func (t *Tracker) written() bool {
	return t.conn != nil && !t.conn.seal(t.before)
}

// conn counts the writes of a connection.
type conn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64 // begun and not known to have sent nothing
	sealed bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if !c.begin() {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.undo()
	}
	return n, err
}

func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

func (c *conn) undo() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
}

func (c *conn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal forbids further writes if none was begun since before, and reports
// whether it did.
func (c *conn) seal(before uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != before {
		return false
	}
	c.sealed = true
	return true
}
