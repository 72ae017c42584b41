package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// uploadSize is more than the buffers of a connection hold.
const uploadSize = 16 << 20

// earlyTarget reads some bytes of an upload, sends a response before the rest has arrived and ends
// the connection after a delay.
type earlyTarget struct {
	read     int64
	response string
	delay    time.Duration
	reset    bool
}

func (e earlyTarget) serve(t *testing.T) string {
	return listen(t, func(c net.Conn) { e.serveConn(c.(*net.TCPConn)) })
}

func (e earlyTarget) serveConn(c *net.TCPConn) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, req.Body, e.read)
	_, _ = io.WriteString(c, e.response)
	time.Sleep(e.delay)
	if e.reset {
		_ = c.SetLinger(0)
		return
	}
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, req.Body)
}

func upload(p *Pool, addr string) (string, error) {
	return doWith(context.Background(), p, Call{
		Addr: addr, Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{idHeader: {"1"}}, Body: make([]byte, uploadSize),
		IDHeader: idHeader, MaxIdleTime: time.Minute,
	})
}

// TestResponseResetDuringUploadIsLost guards against a response without length that looks complete,
// because the write of the request takes the error of the reset.
func TestResponseResetDuringUploadIsLost(t *testing.T) {
	heads := map[string]string{"length": "Content-Length: 8\r\n\r\npart", "chunked": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", "close": "\r\npart"}
	for framing, rest := range heads {
		for _, read := range []int64{0, 1 << 10, 1 << 20} {
			for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %d bytes read, %s", framing, read, delay), func(t *testing.T) {
					t.Parallel()
					addr := earlyTarget{read: read, response: "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n" + rest, delay: delay, reset: true}.serve(t)
					p, _ := newTestPool()
					for range 20 {
						got, err := upload(p, addr)
						require.True(t, errors.Is(err, ErrLost), "%q %v", got, err)
					}
				})
			}
		}
	}
}

func TestEarlyResponseThatEndsInOrderIsComplete(t *testing.T) {
	for _, read := range []int64{0, 1 << 20} {
		addr := earlyTarget{read: read, response: "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n\r\nwhole"}.serve(t)
		p, _ := newTestPool()
		for range 20 {
			got, err := upload(p, addr)
			require.NoError(t, err)
			require.Equal(t, "whole", got)
		}
	}
}

func TestInvalidStatusIsMalformed(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999", "+20", "20", "2000", "2 0", "abc", "-20"} {
		addr := serve(t, func(c net.Conn, _ int, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", status, idHeader, id)
		})
		p, _ := newTestPool()
		_, err := do(p, addr, "1")
		require.True(t, errors.Is(err, ErrMalformed), "status %q: %v", status, err)
	}
}
