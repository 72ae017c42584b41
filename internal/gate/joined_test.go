package gate

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/route"
)

// foreignEvent is an event of a stream to another caller.
const foreignEvent = "id: 1\ndata: of another workspace\n\n"

// secondResponses returns what may follow a truncated response to the request "id-1":
// responses to other requests, which this gate did not send, and failures.
func secondResponses() map[string]string {
	all := map[string]string{
		"a failure without identifier": "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed",
		"a failure of the request":     "HTTP/1.1 500 Internal Server Error\r\nId: id-1\r\nContent-Length: 6\r\n\r\nfailed",
	}
	foreign := targetRequest{header: http.Header{"Id": {"id-of-another-gate"}}}
	own := targetRequest{header: http.Header{"Id": {"id-1"}}}
	for _, response := range framedResponses("text/event-stream", foreignEvent, "id: 2\ndata: foreign\n\n", "id: 3\ndata: foreign\n\n")[:2] {
		all["another workspace's stream, "+string(response.framing)] = response.raw(foreign)
		all["a copy, "+string(response.framing)] = response.raw(own)
	}
	return all
}

// A target truncates a stream at any byte, and another response follows on the
// connection. The caller gets events of the stream only, and no complete stream.
func TestStreamJoinedWithAnotherResponseIsIncomplete(t *testing.T) {
	for _, response := range framedResponses("text/event-stream", event(1), event(2), event(3)) {
		for name, second := range secondResponses() {
			t.Run(string(response.framing)+", then "+name, func(t *testing.T) {
				t.Parallel()
				var cut atomic.Int64
				f := newFixture(t, testRoutes(streamOnce), func(c net.Conn, r targetRequest) { joinedAt(int(cut.Load()), response, second)(c, r) })
				for cut.Store(1); int(cut.Load()) < response.rawSize(); cut.Add(1) {
					got := f.send("/p/", "body", patient...)
					require.Len(t, f.receivedRequests(), int(cut.Load()))
					if got.status != http.StatusOK {
						require.Equal(t, http.StatusBadGateway, got.status, "cut at %d", cut.Load())
						continue
					}
					require.True(t, strings.HasPrefix(eventsUpTo(3), got.body), "cut at %d: %q", cut.Load(), got.body)
					require.True(t, got.err != nil || got.body == eventsUpTo(3), "cut at %d: looks complete: %q", cut.Load(), got.body)
				}
			})
		}
	}
}

// joinedAt sends the first cut bytes of the response and then second.
func joinedAt(cut int, response framedResponse, second string) targetHandler {
	return func(c net.Conn, r targetRequest) {
		write(c, response.raw(r)[:cut]+second)
		c.Close()
	}
}

func TestStreamJoinedWithAnotherResponseResumes(t *testing.T) {
	for _, response := range framedResponses("text/event-stream", event(1), event(2), event(3)) {
		for name, second := range secondResponses() {
			t.Run(string(response.framing)+", then "+name, func(t *testing.T) {
				t.Parallel()
				for cut := response.rawSize() / 2; cut < response.rawSize(); cut += 3 {
					handler := firstRequestThen(joinedAt(cut, response, second), resumeEvents(3))
					f := newFixture(t, testRoutes(resumable), handler, handler)
					got := f.send("/p/", "body", patient...)
					require.NoError(t, got.err, "cut at %d", cut)
					require.Equal(t, eventsUpTo(3), got.body, "cut at %d", cut)
					require.LessOrEqual(t, len(f.receivedRequests()), 2)
				}
			})
		}
	}
}

// The second response belongs to a request that the same connection carried before. A
// request that may run once is not sent again, and its caller is not told that it did not
// run; one that may be repeated is answered by another target.
func TestPlainResponseJoinedWithEarlierOne(t *testing.T) {
	const ownBody = "the whole answer to the second request"
	for name, kind := range map[string]route.Route{"at most once": once, "idempotent": idempotent} {
		for _, response := range framedResponses("text/plain", ownBody) {
			t.Run(string(response.framing)+", "+name, func(t *testing.T) {
				t.Parallel()
				var cut, secondSends atomic.Int64
				handler := func(c net.Conn, r targetRequest) {
					switch {
					case r.header.Get("Id") == "id-1":
						earlier(c, r)
					case secondSends.Add(1) > 1:
						succeed(ownBody)(c, r)
					default:
						write(c, response.raw(r)[:cut.Load()])
						earlier(c, targetRequest{header: http.Header{"Id": {"id-1"}}})
						c.Close()
					}
				}
				for i := 1; i < response.rawSize(); i++ {
					// Of its own for each cut: a target that fails too often is left out.
					f := newFixture(t, testRoutes(kind), handler, handler)
					cut.Store(int64(i))
					secondSends.Store(0)
					require.Equal(t, http.StatusOK, f.send("/p/", "first", patient...).status)
					got := f.send("/p/", "second", append([]string{"Id", "id-2"}, patient...)...)
					whole := got.status == http.StatusOK && got.err == nil && got.body == ownBody
					if kind.RetryPolicy == route.AtMostOnce {
						require.Equal(t, int64(1), secondSends.Load(), "cut at %d", i)
						require.True(t, whole || got.status == http.StatusBadGateway, "cut at %d: status %d, %q", i, got.status, got.body)
					} else {
						require.True(t, whole, "cut at %d: status %d, %q", i, got.status, got.body)
						require.LessOrEqual(t, secondSends.Load(), int64(2), "cut at %d", i)
					}
					f.server.Close()
				}
			})
		}
	}
}

func earlier(c net.Conn, r targetRequest) {
	succeed("the answer to the first request, sent once more")(c, r)
}
