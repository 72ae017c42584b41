package desync

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func head(fields ...string) string {
	return "HTTP/1.1 200 OK\r\n" + strings.Join(fields, "\r\n") + "\r\n\r\n"
}

func requireJoined(t *testing.T, err error, args ...any) {
	t.Helper()
	require.True(t, errors.Is(err, ErrJoined), fmt.Sprint(append([]any{err}, args...)...))
}

func TestHeadOfOneResponseAccepted(t *testing.T) {
	for _, raw := range []string{
		head("Id: a", "Seal: s", "Content-Length: 2", "Date: Sat, 05 Dec 2026 00:00:00 GMT"),
		head("Id: a", "Set-Cookie: a=b", "Set-Cookie: c=d"),
		head("Connection: keep-alive", "Connection: close", "Keep-Alive: timeout=5", "Keep-Alive: max=3"),
		head("Via: HTTP/1.1 proxy, 1.1 cache", "Upgrade: HTTP/2.0"),
		head("X-Upstream-Status: HTTP/1.1 502 Bad Gateway", `Warning: 199 - "HTTP/1.1 200 OK"`),
		head("Server-Note: accepts HTTP/1.1"),
		"HTTP/1.1 404\r\nId: a\r\n\r\n",
		"HTTP/1.0 200 OK\nId: a\n\n",
		head("X: a", " folded"),
	} {
		require.NoError(t, CheckHead([]byte(raw), "Id", "Seal"), raw)
	}
}

// A head that was cut at any byte and continued by another head is refused here, unless
// net/http refuses it or its rest is a head of its own.
func TestHeadCutAtEachByteRefused(t *testing.T) {
	first := head("Id: a", "Seal: sa", "Content-Type: text/plain", "X-Cache: hit", "Date: Sat, 05 Dec 2026 00:00:00 GMT", "Content-Length: 2")
	for _, second := range []string{
		head("Id: b", "Seal: sb", "Content-Length: 2"),
		head("Id: a", "Seal: sa", "Content-Length: 2"),
		"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\n\r\n",
	} {
		for cut := 1; cut < len(first); cut++ {
			raw := first[:cut] + second
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw+"ok")), nil)
			if err != nil {
				continue
			}
			resp.Body.Close()
			if strings.HasSuffix(first[:cut], "X-Cache: ") || strings.HasSuffix(first[:cut], "X-Cache:") {
				if !strings.Contains(second, "Id:") {
					continue // cannot be told from a field that quotes a status line
				}
			}
			requireJoined(t, CheckHead([]byte(raw), "Id", "Seal"), raw)
		}
	}
}

func TestRepeatedIdentifyingFieldsRefused(t *testing.T) {
	for _, fields := range [][]string{
		{"Id: a", "Id: b"},
		{"Id: a", "id: a"},
		{"Id: a", "Seal: s", "Seal: s"},
		{"Content-Length: 2", "Content-Length: 2"},
		{"Content-Length: 2", "Transfer-Encoding: chunked"},
		{"Transfer-Encoding: chunked", "Transfer-Encoding: chunked"},
		{"Content-Type: text/plain", "Content-Type: text/event-stream"},
	} {
		requireJoined(t, CheckHead([]byte(head(fields...)), "Id", "Seal"), fields)
	}
}

func TestTrailerOfSecondResponseRefused(t *testing.T) {
	require.NoError(t, CheckTrailer(http.Header{"X-Sum": {"1"}}, "Id"))
	requireJoined(t, CheckTrailer(http.Header{"Id": {"b"}}, "Id"))
	requireJoined(t, CheckTrailer(http.Header{"X-Sum": {"1HTTP/1.1 200 OK"}}, "Id"))
}

func knownB(id []byte) bool { return string(id) == "b" }

func readBody(source io.Reader, following string) (string, error) {
	r := NewReader(source, Config{IDField: "Id", Known: knownB, Following: func(bool) []byte { return []byte(following) }})
	data, err := io.ReadAll(r)
	return string(data), err
}

