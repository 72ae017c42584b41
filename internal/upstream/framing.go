package upstream

import "net/http"

// Framing is how a response marks the end of its body.
type Framing string

// Ways to mark the end of a body: its length in the head, a last chunk, or the close of
// the connection. The orderly close of a connection whose sender crashed looks like the
// last of them.
const (
	FramingLength  Framing = "length"
	FramingChunked Framing = "chunked"
	FramingClose   Framing = "close"
)

func framingOf(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0:
		return FramingLength
	case len(resp.TransferEncoding) > 0:
		return FramingChunked
	default:
		return FramingClose
	}
}
