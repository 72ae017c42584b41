// Package httpsendtest holds a server whose answers need not be whole HTTP, for
// the tests of clients.
package httpsendtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Raw answers each request on a connection of its own with the same bytes and
// closes the connection.
type Raw struct {
	Calls    atomic.Int64 // requests that have come
	Received func()       // called when a request has come; nil: nothing
	answer   string
}

// NewRaw returns a server that accepts connections from l until the test ends.
func NewRaw(t testing.TB, l net.Listener, answer string) *Raw {
	r := &Raw{answer: answer}
	t.Cleanup(func() { _ = l.Close() })
	go r.accept(l)
	return r
}

func (r *Raw) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		r.serve(conn)
	}
}

func (r *Raw) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	r.Calls.Add(1)
	if r.Received != nil {
		r.Received()
	}
	_, _ = io.WriteString(conn, r.answer)
}
