// Package upstream makes HTTP/1.1 calls to targets over kept connections.
//
// Problem: the gate must know of each failed call whether a byte of it may
// have reached the target, and it must not take a late or extra answer on a
// kept connection for the answer to another request.
//
// Invariants: a call whose error is marked ErrNotSent has sent no byte; an
// answer that bears another call's identifier is never returned; a connection
// on which anything but one whole answer was seen is not used again.
//
// Rejected: the transport of net/http, which hands the first bytes that arrive
// to the waiting call and does not show whether the body was written.
package upstream

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Marks of errors.
var (
	// ErrNotSent: no byte of the call has left.
	ErrNotSent = errors.New("call was not sent")
	// ErrUnreachable goes with ErrNotSent: no connection could be made.
	ErrUnreachable = errors.New("target cannot be reached")
	// ErrBusy goes with ErrNotSent: all connections allowed are in use.
	ErrBusy = errors.New("all connections to the target are in use")
	// ErrLost: the call may have run; no answer came.
	ErrLost = errors.New("answer was lost")
	// ErrMalformed goes with ErrLost: what came is no answer to the call.
	ErrMalformed = errors.New("answer is malformed")
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a dead kept
	// connection within 2.5 s, sooner than callers give up a stream (2 s at
	// least, mostly 4 s).
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// unackedTimeout bounds how long written bytes may go unacknowledged: five
	// retransmissions between regions at 16 ms a round trip and 200 ms each.
	unackedTimeout = 1200 * time.Millisecond
	// idleMargin is taken off a target's announced idle timeout for the time
	// that a call is on its way.
	idleMargin = 500 * time.Millisecond
	// defaultIdle applies to targets that announce no timeout.
	defaultIdle = 4 * time.Second
	// sweepInterval is the pause between two removals of idle connections.
	sweepInterval = time.Second
	// maxKept bounds the idle connections that are kept for one address.
	maxKept = 24
)

// Config configures a Pool.
type Config struct {
	DialTimeout time.Duration
	// Now is a clock that only goes forward.
	Now func() time.Duration
}

// Pool keeps connections to targets.
type Pool struct {
	config Config
	mu     sync.Mutex
	hosts  map[string]*host
	dialed func()
}

type host struct {
	idle []*conn // the one used last at the end
	open int
}

// NewPool returns an empty pool. dialed is called for each new connection.
func NewPool(config Config, dialed func()) *Pool {
	return &Pool{config: config, hosts: make(map[string]*host), dialed: dialed}
}

// Run closes connections that have been idle for too long until ctx ends, and
// then all idle ones.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweep(func(*conn) bool { return true })
			return
		case <-ticker.C:
			now := p.config.Now()
			p.sweep(func(c *conn) bool { return now >= c.expires })
		}
	}
}

func (p *Pool) sweep(drop func(*conn) bool) {
	var dropped []*conn
	p.mu.Lock()
	for addr, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if drop(c) {
				dropped = append(dropped, c)
				h.open--
				continue
			}
			kept = append(kept, c)
		}
		clear(h.idle[len(kept):])
		h.idle = kept
		if h.open == 0 {
			delete(p.hosts, addr)
		}
	}
	p.mu.Unlock()
	for _, c := range dropped {
		c.close()
	}
}

// Forget closes the idle connections to addr, such as after its target left.
func (p *Pool) Forget(addr string) {
	p.sweep(func(c *conn) bool { return c.addr == addr })
}

// take returns a kept connection that was idle for at most maxIdle, or makes a
// new one. Its error is marked ErrNotSent.
func (p *Pool) take(ctx context.Context, addr string, maxIdle time.Duration, maxOpen int) (*conn, error) {
	for {
		c, ok := p.takeIdle(addr, maxIdle)
		if !ok {
			break
		}
		if c.quiet() {
			return c, nil
		}
		p.discard(c)
	}
	if !p.reserve(addr, maxOpen) {
		return nil, errors.Mark(errors.Mark(errors.Newf("%d connections to %s are open", maxOpen, addr), ErrBusy), ErrNotSent)
	}
	c, err := p.dial(ctx, addr)
	if err != nil {
		p.release(addr)
		return nil, errors.Mark(errors.Mark(err, ErrUnreachable), ErrNotSent)
	}
	return c, nil
}

func (p *Pool) takeIdle(addr string, maxIdle time.Duration) (*conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h == nil || len(h.idle) == 0 {
		return nil, false
	}
	last := len(h.idle) - 1
	c := h.idle[last]
	now := p.config.Now()
	if now >= c.expires || now-c.idleSince > maxIdle {
		return nil, false
	}
	h.idle[last] = nil
	h.idle = h.idle[:last]
	return c, true
}

// reserve counts a connection that is about to be opened. An idle one that the
// call could not use makes room.
func (p *Pool) reserve(addr string, maxOpen int) bool {
	var oldest *conn
	p.mu.Lock()
	h := p.hosts[addr]
	if h == nil {
		h = &host{}
		p.hosts[addr] = h
	}
	if maxOpen > 0 && h.open >= maxOpen {
		if len(h.idle) == 0 {
			p.mu.Unlock()
			return false
		}
		oldest = h.idle[0]
		h.idle = h.idle[1:]
		h.open--
	}
	h.open++
	p.mu.Unlock()
	if oldest != nil {
		oldest.close()
	}
	return true
}

func (p *Pool) release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	if h == nil {
		return
	}
	if h.open--; h.open <= 0 && len(h.idle) == 0 {
		delete(p.hosts, addr)
	}
}

func (p *Pool) discard(c *conn) {
	c.close()
	p.release(c.addr)
}

func (p *Pool) put(c *conn, idle time.Duration) {
	c.idleSince = p.config.Now()
	c.expires = c.idleSince + idle
	c.reused = true
	p.mu.Lock()
	h := p.hosts[c.addr]
	full := h == nil || len(h.idle) >= maxKept
	if !full {
		h.idle = append(h.idle, c)
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
		Control: limitUnacked,
	}
	raw, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "connecting to %s", addr)
	}
	if p.dialed != nil {
		p.dialed()
	}
	return newConn(raw, addr), nil
}

// limitUnacked makes a connection fail whose bytes are not acknowledged.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}
