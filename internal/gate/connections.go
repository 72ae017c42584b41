package gate

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/mastichollow/mastichollow/internal/socket"
)

const (
	// acceptPollInterval is how often a listener that waits for connections to close checks
	// that it was not closed itself.
	acceptPollInterval = 50 * time.Millisecond
	// closeIdleFraction is the fraction of the open connections that is closed at once when
	// their bound is reached, so that not each new connection waits for an old one to close.
	closeIdleFraction = 0.03
	// minIdleTime is how long a connection must have been idle to be closed for another. A
	// caller that has just got a response is likely to send its next request.
	minIdleTime = time.Second
)

// connections tracks the callers' connections of a gate.
type connections struct {
	open   atomic.Int64
	active atomic.Int64 // on which a request is read or served

	mu     sync.Mutex
	phases map[net.Conn]*connPhase
	idle   list.List // of net.Conn, longest idle first
	// pending holds the connections whose caller owes the rest of a request: those on which no
	// head was read yet, and those whose request was not forwarded yet, longest first.
	pending list.List     // of net.Conn
	changed chan struct{} // a connection was closed
	// listener is nil until LimitConnections.
	listener net.Listener
}

// connPhase is the state of one connection.
type connPhase struct {
	active  bool
	idle    *list.Element // nil: not idle
	pending *list.Element // nil: the caller owes nothing
	since   time.Time     // in this state
}

func newConnections() *connections {
	return &connections{phases: make(map[net.Conn]*connPhase), changed: make(chan struct{}, 1)}
}

// setState applies a change that http.Server reports.
func (c *connections) setState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	phase := c.phases[conn]
	if phase == nil {
		if state != http.StateNew {
			return // already closed
		}
		c.phases[conn] = &connPhase{pending: c.pending.PushBack(conn), since: time.Now()}
		c.open.Add(1)
		return
	}
	c.removePending(phase)
	if phase.idle != nil {
		c.idle.Remove(phase.idle)
		phase.idle = nil
	}
	if phase.active != (state == http.StateActive) {
		phase.active = !phase.active
		if phase.active {
			c.active.Add(1)
		} else {
			c.active.Add(-1)
		}
	}
	switch state {
	case http.StateActive:
		phase.pending, phase.since = c.pending.PushBack(conn), time.Now()
	case http.StateIdle:
		phase.idle, phase.since = c.idle.PushBack(conn), time.Now()
	case http.StateClosed, http.StateHijacked:
		delete(c.phases, conn)
		c.open.Add(-1)
		select {
		case c.changed <- struct{}{}:
		default:
		}
	}
}

// closeIdle closes up to n of the connections that have been idle for the longest time.
// A request that is on its way on one of them is lost, which a connection that has been idle
// for long makes unlikely; one that has arrived keeps its connection. Connections are closed
// under the mutex: a request that arrives meanwhile becomes active only after the close, which
// Protect then reports, so that it is not forwarded.
func (c *connections) closeIdle(n int) int {
	closed := 0
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.idle.Front(); e != nil && closed < n; {
		conn, _ := e.Value.(net.Conn)
		phase, next := c.phases[conn], e.Next()
		if time.Since(phase.since) < minIdleTime {
			break
		}
		if socket.PeekState(conn) == socket.Idle {
			c.idle.Remove(e)
			phase.idle = nil
			_ = conn.Close() // the server reports it as closed
			closed++
		}
		e = next
	}
	return closed
}

// removePending records that the caller of a connection owes nothing. The caller of the method
// holds mu.
func (c *connections) removePending(phase *connPhase) {
	if phase.pending != nil {
		c.pending.Remove(phase.pending)
		phase.pending = nil
	}
}

// setForwarding records that the request on a connection is about to be forwarded.
func (c *connections) setForwarding(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if phase := c.phases[conn]; phase != nil {
		c.removePending(phase)
	}
}

// hasSilent reports whether a caller has owed a head, or a body, for minIdleTime.
func (c *connections) hasSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := c.pending.Front()
	if oldest == nil {
		return false
	}
	conn, _ := oldest.Value.(net.Conn)
	return time.Since(c.phases[conn].since) >= minIdleTime
}

// backlog returns the number of connections that the kernel has accepted for the listener
// and the gate has not; 0 if it is unknown.
func (c *connections) backlog() int {
	c.mu.Lock()
	listener := c.listener
	c.mu.Unlock()
	sc, ok := listener.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	length := 0
	_ = raw.Control(func(fd uintptr) { // a closed listener has no backlog
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			length = int(info.Unacked) // for a listening socket, the kernel reports its backlog there
		}
	})
	return length
}

// limitedListener accepts no connection while the bound is reached. Callers that connect and
// send no whole request must not keep others out: while there are such connections, it accepts up to
// the bound of the listener below, which closes them.
type limitedListener struct {
	net.Listener
	connections *connections
	limit       int
	onLimit     func(closed int)
	closed      atomic.Bool
}

// LimitConnections returns a listener for callers that accepts at most
// Config.MaxConnections at a time, unless some send no request. At that bound, the connections
// that have been idle for the longest time are closed, so that their callers come back at
// other gates; without one, new connections stay in the kernel's backlog. It requires
// ConnState.
func (g *Gate) LimitConnections(l net.Listener) net.Listener {
	g.connections.mu.Lock()
	g.connections.listener = l
	g.connections.mu.Unlock()
	if g.config.MaxConnections <= 0 {
		return l
	}
	return &limitedListener{Listener: l, connections: g.connections, limit: g.config.MaxConnections, onLimit: func(closed int) {
		g.metrics.closedIdle.Add(float64(closed))
	}}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for int(l.connections.open.Load()) >= l.limit {
		if l.closed.Load() {
			return nil, errors.WithStack(net.ErrClosed)
		}
		closed := l.connections.closeIdle(max(1, int(closeIdleFraction*float64(l.limit))))
		l.onLimit(closed)
		if closed == 0 && l.connections.hasSilent() {
			break
		}
		select {
		case <-l.connections.changed:
		case <-time.After(acceptPollInterval):
		}
	}
	return l.Listener.Accept()
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}
