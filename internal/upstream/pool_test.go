package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

const idHeader = "X-Id"

// targetHandler responds to each request on a connection. n is the number of the request
// on the connection, from 0, and id its identifier.
type targetHandler func(c net.Conn, n int, id string)

// serve starts a target on loopback that responds with handler and returns its address.
func serve(t *testing.T, handler targetHandler) string {
	t.Helper()
	return listen(t, func(c net.Conn) { serveConn(c, handler) })
}

// listen accepts connections on loopback and returns the address.
func listen(t *testing.T, serveConn func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(c)
		}
	}()
	return l.Addr().String()
}

func serveConn(c net.Conn, handler targetHandler) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		handler(c, n, req.Header.Get(idHeader))
	}
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func newTestPool() (*Pool, *int) {
	dialed := 0
	start := time.Now()
	p := NewPool(Config{DialTimeout: time.Second, Now: func() time.Duration { return time.Since(start) }}, func() { dialed++ })
	return p, &dialed
}

func do(p *Pool, addr, id string) (string, error) {
	return doWith(context.Background(), p, Call{
		Addr: addr, Method: http.MethodPost, URI: "/a?b=c", Host: "h.example",
		Header: http.Header{idHeader: {id}}, Body: []byte("x"), IDHeader: idHeader, MaxIdleTime: time.Minute,
	})
}

func doWith(ctx context.Context, p *Pool, call Call) (string, error) {
	resp, err := p.Do(ctx, call)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

func TestConnectionReuse(t *testing.T) {
	addr := serve(t, func(c net.Conn, _ int, id string) { _, _ = io.WriteString(c, response(id, "for "+id)) })
	p, dialed := newTestPool()
	for _, id := range []string{"1", "2", "3"} {
		got, err := do(p, addr, id)
		require.NoError(t, err)
		require.Equal(t, "for "+id, got)
	}
	require.Equal(t, 1, *dialed)
}

func TestExtraResponsesDiscarded(t *testing.T) {
	for name, handler := range map[string]targetHandler{
		"in one write": func(c net.Conn, _ int, id string) {
			_, _ = io.WriteString(c, response(id, "for "+id)+response(id, "extra"))
		},
		"before the next response": func(c net.Conn, n int, id string) {
			if n > 0 {
				_, _ = io.WriteString(c, response("1", "extra"))
			}
			_, _ = io.WriteString(c, response(id, "for "+id))
		},
		"garbage after the response": func(c net.Conn, _ int, id string) {
			_, _ = io.WriteString(c, response(id, "for "+id)+"garbage\r\n\r\n")
		},
	} {
		addr := serve(t, handler)
		p, _ := newTestPool()
		for _, id := range []string{"1", "2", "3"} {
			got, err := do(p, addr, id)
			require.NoError(t, err, name)
			require.Equal(t, "for "+id, got, name)
		}
	}
}

func TestMalformedResponseIsErrLost(t *testing.T) {
	for name, bytes := range map[string]string{
		"text":             "hello\r\n\r\n",
		"foreign response": response("9", "x") + "rest",
		"truncated head":   "HTTP/1.1 200 OK\r\nX-Id: 1\r\n",
		"nothing":          "",
	} {
		addr := serve(t, func(c net.Conn, _ int, _ string) {
			_, _ = io.WriteString(c, bytes)
			c.Close()
		})
		p, _ := newTestPool()
		_, err := do(p, addr, "1")
		require.Error(t, err, name)
		require.True(t, errors.Is(err, ErrLost), name)
		require.False(t, errors.Is(err, ErrNotSent), name)
	}
}

func TestResponseWithoutIDOnlyOnNewConnection(t *testing.T) {
	addr := serve(t, func(c net.Conn, n int, id string) {
		if n == 0 && id == "1" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na")
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
	})
	p, _ := newTestPool()
	got, err := do(p, addr, "1")
	require.NoError(t, err)
	require.Equal(t, "a", got)
	_, err = do(p, addr, "2")
	require.True(t, errors.Is(err, ErrLost))
}

func TestTruncatedBodyIsErrLost(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	for name, raw := range map[string]string{
		"length":  head + "Content-Length: 10\r\n\r\nabc",
		"chunked": head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
	} {
		addr := serve(t, func(c net.Conn, _ int, _ string) {
			_, _ = io.WriteString(c, raw)
			c.Close()
		})
		p, _ := newTestPool()
		got, err := do(p, addr, "1")
		require.Equal(t, "abc", got, name)
		require.True(t, errors.Is(err, ErrLost), name)
	}
}

func TestResetOfUnsizedBodyIsError(t *testing.T) {
	addr := serve(t, func(c net.Conn, _ int, _ string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nabc")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	})
	p, _ := newTestPool()
	_, err := do(p, addr, "1")
	require.Error(t, err)
}

func TestRefusedConnectionIsErrNotSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	l.Close()
	p, _ := newTestPool()
	_, err = do(p, addr, "1")
	require.True(t, errors.Is(err, ErrNotSent))
	require.True(t, errors.Is(err, ErrUnreachable))
}

func TestMaxOpenConns(t *testing.T) {
	release := make(chan struct{})
	addr := serve(t, func(c net.Conn, _ int, id string) {
		<-release
		_, _ = io.WriteString(c, response(id, ""))
	})
	p, _ := newTestPool()
	call := Call{Addr: addr, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{idHeader: {"1"}}, IDHeader: idHeader, MaxOpenConns: 1}
	done := make(chan error, 1)
	go func() {
		_, err := doWith(context.Background(), p, call)
		done <- err
	}()
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.addrs[addr] != nil && p.addrs[addr].open == 1
	}, time.Second, time.Millisecond)
	_, err := doWith(context.Background(), p, call)
	require.True(t, errors.Is(err, ErrBusy))
	require.True(t, errors.Is(err, ErrNotSent))
	close(release)
	require.NoError(t, <-done)
}

