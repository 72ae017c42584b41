package socket

import "net/http"

// AbortResponse ends a response that has begun, in a way that its caller cannot take
// for its end, and does not return. A caller of HTTP/1.1 misses the last chunk or a part of
// the declared length. One of HTTP/1.0 takes the orderly close of the connection for the
// end of the body, so its connection is reset.
func AbortResponse(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection of a response, if it is one of TCP.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the server closes the connection
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
