// Package upstream makes HTTP/1.1 calls to targets over a pool of persistent
// connections.
//
// Problem: the gate must know of each failed call whether a byte of it may have
// reached the target, and it must not take a late or extra response on a reused
// connection for the response to another request.
//
// Invariants:
//   - A call whose error is marked ErrNotSent has sent no byte.
//   - A response that carries another call's identifier is never returned.
//   - A response that consists of the bytes of two responses ends with an error
//     (package desync).
//   - A connection on which anything but one complete response was received is not
//     reused.
//
// Rejected alternative: the transport of net/http, which passes the first bytes that
// arrive to the waiting call and does not show whether the body was written.
package upstream

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/mastichollow/mastichollow/internal/budget"
	"github.com/mastichollow/mastichollow/internal/desync"
)

// Errors with which the errors of Pool.Do are marked.
var (
	// ErrNotSent: no byte of the call was sent.
	ErrNotSent = errors.New("call was not sent")
	// ErrUnreachable: no connection could be established. Also marked ErrNotSent.
	ErrUnreachable = errors.New("target cannot be reached")
	// ErrBusy: Call.MaxOpenConns connections are in use. Also marked ErrNotSent.
	ErrBusy = errors.New("all connections to the target are in use")
	// ErrLost: the call may have run, but no complete response arrived.
	ErrLost = errors.New("response was lost")
	// ErrMalformed: the bytes received are not a response to the call. Also marked
	// ErrLost.
	ErrMalformed = errors.New("response is malformed")
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead connection
	// within 2.5 s, mostly sooner than callers abort a stalled stream (after at least
	// 2 s, mostly 4 s).
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// unackedTimeout bounds how long sent bytes may stay unacknowledged: five
	// retransmissions of 200 ms each between regions with a round trip of 16 ms.
	unackedTimeout = 1200 * time.Millisecond
	// idleMargin is subtracted from a target's announced idle timeout, to allow for the
	// time that a call takes to arrive.
	idleMargin = 500 * time.Millisecond
	// defaultIdleTimeout applies to targets that announce no idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleSweepInterval is how often expired idle connections are closed.
	idleSweepInterval = time.Second
	// maxIdleConnsPerAddr bounds the idle connections per address.
	maxIdleConnsPerAddr = 24
	// historySize is the number of identifiers that a pool remembers: those of about a
	// minute of the busiest gates.
	historySize = 16 << 10
)

// Config configures a Pool.
type Config struct {
	DialTimeout time.Duration
	// ResponseMemory bounds what is kept of all responses together, beyond a small part
	// of each; nil: unlimited.
	ResponseMemory *budget.Bytes
	// Now is a monotonic clock.
	Now func() time.Duration
}

// Pool is a pool of connections to targets. Its methods are safe for concurrent use.
type Pool struct {
	config Config
	mu     sync.Mutex
	addrs  map[string]*addrConns
	onDial func()
	// history holds the identifiers of recent calls.
	history *desync.History
}

// addrConns holds the connections to one address.
type addrConns struct {
	idle []*conn // most recently used last
	open int     // idle and in use
}

// NewPool returns an empty pool. onDial, if not nil, is called for each new connection.
func NewPool(config Config, onDial func()) *Pool {
	return &Pool{config: config, addrs: make(map[string]*addrConns), onDial: onDial, history: desync.NewHistory(historySize)}
}

// Run closes expired idle connections until ctx ends, and then all idle ones.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeIdleWhere(func(*conn) bool { return true })
			return
		case <-ticker.C:
			now := p.config.Now()
			p.closeIdleWhere(func(c *conn) bool { return now >= c.expires })
		}
	}
}

