package upstream

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/desync"
)

// maxHeadBytes bounds the bytes of all response heads read for one call: its own,
// interim ones (1xx) and those of other calls.
const maxHeadBytes = desync.MaxHeadBytes

// errHeadTooLong: the response heads of a call exceed maxHeadBytes.
var errHeadTooLong = errors.Newf("response heads are longer than %d bytes", maxHeadBytes)

// headLimiter reads from a connection, records the head that is being read and fails
// once the heads of a call's responses are too long. Bodies are not counted, except for
// the part that is read into the buffer with a head.
type headLimiter struct {
	raw         io.Reader
	remaining   int    // bytes that heads may still have in this call
	readingHead bool   // a head is being read
	recorded    []byte // the head that is being read, and what was read beyond it
}

// begin starts to record a head. buffered is its part that was read before.
func (l *headLimiter) begin(buffered []byte) {
	l.readingHead = true
	l.recorded = append(l.recorded[:0], buffered...)
}

// end returns the recorded head without the last unread bytes, which do not belong to
// it. The head is valid until the next call of begin or reset.
func (l *headLimiter) end(unread int) []byte {
	l.readingHead = false
	return l.recorded[:max(0, len(l.recorded)-unread)]
}

// reset restores the limit for a new call.
func (l *headLimiter) reset() {
	l.remaining = maxHeadBytes
	l.recorded = nil
}

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
	l.recorded = append(l.recorded, p[:n]...)
	return n, err
}
