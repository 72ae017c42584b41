// Package httpsendtest provides a server that sends arbitrary bytes as its response, for
// tests of HTTP clients.
package httpsendtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// RawServer responds to the first request on each connection with fixed bytes and closes
// the connection.
type RawServer struct {
	Requests  atomic.Int64 // requests received
	OnRequest func()       // called for each request received, before the response; may be nil
	response  func() string
}

// NewRawServer returns a server that accepts connections from l until the test ends.
func NewRawServer(t testing.TB, l net.Listener, response string) *RawServer {
	return NewRawServerFunc(t, l, func() string { return response })
}

// NewRawServerFunc is like NewRawServer; response returns the bytes for each request.
func NewRawServerFunc(t testing.TB, l net.Listener, response func() string) *RawServer {
	r := &RawServer{response: response}
	t.Cleanup(func() { _ = l.Close() })
	go r.accept(l)
	return r
}

func (r *RawServer) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		r.serve(conn)
	}
}

func (r *RawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	r.Requests.Add(1)
	if r.OnRequest != nil {
		r.OnRequest()
	}
	_, _ = io.WriteString(conn, r.response())
}
