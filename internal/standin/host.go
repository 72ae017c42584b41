package standin

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	headerTimeout = 5 * time.Second
	// maxHeaderBytes is above the header limit of routers (32 KiB).
	maxHeaderBytes = 64 << 10
	// shutdownTimeout bounds the time for open calls to finish at a stop.
	shutdownTimeout  = 3 * time.Second
	relistenInterval = 20 * time.Millisecond
)

// Host serves a handler on one TCP address. After a crash it refuses connections until it
// listens again.
type Host struct {
	handler http.Handler
	addr    string
	crashes chan time.Duration

	mu       sync.Mutex
	listener *blackholeListener
}

// NewHost listens on addr (IP:port; port 0 chooses a free one).
func NewHost(addr string, handler http.Handler) (*Host, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %q", addr)
	}
	return &Host{
		handler:  handler,
		addr:     l.Addr().String(),
		crashes:  make(chan time.Duration, 1),
		listener: newBlackholeListener(l),
	}, nil
}

// Addr returns the address that the host is bound to.
func (h *Host) Addr() string { return h.addr }

// URL returns the base URL of the host.
func (h *Host) URL() string { return "http://" + h.addr }

// Blackhole drops all further bytes of the open connections without closing them. It
// returns their number.
func (h *Host) Blackhole() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.listener.blackhole()
}

// Crash closes the open connections and refuses new ones for downTime. It has no effect
// while an earlier crash is pending.
func (h *Host) Crash(downTime time.Duration) {
	select {
	case h.crashes <- downTime:
	default:
	}
}

// Run serves until ctx is done and then waits up to shutdownTimeout for open calls to
// finish.
func (h *Host) Run(ctx context.Context) error {
	for {
		downTime, err := h.serve(ctx)
		if err != nil || ctx.Err() != nil {
			return err
		}
		if !h.relisten(ctx, downTime) {
			return nil
		}
	}
}

// serve serves until ctx is done or the host crashes. It returns the time for which the
// host stays down.
func (h *Host) serve(ctx context.Context) (time.Duration, error) {
	server := &http.Server{
		Handler:           h.handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(h.listener) }()
	select {
	case err := <-served:
		return 0, errors.Wrapf(err, "serving on %q", h.addr)
	case downTime := <-h.crashes:
		err := server.Close()
		return downTime, closeError(err, <-served)
	case <-ctx.Done():
		h.listener.closeUnread()
		err := shutDownServer(server)
		return 0, closeError(err, <-served)
	}
}

// closeError returns the error of closing a server or, without one, the error of serving
// unless that says that the server was closed.
func closeError(closing, serving error) error {
	if closing == nil && !errors.Is(serving, http.ErrServerClosed) {
		return serving
	}
	return closing
}

// shutDownServer waits up to shutdownTimeout for open calls to finish and then closes their
// connections.
func shutDownServer(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return server.Close()
	}
	return nil
}

// relisten listens again on the host's address after downTime. It reports false if ctx is
// done before that; the listener is then closed and must not be served again.
func (h *Host) relisten(ctx context.Context, downTime time.Duration) bool {
	for wait := downTime; ; wait = relistenInterval {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(wait):
		}
		l, err := net.Listen("tcp", h.addr)
		if err != nil {
			continue
		}
		h.mu.Lock()
		h.listener = newBlackholeListener(l)
		h.mu.Unlock()
		return true
	}
}