func (p *Pool) closeIdleWhere(shouldClose func(*conn) bool) {
	var closing []*conn
	p.mu.Lock()
	for addr, conns := range p.addrs {
		remaining := conns.idle[:0]
		for _, c := range conns.idle {
			if shouldClose(c) {
				closing = append(closing, c)
				conns.open--
				continue
			}
			remaining = append(remaining, c)
		}
		clear(conns.idle[len(remaining):])
		conns.idle = remaining
		if conns.open == 0 {
			delete(p.addrs, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.close()
	}
}

// CloseIdle closes the idle connections to addr, for example when its target is
// draining or gone.
func (p *Pool) CloseIdle(addr string) {
	p.closeIdleWhere(func(c *conn) bool { return c.addr == addr })
}

// acquire returns a pooled connection that was idle for at most maxIdleTime, or dials a
// new one. Its error is marked ErrNotSent.
func (p *Pool) acquire(ctx context.Context, addr string, maxIdleTime time.Duration, maxOpenConns int) (*conn, error) {
	for {
		c, ok := p.popIdle(addr, maxIdleTime)
		if !ok {
			break
		}
		if c.idle() {
			return c, nil
		}
		p.discard(c)
	}
	if !p.reserve(addr, maxOpenConns) {
		return nil, errors.Mark(errors.Mark(errors.Newf("%d connections to %s are open", maxOpenConns, addr), ErrBusy), ErrNotSent)
	}
	c, err := p.dial(ctx, addr)
	if err != nil {
		p.release(addr)
		return nil, errors.Mark(errors.Mark(err, ErrUnreachable), ErrNotSent)
	}
	return c, nil
}

func (p *Pool) popIdle(addr string, maxIdleTime time.Duration) (*conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.addrs[addr]
	if conns == nil || len(conns.idle) == 0 {
		return nil, false
	}
	last := len(conns.idle) - 1
	c := conns.idle[last]
	now := p.config.Now()
	if now >= c.expires || now-c.idleSince > maxIdleTime {
		return nil, false
	}
	conns.idle[last] = nil
	conns.idle = conns.idle[:last]
	return c, true
}

// reserve counts a connection that is about to be opened, and reports whether the limit
// allows it. At the limit it closes the least recently used idle connection, if there is
// one; the call could not use it.
func (p *Pool) reserve(addr string, maxOpenConns int) bool {
	var oldest *conn
	p.mu.Lock()
	conns := p.addrs[addr]
	if conns == nil {
		conns = &addrConns{}
		p.addrs[addr] = conns
	}
	if maxOpenConns > 0 && conns.open >= maxOpenConns {
		if len(conns.idle) == 0 {
			p.mu.Unlock()
			return false
		}
		oldest = conns.idle[0]
		conns.idle = conns.idle[1:]
		conns.open--
	}
	conns.open++
	p.mu.Unlock()
	if oldest != nil {
		oldest.close()
	}
	return true
}

func (p *Pool) release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.addrs[addr]
	if conns == nil {
		return
	}
	if conns.open--; conns.open <= 0 && len(conns.idle) == 0 {
		delete(p.addrs, addr)
	}
}

func (p *Pool) discard(c *conn) {
	c.close()
	p.release(c.addr)
}

func (p *Pool) putIdle(c *conn, maxIdleTime time.Duration) {
	c.idleSince = p.config.Now()
	c.expires = c.idleSince + maxIdleTime
	c.reused = true
	p.mu.Lock()
	conns := p.addrs[c.addr]
	full := conns == nil || len(conns.idle) >= maxIdleConnsPerAddr
	if !full {
		conns.idle = append(conns.idle, c)
	}
	p.mu.Unlock()
	if full {
		p.discard(c)
	}
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	dialer := net.Dialer{
		Timeout: p.config.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUnackedTimeout,
	}
	raw, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "connecting to %s", addr)
	}
	if p.onDial != nil {
		p.onDial()
	}
	return newConn(raw, addr), nil
}

// setUnackedTimeout makes a connection fail if sent bytes stay unacknowledged.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, sockoptErr)
}

// Refused reports whether addr refuses connections. It opens a connection and closes it.
func (p *Pool) Refused(ctx context.Context, addr string) bool {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.close()
	return false
}
