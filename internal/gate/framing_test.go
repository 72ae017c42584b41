package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/route"
	"github.com/mastichollow/mastichollow/internal/upstream"
)

// framedResponse is a complete response of a target, as it stands on the connection.
type framedResponse struct {
	framing upstream.Framing
	head    string   // follows the identifier
	pieces  []string // of the body, as they stand on the connection
	end     string   // last chunk
}

func (f framedResponse) raw(r targetRequest) string {
	return head(200, r, "Seal: m\r\n"+f.head+"\r\n") + strings.Join(f.pieces, "") + f.end
}

// framedResponses returns a response with the body pieces in each framing.
func framedResponses(contentType string, pieces ...string) []framedResponse {
	fields := "Content-Type: " + contentType + "\r\n"
	var chunks []string
	size := 0
	for _, piece := range pieces {
		chunks = append(chunks, fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece))
		size += len(piece)
	}
	return []framedResponse{
		{upstream.FramingLength, fields + fmt.Sprintf("Content-Length: %d\r\n", size), pieces, ""},
		{upstream.FramingChunked, fields + "Transfer-Encoding: chunked\r\n", chunks, "0\r\n\r\n"},
		{upstream.FramingClose, fields, pieces, ""},
	}
}

// crashAfter sends the first size bytes of the response; then the connection is closed
// in order or, with reset, reset.
func crashAfter(response framedResponse, size int, reset bool) targetHandler {
	return func(c net.Conn, r targetRequest) {
		write(c, response.raw(r)[:size])
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
	}
}

// rawSize returns the bytes of the response on the connection.
func (f framedResponse) rawSize() int {
	return len(f.raw(targetRequest{header: http.Header{"Id": {"id-1"}}}))
}

// undetectable reports whether an orderly close after size bytes looks like the end of
// the response: its end is the close of the connection, and no event has begun.
func (f framedResponse) undetectable(size int, streamed bool) bool {
	if f.framing != upstream.FramingClose {
		return false
	}
	boundary := f.rawSize() - len(strings.Join(f.pieces, ""))
	if !streamed {
		return size >= boundary
	}
	for _, piece := range f.pieces {
		if size == boundary {
			return true
		}
		boundary += len(piece)
	}
	return false
}

func TestBrokenOffResponseDoesNotLookComplete(t *testing.T) {
	for name, c := range map[string]struct {
		kind      route.Route
		responses []framedResponse
	}{
		"streamed":                  {streamOnce, framedResponses("text/event-stream", event(1), event(2))},
		"streamed on a plain route": {once, framedResponses("text/event-stream; charset=utf-8", event(1), event(2))},
		"whole":                     {once, framedResponses("text/plain", "one ", "two")},
	} {
		for _, response := range c.responses {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, reset %t", name, response.framing, reset), func(t *testing.T) {
					for cut := range response.rawSize() {
						if !reset && response.undetectable(cut, name != "whole") {
							continue
						}
						f := newFixture(t, testRoutes(c.kind), crashAfter(response, cut, reset))
						got := f.send("/p/", "body", patient...)
						require.Len(t, f.receivedRequests(), 1)
						require.False(t, got.err == nil && got.status == 200, "complete after %d of %d bytes: %q", cut, response.rawSize(), got.body)
					}
				})
			}
		}
	}
}

// A target that stops inside its head and closes gave no answer, whatever the framing that
// the head has announced up to there.
func TestHeadCutBeforeCloseIsBadGateway(t *testing.T) {
	for name, c := range map[string]struct {
		kind      route.Route
		responses []framedResponse
	}{
		"streamed": {streamOnce, framedResponses("text/event-stream", event(1), event(2))},
		"plain":    {once, framedResponses("text/plain", "one ", "two")},
	} {
		for _, response := range c.responses {
			headSize := response.rawSize() - len(strings.Join(response.pieces, "")+response.end)
			var cut atomic.Int64
			f := newFixture(t, testRoutes(c.kind), func(conn net.Conn, r targetRequest) { crashAfter(response, int(cut.Load()), false)(conn, r) })
			for cut.Store(0); cut.Load() < int64(headSize); cut.Add(1) {
				got := f.send("/p/", "body", patient...)
				require.NoError(t, got.err, "%s, %s, cut at %d", name, response.framing, cut.Load())
				require.Equal(t, http.StatusBadGateway, got.status, "%s, %s, cut at %d", name, response.framing, cut.Load())
			}
			require.Len(t, f.receivedRequests(), headSize, "each request is sent once")
		}
	}
}

