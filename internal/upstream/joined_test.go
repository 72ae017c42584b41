package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

const (
	sealHeader = "X-Seal"
	// joinedTimeout bounds calls whose response stays incomplete.
	joinedTimeout = 10 * time.Second
)

// wireResponse returns a response as it stands on the connection. status is its status
// line after the version.
func wireResponse(framing Framing, status, id, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: seal-%s\r\nContent-Type: text/plain\r\n", status, idHeader, id, sealHeader, id)
	half := len(body) / 2
	switch framing {
	case FramingLength:
		return head + fmt.Sprintf("Date: Sat, 05 Dec 2026 00:00:00 GMT\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	case FramingChunked:
		chunks := ""
		for _, chunk := range []string{body[:half], body[half:]} {
			if chunk != "" {
				chunks += fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk)
			}
		}
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n"
	default:
		return head + "\r\n" + body
	}
}

// answer is the outcome of one call.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func get(p *Pool, addr, id string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), joinedTimeout)
	defer cancel()
	resp, err := p.Do(ctx, Call{
		Addr: addr, Method: http.MethodPost, URI: "/", Host: "h.example", Header: http.Header{idHeader: {id}}, Body: []byte("x"),
		IDHeader: idHeader, UniqueFields: []string{idHeader, sealHeader}, MaxIdleTime: time.Minute,
	})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.Status, resp.Header, string(body), err}
}

const (
	ownBody     = "the first line of the answer\nand the second one\n"
	foreignBody = "what another workspace asked for, which is longer than the own answer\n"
	failureBody = "failed\n"
)

// secondResponses are the responses that follow a truncated one. The call has the
// identifier "own"; "before" was carried by the connection or, if that is new, by
// another one.
func secondResponses() map[string]string {
	all := make(map[string]string)
	for _, framing := range []Framing{FramingLength, FramingChunked, FramingClose} {
		all["another workspace's, "+string(framing)] = wireResponse(framing, "200 OK", "before", foreignBody)
		all["a failure of another call, "+string(framing)] = wireResponse(framing, "500 Internal Server Error", "before", failureBody)
		all["a copy, "+string(framing)] = wireResponse(framing, "200 OK", "own", ownBody)
		all["a failure of the call, "+string(framing)] = wireResponse(framing, "500 Internal Server Error", "own", failureBody)
	}
	all["a rejection of another call"] = "HTTP/1.1 503 Service Unavailable\r\n" + idHeader + ": before\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	return all
}

// playJoined has a target respond to the call "own" with the parts, after a call "before"
// on the same connection if reused is set, and on another one otherwise. The target
// closes the connection after the parts.
func playJoined(t *testing.T, reused bool, parts ...string) answer {
	t.Helper()
	const addr, firstAddr = "192.0.2.1:1", "192.0.2.2:1"
	handler := func(c net.Conn, _ int, id string) {
		if id == "before" {
			_, _ = io.WriteString(c, wireResponse(FramingLength, "200 OK", id, foreignBody))
			return
		}
		for i, part := range parts {
			if i > 0 {
				time.Sleep(time.Millisecond)
			}
			_, _ = io.WriteString(c, part)
		}
		c.Close()
	}
	p, _ := newTestPool()
	addPairedConn(t, p, addr, handler)
	if reused {
		require.NoError(t, get(p, addr, "before").err)
	} else {
		addPairedConn(t, p, firstAddr, handler)
		require.NoError(t, get(p, firstAddr, "before").err)
	}
	return get(p, addr, "own")
}

// addPairedConn adds a new connection to addr to the pool, without the ports of TCP, of
// which thousands of short connections leave none to other tests.
func addPairedConn(t *testing.T, p *Pool, addr string, handler targetHandler) {
	t.Helper()
	fds, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	ends := make([]net.Conn, len(fds))
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "pair")
		ends[i], err = net.FileConn(f)
		require.NoError(t, err)
		require.NoError(t, f.Close())
	}
	go serveConn(ends[1], handler)
	c := newConn(ends[0], addr)
	t.Cleanup(c.close)
	c.expires = p.config.Now() + time.Hour
	c.idleSince = p.config.Now()
	p.addrs[addr] = &addrConns{idle: []*conn{c}, open: 1}
}

