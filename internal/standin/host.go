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
	// shutdownTimeout is how long open calls may last after a stop.
	shutdownTimeout = 3 * time.Second
	relistenPause   = 20 * time.Millisecond
)

// Host serves a handler on one TCP address. It can be crashed: its address
// then refuses connections until it is back.
type Host struct {
	handler http.Handler
	addr    string
	crashes chan time.Duration

	mu       sync.Mutex
	listener *silentListener
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
		listener: newSilentListener(l),
	}, nil
}

// Addr returns the address that the host is bound to.
func (h *Host) Addr() string { return h.addr }

// URL returns the base URL of the host.
func (h *Host) URL() string { return "http://" + h.addr }

// Silence silences the open connections and returns their number.
func (h *Host) Silence() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.listener.silence()
}

// Crash cuts the open connections and refuses new ones for the time down. A
// crash during a crash has no effect.
func (h *Host) Crash(down time.Duration) {
	select {
	case h.crashes <- down:
	default:
	}
}

// Run serves until ctx ends, then lets open calls finish for a short time.
func (h *Host) Run(ctx context.Context) error {
	for {
		down, err := h.serve(ctx)
		if err != nil || ctx.Err() != nil {
			return err
		}
		if !h.relisten(ctx, down) {
			return nil
		}
	}
}

// serve serves until ctx ends or the host crashes; it returns the time for
// which the host stays down.
func (h *Host) serve(ctx context.Context) (time.Duration, error) {
	server := &http.Server{
		Handler:           h.handler,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(h.listener) }()
	select {
	case err := <-served:
		return 0, errors.Wrapf(err, "serving on %q", h.addr)
	case down := <-h.crashes:
		err := server.Close()
		return down, closed(err, <-served)
	case <-ctx.Done():
		h.listener.closeUnused()
		err := shutdown(server)
		return 0, closed(err, <-served)
	}
}

// closed returns the error of closing a server, or of serving until then.
func closed(closing, serving error) error {
	if closing == nil && !errors.Is(serving, http.ErrServerClosed) {
		return serving
	}
	return closing
}

// shutdown lets open calls finish for a short time and then cuts them.
func shutdown(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return server.Close()
	}
	return nil
}

// relisten listens again on the host's address after the time down. It reports
// false if ctx ended before; the closed listener must not be served again then.
func (h *Host) relisten(ctx context.Context, down time.Duration) bool {
	for wait := down; ; wait = relistenPause {
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
		h.listener = newSilentListener(l)
		h.mu.Unlock()
		return true
	}
}