// resumeEvents sends the events after the last one that the caller received, up to last.
func resumeEvents(last int) targetHandler {
	return func(c net.Conn, r targetRequest) {
		received, _ := strconv.Atoi(r.header.Get("Last")) // 0: not set
		streamEvents(received+1, last, true)(c, r)
	}
}

func TestBrokenOffStreamResumesInEachFraming(t *testing.T) {
	for _, response := range framedResponses("text/event-stream", event(1), event(2)) {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", response.framing, reset), func(t *testing.T) {
				for cut := range response.rawSize() {
					if !reset && response.undetectable(cut, true) {
						continue
					}
					handler := firstRequestThen(crashAfter(response, cut, reset), resumeEvents(2))
					f := newFixture(t, testRoutes(resumable), handler, handler)
					got := f.send("/p/", "body", patient...)
					require.NoError(t, got.err, "after %d bytes", cut)
					require.Equal(t, eventsUpTo(2), got.body, "after %d bytes", cut)
				}
			})
		}
	}
}

func TestCompleteResponseForwardedInEachFraming(t *testing.T) {
	for _, c := range []struct {
		kind      route.Route
		responses []framedResponse
		body      string
	}{
		{streamOnce, framedResponses("text/event-stream", event(1), event(2)), eventsUpTo(2)},
		{once, framedResponses("text/plain", "one ", "two"), "one two"},
	} {
		for _, response := range c.responses {
			f := newFixture(t, testRoutes(c.kind), crashAfter(response, response.rawSize(), false))
			got := f.send("/p/", "body", patient...)
			require.NoError(t, got.err, response.framing)
			require.Equal(t, 200, got.status)
			require.Equal(t, c.body, got.body, response.framing)
		}
	}
}

// TestStreamWithLengthEndingInsideEventIsIncomplete covers streams whose framing is whole
// while their last event is not.
func TestStreamWithLengthEndingInsideEventIsIncomplete(t *testing.T) {
	for _, response := range framedResponses("text/event-stream", event(1), "id: 2\ndata: e") {
		f := newFixture(t, testRoutes(streamOnce), crashAfter(response, response.rawSize(), false))
		got := f.send("/p/", "body", patient...)
		require.Error(t, got.err, response.framing)
	}
}

func TestBrokenOffResponseDoesNotLookCompleteOverHTTP10(t *testing.T) {
	for name, c := range map[string]struct {
		kind  route.Route
		pairs []framedResponse
	}{
		"streamed": {streamOnce, framedResponses("text/event-stream", event(1), event(2))},
		"whole":    {once, framedResponses("text/plain", strings.Repeat("one ", plainBufferSize), "two")},
	} {
		for _, response := range c.pairs {
			f := newFixture(t, testRoutes(c.kind), crashAfter(response, response.rawSize()-len(response.end)-1, true))
			conn, err := net.Dial("tcp4", f.server.Listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			write(conn, "POST /p/ HTTP/1.0\r\nHost: h.example\r\nId: id-1\r\nKey: k\r\nTimeout-Ms: 3000\r\nContent-Length: 0\r\n\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				continue // the reset overtook the head
			}
			_, err = io.ReadAll(resp.Body)
			require.True(t, err != nil || resp.StatusCode != http.StatusOK, "%s, %s: looks complete", name, response.framing)
			resp.Body.Close()
		}
	}
}

func TestResumedStreamNotBoundByLengthOfFirstResponse(t *testing.T) {
	first := framedResponses("text/event-stream", event(1), event(2))[0]
	handler := firstRequestThen(crashAfter(first, first.rawSize()-1, false), resumeEvents(3))
	f := newFixture(t, testRoutes(resumable), handler, handler)
	got := f.send("/p/", "body", patient...)
	require.NoError(t, got.err)
	require.Equal(t, eventsUpTo(3), got.body)
}

// TestInvalidStatusIsBadGateway guards against answers that no client understands, and against a
// panic of net/http, which accepts such a status and does not write it.
func TestInvalidStatusIsBadGateway(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "+20", "20"} {
		for _, response := range framedResponses("text/plain", "one ", "two") {
			f := newFixture(t, testRoutes(once), func(c net.Conn, r targetRequest) {
				write(c, strings.Replace(response.raw(r), " 200 ", " "+status+" ", 1))
				c.Close()
			})
			got := f.send("/p/", "body", patient...)
			require.NoError(t, got.err, "status %q, %s", status, response.framing)
			require.Equal(t, http.StatusBadGateway, got.status, "status %q, %s", status, response.framing)
			require.Len(t, f.receivedRequests(), 1)
			for id, load := range f.controller.Report(0).Loads {
				require.Zero(t, load.InFlight, "target %s, status %q", id, status)
			}
		}
	}
}
