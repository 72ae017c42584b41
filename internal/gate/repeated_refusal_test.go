package gate

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// refusals are responses by which a target states that it did not run a request.
var refusals = map[string]func(id string) string{
	"rejection": func(id string) string {
		return "HTTP/1.1 503 X\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	},
	"misdirected": func(id string) string {
		return "HTTP/1.1 421 X\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	},
	"rejection with a body": func(id string) string {
		return "HTTP/1.1 503 X\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
	},
	"without identifier": func(string) string { return "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" },
}

// refusalRepeater is a target that refuses the first request, serves the second, and repeats
// the refusal on the connection of the second: while it is idle, or before the response to the
// third request if that comes on it.
type refusalRepeater struct {
	refusal string
	idle    bool

	mu       sync.Mutex
	conn     net.Conn // of the second request
	requests int
	kept     bool // the third request came on conn
}

func (h *refusalRepeater) handle(c net.Conn, r targetRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests++
	switch h.requests {
	case 1:
		write(c, h.refusal)
		return
	case 2:
		h.conn = c
		succeed("second")(c, r)
		if h.idle {
			time.Sleep(20 * time.Millisecond) // so that it is not part of the response
			write(c, h.refusal)
		}
		return
	}
	if h.kept = c == h.conn; h.kept && !h.idle {
		write(c, h.refusal)
	}
	succeed("third")(c, r)
}

// A refusal that a target repeats on a kept connection belongs to the earlier request: the next
// one runs, so it must not be answered as not run, nor run at a second target.
func TestRepeatedRefusalDoesNotRefuseNextRequest(t *testing.T) {
	for name, refusal := range refusals {
		for _, idle := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				h := &refusalRepeater{refusal: refusal("first"), idle: idle}
				f := newFixture(t, testRoutes(once), h.handle)
				require.Equal(t, 503, f.send("/p/", "b", "Id", "first").status)
				for got := 0; got != 200; {
					got = f.send("/p/", "b", append([]string{"Id", "second"}, patient...)...).status
				}
				time.Sleep(50 * time.Millisecond)
				third := f.send("/p/", "b", append([]string{"Id", "third"}, patient...)...)
				require.Equal(t, 3, h.requests, "the third request ran once")
				require.Equal(t, !idle, h.kept)
				if name == "without identifier" && !idle {
					require.Equal(t, 502, third.status, "whose refusal it is cannot be told")
					return
				}
				require.Equal(t, 200, third.status)
				require.Equal(t, "third", third.body)
			})
		}
	}
}