func TestBodyQuotingResponsesUnchanged(t *testing.T) {
	for _, body := range []string{
		"", "H", "HTTP", "HTTP/1.1 200", "ends with HTTP/1.1 200 OK\r\n",
		"Id: b\r\n\r\n", "GET / HTTP/1.1\r\nId: b\r\n\r\n",
		"an example: " + head("Id: 9c41d07be2a35f68", "Content-Length: 2") + "ok",
		"data: HTTP/1.1 200 OK\n\nid: b\n", "HTTP/1.1 200 OK\n\nId: b\n",
		"HTTP/1.1 200 OK\r\nno field\r\nId: b\r\n\r\n",
		"HHTTP/1.HTTP/1.1 2000 Id: b",
		strings.Repeat("HTTP/1.1 200 OK\r\nX: "+strings.Repeat("y", 20<<10), 2),
	} {
		for _, following := range []string{"", "garbage\r\n\r\n", "\x00\x01"} {
			got, err := readBody(iotest.HalfReader(strings.NewReader(body)), following)
			require.NoError(t, err, "%.40q", body)
			require.Equal(t, body, got)
			got, err = readBody(iotest.OneByteReader(strings.NewReader(body)), following)
			require.NoError(t, err, "%.40q", body)
			require.Equal(t, body, got)
		}
	}
}

func TestBodyWithHeadOfKnownCallRefusedWhereverItIsSplit(t *testing.T) {
	prefix := "part of the first answer"
	second := head("X: y", "id: b", "Content-Length: 6") + "second"
	for split := range second {
		got, err := readBody(io.MultiReader(strings.NewReader(prefix+second[:split]), strings.NewReader(second[split:])), "")
		requireJoined(t, err, split)
		require.Equal(t, prefix, got, "the bytes before the second head are returned")
	}
}

// The body of the first response may end anywhere inside the second one. What follows
// its end then shows that it took in the start of a head.
func TestBodyEndingInsideSecondHeadRefused(t *testing.T) {
	second := head("X: y", "Id: b", "Content-Length: 6") + "second"
	for end := 1; end < len(second); end++ {
		_, err := readBody(strings.NewReader("first"+second[:end]), second[end:])
		requireJoined(t, err, end)
	}
	got, err := readBody(strings.NewReader("first"), second)
	require.NoError(t, err, "a complete body with a response after it")
	require.Equal(t, "first", got)
}

func TestHistoryHoldsMostRecentIdentifiers(t *testing.T) {
	h := NewHistory(3)
	for i := range 5 {
		h.Add(fmt.Sprint(i))
	}
	for i := range 5 {
		require.Equal(t, i >= 2, h.Contains(fmt.Append(nil, i)), i)
	}
}

// FuzzReader checks that a body without the head of a known call passes unchanged, and
// that one with it does not pass, however the reads are split.
func FuzzReader(f *testing.F) {
	second := head("Id: b", "Content-Length: 6") + "second"
	for cut := range second {
		f.Add([]byte("first"+second[:cut]), uint8(cut))
	}
	f.Add([]byte("HTTP/1.1 200 OK\n\nHTTP/1.1 200 OK\r\nId: b"), uint8(3))
	f.Fuzz(func(t *testing.T, body []byte, size uint8) {
		read := func(known func([]byte) bool) ([]byte, error) {
			r := NewReader(iotest.DataErrReader(&smallReads{bytes.NewReader(body), int(size)%7 + 1}), Config{IDField: "Id", Known: known})
			return io.ReadAll(r)
		}
		got, err := read(neverKnown)
		require.NoError(t, err)
		require.Equal(t, string(body), string(got))
		whole, wholeErr := io.ReadAll(NewReader(bytes.NewReader(body), Config{IDField: "Id", Known: knownB}))
		got, err = read(knownB)
		require.Equal(t, wholeErr == nil, err == nil)
		require.Equal(t, string(whole), string(got))
		require.True(t, bytes.HasPrefix(body, got))
	})
}

// smallReads returns at most size bytes per read.
type smallReads struct {
	source io.Reader
	size   int
}

func (r *smallReads) Read(p []byte) (int, error) { return r.source.Read(p[:min(len(p), r.size)]) }
