package connlimit

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func repeatTo(size int, line func(i int) string) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		b.WriteString(line(i))
	}
	return b.String()
}

// The charge for a head must not be less than the memory that net/http uses for it, whatever
// its lines are.
func TestChargesCoverParsedHeads(t *testing.T) {
	const size = 16000
	start := "GET / HTTP/1.1\r\nHost: h\r\n"
	for name, head := range map[string]string{
		"ordinary":    start + repeatTo(600, func(i int) string { return fmt.Sprintf("X-Field-%d: some value of a field\r\n", i) }),
		"same name":   start + repeatTo(size, func(int) string { return "3f:\n" }),
		"short names": start + repeatTo(size, func(i int) string { return strconv.FormatInt(int64(i), 36) + ":\n" }),
		"long names":  start + repeatTo(size, func(i int) string { return strings.Repeat("n", 120) + strconv.Itoa(i) + ":\n" }),
		"one line":    start + "X: " + strings.Repeat("y", size) + "\r\n",
		"tokens":      start + "Connection: " + strings.Repeat("a,", size/2) + "\r\n",
		"path":        "GET /" + strings.Repeat("p", size) + " HTTP/1.1\r\nHost: h\r\n",
		"escapes":     "GET /" + strings.Repeat("%2F", size/3) + "?" + strings.Repeat("%41", 100) + " HTTP/1.1\r\nHost: h\r\n",
		"method":      strings.Repeat("M", size) + " / HTTP/1.1\r\nHost: h\r\n",
		"fold":        start + "X: y\r\n" + repeatTo(size, func(int) string { return " z\n" }),
	} {
		const heads = 50
		raw := []byte(head + "\r\n")
		before := liveHeap()
		requests := make([]*http.Request, heads)
		for i := range requests {
			r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
			require.NoError(t, err, name)
			r.Body = nil
			requests[i] = r
		}
		used := (liveHeap() - before) / heads
		charged := chargeFor(raw).total()
		t.Logf("%s: %d bytes, %d lines: uses %d, charged %d", name, len(raw), bytes.Count(raw, []byte{'\n'}), used, charged)
		require.LessOrEqual(t, used, charged+ConnBytes/4, name)
		runtime.KeepAlive(requests)
	}
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// scriptedConn is a connection whose reads return the chunks of a script.
type scriptedConn struct {
	net.Conn
	chunks  [][]byte
	scanner headScanner
	charged charge // since the last request
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if len(c.chunks) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.chunks[0])
	if c.chunks[0] = c.chunks[0][n:]; len(c.chunks[0]) == 0 {
		c.chunks = c.chunks[1:]
	}
	c.charged = c.charged.plus(c.scanner.addRead(p[:n], len(p)))
	return n, nil
}

// What a connection was charged for when the server has parsed a head is never less than the
// head has bytes and lines, wherever reads begin and end, with pipelined requests, bodies and
// empty lines. The reader is that of net/http: a buffered reader of 4 KiB, and bodies that
// are read to their end.
func FuzzChargesCoverHeads(f *testing.F) {
	get, post := "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\na\nb\n\n"
	chunked := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\na\n\n\r\n0\r\nT: u\r\n\r\n"
	long := "GET / HTTP/1.1\nHost: h\n" + strings.Repeat("3f:\n", 3000) + "\n"
	for _, text := range []string{get, get + get, post + "\r\n\r\n" + get, chunked + post + get, long, post + long + get, strings.Repeat(get, 300) + long, "\r\n" + get} {
		for _, size := range []uint16{1, 3, 50, 4096, 9000} {
			f.Add([]byte(text), size)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte, size uint16) {
		c := &scriptedConn{}
		for rest := text; len(rest) > 0; {
			n := min(len(rest), int(size)+1)
			c.chunks = append(c.chunks, rest[:n])
			rest = rest[n:]
		}
		reader := bufio.NewReaderSize(c, readAheadBytes)
		for {
			start := len(text) - unread(c, reader)
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			c.charged = c.charged.plus(c.scanner.parsed())
			head := chargeFor(text[start : len(text)-unread(c, reader)])
			require.GreaterOrEqual(t, c.charged.bytes, head.bytes)
			require.GreaterOrEqual(t, c.charged.lines, head.lines)
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			c.charged = charge{}
			c.scanner.ended()
			if peek, _ := reader.Peek(4); len(peek) > 0 { // as net/http skips empty lines
				_, _ = reader.Discard(len(peek) - len(bytes.TrimLeft(peek, "\r\n")))
			}
		}
	})
}

// unread returns the number of bytes of the script that were not consumed.
func unread(c *scriptedConn, reader *bufio.Reader) int {
	n := reader.Buffered()
	for _, chunk := range c.chunks {
		n += len(chunk)
	}
	return n
}
