package gate

import (
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// errorResponses are answers of a target that are no continuation of a stream.
func errorResponses() map[string]targetHandler {
	text := "the error's text\n\nid: 4\ndata: no event\n\n"
	responses := map[string]targetHandler{
		"plain success":          succeed(text),
		"success without a type": respond(200, "Seal: m\r\n", text),
		"unsealed stream":        respond(200, "Content-Type: text/event-stream\r\n", eventsUpTo(6)),
		"head in the body":       respond(500, "Seal: m\r\n", "HTTP/1.1 500 X\r\n\r\n"+text),
		"chunked failure": func(c net.Conn, r targetRequest) {
			write(c, head(500, r, "Seal: m\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nerror\r\n0\r\n\r\n"))
		},
		"failure without a length": func(c net.Conn, r targetRequest) {
			write(c, head(500, r, "Seal: m\r\nConnection: close\r\n\r\n"+text))
			c.Close()
		},
	}
	for name, status := range map[string]int{"302": 302, "400": 400, "404": 404, "408": 408, "421": 421, "429": 429, "500": 500, "503": 503, "504": 504} {
		responses[name] = respond(status, "Seal: m\r\nContent-Type: text/event-stream\r\n", text)
		responses[name+" not run"] = respond(status, "Not-Run: 1\r\n", text)
	}
	return responses
}

// A stream that broke off must not go on with the error of the next target, nor end like a
// complete one.
func TestErrorOfNextTargetNeverEntersBrokenStream(t *testing.T) {
	for name, failure := range errorResponses() {
		for _, events := range []int{0, 3} {
			for _, closed := range []bool{false, true} {
				t.Run(name, func(t *testing.T) {
					broken := streamEvents(1, events, false)
					if closed {
						broken = func(c net.Conn, r targetRequest) {
							write(c, head(200, r, "Seal: m\r\nContent-Type: text/event-stream\r\n\r\n"+eventsUpTo(events)+"id: 4\nda"))
							c.Close()
						}
					}
					handler := firstRequestThen(broken, failure)
					f := newFixture(t, testRoutes(resumable), handler, handler)
					got := f.send("/p/", "b", patient...)
					if got.err == nil && got.status != 200 {
						require.Zero(t, events, "no part of the stream was forwarded")
						return
					}
					require.Error(t, got.err, "%q", got.body)
					require.True(t, strings.HasPrefix(eventsUpTo(events), got.body), "%q", got.body)
				})
			}
		}
	}
}
