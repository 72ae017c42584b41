package upstream

import (
	"io"

	"github.com/cockroachdb/errors"
)

// maxHeadBytes bounds the bytes of all response heads read for one call: its own,
// interim ones (1xx) and those of other calls. Targets send some hundred bytes;
// net/http would read a head of any length.
const maxHeadBytes = 16 << 10

// errHeadTooLong: the response heads of a call exceed maxHeadBytes.
var errHeadTooLong = errors.Newf("response heads are longer than %d bytes", maxHeadBytes)

// headLimiter reads from a connection and fails once the heads of a call's responses
// are too long. Bodies are not counted, except for the part that is read into the
// buffer with a head.
type headLimiter struct {
	raw         io.Reader
	remaining   int  // bytes that heads may still have in this call
	readingHead bool // a head is being read
}

// reset restores the limit for a new call.
func (l *headLimiter) reset() { l.remaining = maxHeadBytes }

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.readingHead {
		return l.raw.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.raw.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}
