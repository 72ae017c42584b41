package connlimit

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// maxWait bounds the wait for connections that were told to close: their servers notice it
// at the next read or write.
const maxWait = time.Second

// errLimit ends a connection that was closed because of a limit.
var errLimit = errors.New("connection closed: limit of memory or of connections")

// Listener accepts connections that are members of an account.
type Listener struct {
	net.Listener
	account *Account
	stats   *Stats
	name    string
}

// NewListener returns a listener that accepts the connections of inner, which must be of TCP,
// as members of account. name is its name in stats.
func NewListener(inner net.Listener, account *Account, stats *Stats, name string) *Listener {
	stats.watch(name, account)
	return &Listener{Listener: inner, account: account, stats: stats, name: name}
}

// Accept implements net.Listener. A connection that does not fit into the account is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := inner.(*net.TCPConn)
		if !ok {
			return inner, nil
		}
		if c := l.join(tcp); c != nil {
			return c, nil
		}
	}
}

// SyscallConn implements syscall.Conn if the inner listener does.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	inner, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.New("listener without a descriptor")
	}
	return inner.SyscallConn()
}

// join returns the connection as a member of the account, or nil after closing it.
func (l *Listener) join(tcp *net.TCPConn) *Conn {
	c := &Conn{TCPConn: tcp, listener: l}
	name := ""
	if addr, ok := tcp.RemoteAddr().(*net.TCPAddr); ok {
		name = addr.IP.String()
	}
	granted := l.ask(func() verdict {
		var v verdict
		c.member, v = l.account.join(name, ConnBytes, c.evict)
		return v
	})
	if !granted {
		_ = tcp.Close()
		return nil
	}
	return c
}

// ask asks the account until it grants or refuses, and closes the connections that it names.
func (l *Listener) ask(question func() verdict) bool {
	var timeout <-chan time.Time
	for {
		v := question()
		for _, victim := range v.victims {
			victim.close(v.cause)
		}
		if v.granted || v.wait == nil {
			if !v.granted {
				l.stats.refused(l.name, v.cause)
			}
			return v.granted
		}
		if timeout == nil {
			timer := time.NewTimer(maxWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-v.wait:
		case <-timeout:
			l.stats.refused(l.name, v.cause)
			return false
		}
	}
}

// Configure sets the server's hook for the states of connections, which calls an existing
// one, the context of connections and the bounds that are not set.
func Configure(server *http.Server) {
	next := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*Conn); ok {
			conn.setState(state)
		}
		if next != nil {
			next(c, state)
		}
	}
	if server.ConnContext == nil {
		server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}
	}
	if server.ReadHeaderTimeout == 0 {
		server.ReadHeaderTimeout = HeaderTimeout
	}
	if server.IdleTimeout == 0 {
		server.IdleTimeout = IdleTimeout
	}
	if server.MaxHeaderBytes == 0 {
		server.MaxHeaderBytes = MaxHeaderBytes
	}
}

// SmallLimits are the limits of listeners with few clients, such as the load balancer's
// health checks and the collector of metrics.
var SmallLimits = Limits{Memory: 1 << 20, Conns: 32}

// Defaults of Configure.
const (
	// HeaderTimeout is twice the limit of 3 s that tables set for callers.
	HeaderTimeout = 6 * time.Second
	// IdleTimeout is above the limit that tables set for callers (15 s, of which callers
	// use four fifths).
	IdleTimeout = 16 * time.Second
	// MaxHeaderBytes is above the limit that tables set for callers (16 KiB). net/http
	// allows 4 KiB more.
	MaxHeaderBytes = 20 << 10
)

// Conn is a connection that is a member of an account.
type Conn struct {
	*net.TCPConn
	listener *Listener
	member   *Member
	scanner  headScanner
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		if charged := c.scanner.addRead(p[:n], len(p)).total(); charged > 0 && !c.Grow(charged) {
			return 0, errLimit
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.TCPConn.Close()
	c.member.leave()
	return err
}

// evict closes the connection because of a limit. It remains a member until the server has
// closed it too.
func (c *Conn) evict(cause Cause) {
	c.listener.stats.closed(c.listener.name, cause)
	_ = c.TCPConn.Close()
}

// Grow adds n bytes to what the connection makes the process hold, until its request ends. If
// it reports false, the connection is closed.
func (c *Conn) Grow(n int64) bool {
	if c.listener.ask(func() verdict { return c.member.grow(n) }) {
		return true
	}
	_ = c.TCPConn.Close()
	return false
}

// Protect keeps the connection from being closed because of a limit until its request ends.
// If it reports false, the connection is closed already, and the request must not be
// forwarded.
func (c *Conn) Protect() bool { return c.member.protect() }

// SetWorkspace accounts for the connection under a workspace instead of its address.
func (c *Conn) SetWorkspace(name string) { c.member.move("workspace " + name) }

// setState follows the server's states: it reports StateActive when it has parsed a head, and
// StateIdle when the request has ended.
func (c *Conn) setState(state http.ConnState) {
	switch state {
	case http.StateActive:
		if charged := c.scanner.parsed().total(); charged > 0 {
			c.Grow(charged)
		}
	case http.StateIdle:
		c.scanner.ended()
		c.member.reset(ConnBytes)
	default:
	}
}

type connKey struct{}

// Protected returns a handler that protects the connection of each request before it calls
// next, for programs whose handlers don't do so themselves. The server must have been
// configured by Configure without a ConnContext of its own.
func Protected(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok && !c.Protect() {
			panic(http.ErrAbortHandler) // the connection is closed
		}
		next.ServeHTTP(w, r)
	})
}
