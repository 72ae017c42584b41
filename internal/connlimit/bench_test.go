package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkRequest measures the processor time of a request of 1 KiB on a kept connection, of
// server and client together, without and with the account.
func BenchmarkRequest(b *testing.B) {
	for _, limited := range []bool{false, true} {
		name := map[bool]string{false: "plain", true: "limited"}[limited]
		b.Run(name, func(b *testing.B) {
			inner, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(b, err)
			server := &http.Server{Handler: http.HandlerFunc(serveLikeGate), ReadHeaderTimeout: HeaderTimeout, IdleTimeout: IdleTimeout}
			listener := inner
			if limited {
				Configure(server)
				listener = NewListener(inner, NewAccount(Limits{Memory: 1 << 30, Conns: 1000}), nil, "")
			}
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
			c, err := net.Dial("tcp4", inner.Addr().String())
			require.NoError(b, err)
			defer c.Close()
			reader := bufio.NewReader(c)
			request := "POST /orders/1 HTTP/1.1\r\nHost: h.example\r\n" + strings.Repeat("X-Some-Field-Name: some value\r\n", 15) +
				"Content-Length: 1024\r\n\r\n" + strings.Repeat("x", 1024)
			start := processorTime(b)
			for b.Loop() {
				_, err := io.WriteString(c, request)
				require.NoError(b, err)
				resp, err := http.ReadResponse(reader, nil)
				require.NoError(b, err)
				_, _ = io.Copy(io.Discard, resp.Body)
				require.NoError(b, resp.Body.Close())
			}
			b.ReportMetric(float64(processorTime(b)-start)/float64(b.N), "cpu-ns/op")
		})
	}
}

// serveLikeGate makes the calls that a gate makes for each request.
func serveLikeGate(w http.ResponseWriter, r *http.Request) {
	c, limited := r.Context().Value(connKey{}).(*Conn)
	control := http.NewResponseController(w)
	if limited {
		c.SetWorkspace("shop")
		c.Grow(r.ContentLength)
		_ = control.SetReadDeadline(time.Now().Add(HeaderTimeout))
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if limited {
		_ = control.SetReadDeadline(time.Time{})
		c.Protect()
	}
	_, _ = io.WriteString(w, "done")
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkAccounting measures what the account alone costs for an ordinary request, beside
// 1,000 other connections.
func BenchmarkAccounting(b *testing.B) {
	a := NewAccount(Limits{Memory: 1 << 30, Conns: 2000})
	for range 1000 {
		_, v := a.join("127.0.0.1", ConnBytes, func(Cause) {})
		require.True(b, v.granted)
	}
	m, v := a.join("127.0.0.2", ConnBytes, func(Cause) {})
	require.True(b, v.granted)
	head := []byte("POST /orders/1 HTTP/1.1\r\nHost: h.example\r\n" + strings.Repeat("X-Some-Field-Name: some value\r\n", 15) + "\r\n")
	var scanner headScanner
	for b.Loop() {
		m.grow(scanner.addRead(head, readAheadBytes).total())
		scanner.parsed()
		m.move("workspace shop")
		m.grow(1024)
		m.protect()
		scanner.ended()
		m.reset(ConnBytes)
	}
}