func TestEarlyResponseClosesConnection(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	rest := make(chan string, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, response("1", "early"))
		time.Sleep(3 * writeGrace)
		data, _ := io.ReadAll(req.Body)
		rest <- string(data)
	}()
	p, dialed := newTestPool()
	body := strings.Repeat("b", 16<<20) // more than the buffers of a connection hold
	call := Call{
		Addr: l.Addr().String(), Method: http.MethodPost, URI: "/", Host: "h",
		Header: http.Header{idHeader: {"1"}}, Body: []byte(body), IDHeader: idHeader, MaxIdleTime: time.Minute,
	}
	got, err := doWith(context.Background(), p, call)
	require.NoError(t, err)
	require.Equal(t, "early", got)
	require.NotContains(t, <-rest, "POST", "no other request may follow the body")
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Empty(t, p.addrs, "the connection is not reused")
	require.Equal(t, 1, *dialed)
}

func TestContextCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	addr := serve(t, func(c net.Conn, _ int, id string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n")
		one := make([]byte, 1)
		_, _ = c.Read(one)
		close(closed)
	})
	p, _ := newTestPool()
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := p.Do(ctx, Call{Addr: addr, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{idHeader: {"1"}}, IDHeader: idHeader})
	require.NoError(t, err)
	defer resp.Body.Close()
	cancel()
	<-closed
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
}

func TestIdleTimeout(t *testing.T) {
	require.Equal(t, 4500*time.Millisecond, idleTimeout(http.Header{"Keep-Alive": {"timeout=5, max=100"}}))
	require.Equal(t, time.Duration(0), idleTimeout(http.Header{"Keep-Alive": {"timeout=0"}}))
	require.Equal(t, defaultIdleTimeout, idleTimeout(http.Header{}))
	require.Equal(t, defaultIdleTimeout, idleTimeout(http.Header{"Keep-Alive": {"max=3"}}))
}

// A call that waited long for a connection or for processor time must not reach a target
// that drains by then: the check right before the first byte ends it, whatever its size.
func TestFailedCheckSendsNothing(t *testing.T) {
	received := make(chan struct{}, 4)
	addr := serve(t, func(c net.Conn, _ int, id string) {
		received <- struct{}{}
		_, _ = io.WriteString(c, response(id, "whole"))
	})
	errDraining := errors.New("drains")
	for _, size := range []int{0, 1, 2 * maxInlineBody} {
		p, _ := newTestPool()
		_, err := doWith(context.Background(), p, Call{
			Addr: addr, Method: http.MethodPost, URI: "/", Host: "h.example", Header: http.Header{idHeader: {"a"}},
			Body: make([]byte, size), IDHeader: idHeader, Check: func() error { return errDraining },
		})
		require.True(t, errors.Is(err, ErrNotSent), "%d bytes: %v", size, err)
		require.True(t, errors.Is(err, errDraining), "%v", err)
		require.Empty(t, p.addrs, "the connection is closed")
	}
	require.Empty(t, received)
}
