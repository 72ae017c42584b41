package gate

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// benchRequest is a request with the fields that callers usually send.
func benchRequest(key string, bodySize int) string {
	return fmt.Sprintf("POST /p/ HTTP/1.1\r\nHost: h.example\r\nId: 9378804a4f7359cb\r\nKey: %s\r\nTimeout-Ms: 30000\r\n"+
		"Content-Type: application/json\r\nUser-Agent: caller/1\r\nAccept: */*\r\nTokens: 5600,384\r\n"+
		"Prefix: 9378804a4f7359cb:4000,8378804a4f7359cb:1000,7378804a4f7359cb:500\r\nContent-Length: %d\r\n\r\n%s",
		key, bodySize, strings.Repeat("b", bodySize))
}

// otherThreadsTime returns the processor time of all threads but the current one.
func otherThreadsTime(b *testing.B) int64 {
	var all, own syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &all))
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_THREAD, &own))
	return all.Utime.Nano() + all.Stime.Nano() - own.Utime.Nano() - own.Stime.Nano()
}

// benchmarkCalls sends a request again and again on one kept connection, by blocking calls on
// a thread of its own. The processor time that it reports is that of the other threads: of
// the gate and of the target.
func benchmarkCalls(b *testing.B, f *fixture, request string, status int) {
	c, err := net.Dial("tcp4", f.server.Listener.Addr().String())
	require.NoError(b, err)
	file, err := c.(*net.TCPConn).File()
	require.NoError(b, err)
	defer file.Close()
	c.Close()
	fd := int(file.Fd())
	require.NoError(b, syscall.SetNonblock(fd, false))
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	buf, prefix, raw := make([]byte, 4096), "HTTP/1.1 "+strconv.Itoa(status), []byte(request)
	before := otherThreadsTime(b)
	for b.Loop() {
		_, err := syscall.Write(fd, raw)
		require.NoError(b, err)
		n, err := syscall.Read(fd, buf) // a short response arrives at once
		if err != nil || !strings.HasPrefix(string(buf[:n]), prefix) {
			b.Fatal(err, string(buf[:max(n, 0)]))
		}
	}
	b.ReportMetric(float64(otherThreadsTime(b)-before)/float64(b.N), "cpu-ns/op")
}

// BenchmarkEarlyRefusal measures the refusal of a request by its head on a kept connection:
// an overloaded gate must refuse for less than 20 us of processor time.
func BenchmarkEarlyRefusal(b *testing.B) {
	for _, bodySize := range []int{0, 2 << 10, 20 << 10} {
		b.Run(fmt.Sprintf("body=%d", bodySize), func(b *testing.B) {
			f := newFixture(b, testRoutes(once), succeed("whole"))
			for range 200 {
				f.gate.delay.addSample(maxDelaySample)
			}
			benchmarkCalls(b, f, benchRequest("unknown", bodySize), http.StatusServiceUnavailable)
		})
	}
}

// BenchmarkServedRequest measures a request that is served by a gate without load.
func BenchmarkServedRequest(b *testing.B) {
	f := newFixture(b, testRoutes(once), succeed("whole"))
	benchmarkCalls(b, f, benchRequest("k", 900), http.StatusOK)
}

// stubWriter is a response writer that keeps nothing.
type stubWriter struct{ header http.Header }

func (w stubWriter) Header() http.Header         { return w.header }
func (w stubWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w stubWriter) WriteHeader(int)             {}

// BenchmarkEarlyRefusalHandler measures the gate's own part of a refusal, without http.Server
// and the kernel.
func BenchmarkEarlyRefusalHandler(b *testing.B) {
	f := newFixture(b, testRoutes(once), succeed("whole"))
	for range 200 {
		f.gate.delay.addSample(maxDelaySample)
	}
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(benchRequest("unknown", 0))))
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		f.gate.ServeHTTP(stubWriter{make(http.Header, 4)}, r)
	}
}
