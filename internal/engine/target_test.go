package engine_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/engine"
	"github.com/mastichollow/mastichollow/internal/engine/enginetest"
)

// progress is the progress limit of the clients under test.
const progress = 30 * time.Second

// scripted is a target that answers with pieces and behaves.
type scripted struct {
	behaviour   enginetest.Behaviour
	contentType string
	pieces      []string // the last one marks the end
	taken       chan struct{}
	cancelled   chan struct{}

	mu       sync.Mutex
	received []engine.Call
}

func (s *scripted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		_, _ = io.WriteString(w, `{"status":"ok","start":"marker-1"}`)
		return
	}
	first := s.record(r)
	switch s.behaviour {
	case enginetest.RefusesFence:
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"type":"https://engine.example/problems/fenced"}`)
	case enginetest.CutsHead:
		panic(http.ErrAbortHandler)
	case enginetest.StallsHead:
		s.stall(r)
	default:
		s.answer(w, r, first)
	}
}

func (s *scripted) answer(w http.ResponseWriter, r *http.Request, first bool) {
	w.Header().Set("Content-Type", s.contentType)
	w.Header().Set("X-Request-Id", "7")
	w.WriteHeader(http.StatusCreated)
	for i, piece := range s.pieces {
		last := i == len(s.pieces)-1
		if last && s.behaviour == enginetest.CutsEnd {
			panic(http.ErrAbortHandler)
		}
		if s.behaviour == enginetest.Trickles {
			time.Sleep(progress - time.Second)
		}
		_, _ = io.WriteString(w, piece)
		_ = http.NewResponseController(w).Flush()
		switch {
		case s.behaviour == enginetest.CutsBody:
			panic(http.ErrAbortHandler)
		case s.behaviour == enginetest.StallsBody, s.behaviour == enginetest.StallsOnce && first:
			s.stall(r)
		}
	}
}

func (s *scripted) stall(r *http.Request) {
	<-r.Context().Done()
	close(s.cancelled)
	panic(http.ErrAbortHandler)
}

// record keeps the call and reports whether it is the first.
func (s *scripted) record(r *http.Request) bool {
	body, _ := io.ReadAll(r.Body)
	fence, _ := strconv.ParseUint(r.Header.Get(engine.HeaderFence), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, engine.Call{
		Attempt: r.Header.Get(engine.HeaderAttempt), Fence: fence,
		Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header, Body: body,
	})
	if len(s.received) > 1 {
		return false
	}
	close(s.taken)
	return true
}

func (s *scripted) calls() []engine.Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// pipes is a listener whose connections are pipes in memory, so that its tests
// run on the clock of their bubble.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), closed: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-p.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serve serves handler until the test ends and returns how to reach it.
func serve(t *testing.T, handler http.Handler) engine.Options {
	listener := newPipes()
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return engine.Options{Dial: listener.dial, Progress: progress}
}

// serveTCP is serve over TCP on a loopback address.
func serveTCP(t *testing.T, handler http.Handler) engine.Options {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return engine.Options{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", listener.Addr().String())
	}}
}

// refuse is a Dial to a target that cannot be connected to.
func refuse(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("connection refused")
}