// A target truncates its response at any byte, and another response completes it. The
// caller must never get a success with anything but the whole own answer.
func TestJoinedResponsesRefusedAtEachCut(t *testing.T) {
	for _, framing := range []Framing{FramingLength, FramingChunked, FramingClose} {
		own := wireResponse(framing, "200 OK", "own", ownBody)
		for name, second := range secondResponses() {
			t.Run(fmt.Sprintf("%s, then %s", framing, name), func(t *testing.T) {
				t.Parallel()
				for cut := 1; cut < len(own); cut++ {
					for _, reused := range []bool{false, true} {
						parts := []string{own[:cut], second}
						if cut%2 == 0 {
							parts = []string{own[:cut] + second}
						}
						got := playJoined(t, reused, parts...)
						whole := got.err == nil && got.status == http.StatusOK && got.body == ownBody && got.header.Get(sealHeader) == "seal-own"
						require.True(t, got.err != nil || whole, "cut at %d, reused %t: status %d, %q", cut, reused, got.status, got.body)
						require.True(t, got.err == nil || errors.Is(got.err, ErrLost), "the call may have run")
					}
				}
			})
		}
	}
}

// What follows a complete response of known length has no effect on it.
func TestCompleteResponseBeforeAnotherOneAccepted(t *testing.T) {
	for _, framing := range []Framing{FramingLength, FramingChunked} {
		own := wireResponse(framing, "200 OK", "own", ownBody)
		for name, second := range secondResponses() {
			got := playJoined(t, true, own+second)
			require.NoError(t, got.err, name)
			require.Equal(t, ownBody, got.body, name)
		}
	}
}

// Bodies that quote responses, and what targets may add to a head.
func TestSoundResponsesAccepted(t *testing.T) {
	for name, body := range map[string]string{
		"a response with an unknown identifier": wireResponse(FramingLength, "200 OK", "9c41d07be2a35f68", "x"),
		"a request with the own identifier":     "POST / HTTP/1.1\r\n" + idHeader + ": own\r\n\r\n",
		"identifiers alone":                     "own before " + idHeader + ": before\r\n\r\n",
		"the start of a status line at the end": "HTTP/1.1 200 OK\r\n",
		"the first letter of one at the end":    "H",
		"a long text":                           strings.Repeat("HTTP/1.1 200 OK\r\n", 10000),
	} {
		for _, framing := range []Framing{FramingLength, FramingChunked, FramingClose} {
			for _, reused := range []bool{false, true} {
				raw := wireResponse(framing, "200 OK", "own", body)
				raw = strings.Replace(raw, "\r\n", "\r\nSet-Cookie: a=b\r\nSet-Cookie: c=d\r\nX-Upstream: HTTP/1.1 404 Not Found\r\n", 1)
				for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"} {
					got := playJoined(t, reused, interim+raw)
					require.NoError(t, got.err, "%s, %s", name, framing)
					require.Equal(t, body, got.body, "%s, %s", name, framing)
				}
			}
		}
	}
}

// A call without an identifier makes no identifier known, not even the empty one.
func TestResponseToCallWithoutIDQuotingEmptyIDAccepted(t *testing.T) {
	body := "HTTP/1.1 200 OK\r\n" + idHeader + ":\r\n\r\n"
	raw := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	const addr = "192.0.2.1:1"
	p, _ := newTestPool()
	addPairedConn(t, p, addr, func(c net.Conn, _ int, _ string) { _, _ = io.WriteString(c, raw) })
	got := get(p, addr, "")
	require.NoError(t, got.err)
	require.Equal(t, body, got.body)
}

// FuzzJoinedResponses cuts a response at any byte, and lets any other response and any
// bytes follow.
func FuzzJoinedResponses(f *testing.F) {
	framings := []Framing{FramingLength, FramingChunked, FramingClose}
	longest := len(wireResponse(FramingLength, "200 OK", "own", ownBody))
	for cut := range longest {
		f.Add(uint16(cut), uint8(cut), uint8(cut/3), []byte(nil))
	}
	f.Fuzz(func(t *testing.T, cut uint16, framing, secondFraming uint8, between []byte) {
		own := wireResponse(framings[int(framing)%len(framings)], "200 OK", "own", ownBody)
		second := wireResponse(framings[int(secondFraming)%len(framings)], "200 OK", "before", foreignBody)
		spliced := own[:int(cut)%len(own)] + string(between) + second
		got := playJoined(t, secondFraming%2 == 0, spliced)
		complete := got.err == nil && got.status == http.StatusOK
		require.False(t, complete && strings.Contains(got.body, foreignBody), "%q", got.body)
	})
}

// FuzzResponse feeds any bytes to a call. Whatever is returned belongs to the call.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(wireResponse(FramingChunked, "200 OK", "own", ownBody)))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + wireResponse(FramingLength, "204 No Content", "own", "")))
	f.Add([]byte(wireResponse(FramingLength, "200 OK", "before", foreignBody)))
	f.Fuzz(func(t *testing.T, raw []byte) {
		got := playJoined(t, true, string(raw))
		if got.err == nil {
			require.Equal(t, []string{"own"}, got.header.Values(idHeader))
		}
	})
}
