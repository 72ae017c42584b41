package upstream

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/budget"
	"github.com/mastichollow/mastichollow/internal/desync"
)

// maxHeadBytes bounds the bytes of all response heads read for one call: its own,
// interim ones (1xx) and those of other calls.
const maxHeadBytes = desync.MaxHeadBytes

const (
	// freeHeadBytes is the part of a call's heads that needs no memory of the budget, so
	// that no faulty target can take it from sound ones.
	freeHeadBytes = 4 << 10
	// headMemoryFactor is the memory that a byte of a head takes: as received, in its
	// line and in its field.
	headMemoryFactor = 3
)

// errHeadMemory: the budget has no memory for a long head.
var errHeadMemory = errors.New("memory for response heads is exhausted")

// errHeadTooLong: the response heads of a call exceed maxHeadBytes.
var errHeadTooLong = errors.Newf("response heads are longer than %d bytes", maxHeadBytes)

// headLimiter reads from a connection, records the head that is being read and fails
// once the heads of a call's responses are too long. Bodies are not counted, except for
// the part that is read into the buffer with a head.
type headLimiter struct {
	raw         io.Reader
	memory      *budget.Lease // of the current call
	remaining   int           // bytes that heads may still have in this call
	readingHead bool          // a head is being read
	recorded    []byte        // the head that is being read, and what was read beyond it
}

// begin starts to record a head. buffered is its part that was read before.
func (l *headLimiter) begin(buffered []byte) {
	l.readingHead = true
	l.recorded = append([]byte(nil), buffered...)
}

// end returns the recorded head without the last unread bytes, which do not belong to
// it.
func (l *headLimiter) end(unread int) []byte {
	l.readingHead = false
	head := l.recorded[:max(0, len(l.recorded)-unread)]
	l.recorded = nil
	return head
}

// reset restores the limit for a new call, with the lease for its heads.
func (l *headLimiter) reset(memory *budget.Lease) {
	l.remaining = maxHeadBytes
	l.memory = memory
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.readingHead {
		return l.raw.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLong
	}
	p = p[:min(len(p), l.remaining)]
	if l.remaining <= maxHeadBytes-freeHeadBytes && !l.memory.Grow(headMemoryFactor*int64(len(p))) {
		return 0, errHeadMemory
	}
	n, err := l.raw.Read(p)
	l.remaining -= n
	l.recorded = append(l.recorded, p[:n]...)
	return n, err
}
