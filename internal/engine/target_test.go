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

// progressTimeout is Options.ProgressTimeout of the clients under test.
const progressTimeout = 30 * time.Second

// scriptedTarget is a target that answers with pieces according to its behaviour.
type scriptedTarget struct {
	behaviour     enginetest.Behaviour
	contentType   string
	pieces        []string // the last one contains the marker of the end
	callReceived  chan struct{}
	callCancelled chan struct{}

	mu       sync.Mutex
	received []engine.Call
}

func (s *scriptedTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		_, _ = io.WriteString(w, `{"status":"ok","start":"marker-1"}`)
		return
	}
	first := s.record(r)
	switch s.behaviour {
	case enginetest.RejectsFence:
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"type":"https://engine.example/problems/fenced"}`)
	case enginetest.ClosesBeforeHeader:
		panic(http.ErrAbortHandler)
	case enginetest.StallsBeforeHeader:
		s.stall(r)
	default:
		s.answer(w, r, first)
	}
}

func (s *scriptedTarget) answer(w http.ResponseWriter, r *http.Request, first bool) {
	w.Header().Set("Content-Type", s.contentType)
	w.Header().Set("X-Request-Id", "7")
	w.WriteHeader(http.StatusCreated)
	for i, piece := range s.pieces {
		last := i == len(s.pieces)-1
		if last && s.behaviour == enginetest.ClosesBeforeEnd {
			panic(http.ErrAbortHandler)
		}
		if s.behaviour == enginetest.AnswersSlowly {
			time.Sleep(progressTimeout - time.Second)
		}
		_, _ = io.WriteString(w, piece)
		_ = http.NewResponseController(w).Flush()
		switch {
		case s.behaviour == enginetest.ClosesInBody:
			panic(http.ErrAbortHandler)
		case s.behaviour == enginetest.StallsInBody, s.behaviour == enginetest.StallsInFirstBody && first:
			s.stall(r)
		}
	}
}

func (s *scriptedTarget) stall(r *http.Request) {
	<-r.Context().Done()
	close(s.callCancelled)
	panic(http.ErrAbortHandler)
}

// record stores the call and reports whether it is the first.
func (s *scriptedTarget) record(r *http.Request) bool {
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
	close(s.callReceived)
	return true
}

func (s *scriptedTarget) calls() []engine.Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// pipeListener is a listener whose connections are in-memory pipes, which a synctest
// bubble requires.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	select {
	case p.conns <- serverEnd:
		return clientEnd, nil
	case <-p.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serve serves handler until the test ends and returns client options that dial it.
func serve(t *testing.T, handler http.Handler) engine.Options {
	listener := newPipeListener()
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return engine.Options{Dial: listener.dial, ProgressTimeout: progressTimeout}
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

// refuseConnection is an Options.Dial that always fails.
func refuseConnection(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("connection refused")
}
