package upstream

import "net/http"

// Framing is how a response marks the end of its body.
type Framing string

const (
	FramingLength  Framing = "length"  // a length in the head
	FramingChunked Framing = "chunked" // a last chunk
	// FramingClose: the connection closes. An orderly close of a connection whose
	// sender crashed looks the same.
	FramingClose Framing = "close"
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
