package upstream

import (
	"io"

	"github.com/cockroachdb/errors"
)

// maxHeads bounds the heads of all answers that are read for one call: the own
// one, interim ones (1xx) and those of other calls. Targets send some hundred
// bytes; net/http reads a head of any length.
const maxHeads = 16 << 10

// errLongHead: a target sends a head, or heads, without end.
var errLongHead = errors.Newf("heads of answers are longer than %d bytes", maxHeads)

// headLimit reads from a connection and fails once the heads of a call's answers
// are too long. Bodies are not counted, but for what one buffer holds.
type headLimit struct {
	raw  io.Reader
	left int  // bytes that the heads of the call may still have
	head bool // a head is being read
}

// begin makes room for the heads of a new call.
func (l *headLimit) begin() { l.left = maxHeads }

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.head {
		return l.raw.Read(p)
	}
	if l.left <= 0 {
		return 0, errLongHead
	}
	n, err := l.raw.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}
