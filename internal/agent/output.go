package agent

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// maxChunk is the largest piece of an answer in one message, in bytes.
const maxChunk = 32 << 10

// Errors of an output.
var (
	errSuperseded = errors.New("a newer stream has taken over the answer")
	errGap        = errors.New("offset is no longer held")
)

// output buffers an answer between the target and the router's stream. It
// keeps the last window bytes also after they were sent, so that a new stream
// can continue when the old one was lost. A writer that is window bytes ahead
// of the stream waits.
type output struct {
	id     request.AttemptID
	window int
	// lossy lets the writer go on without a stream: the oldest bytes are
	// given up instead.
	lossy bool

	mu      sync.Mutex
	head    *wire.Head
	base    uint64 // offset of data[0] in the body
	data    []byte
	final   wire.Message  // End or Fail, nil while the answer goes on
	changed chan struct{} // closed and replaced on each change

	reader   uint64 // number of the stream that reads; 0: none yet
	attached bool
	headSent bool
	sent     uint64 // offset up to which the stream has sent
}

func newOutput(id request.AttemptID, window int, lossy bool) *output {
	return &output{id: id, window: window, lossy: lossy, changed: make(chan struct{})}
}

// notify wakes all who wait for a change. o.mu is held.
func (o *output) notify() {
	close(o.changed)
	o.changed = make(chan struct{})
}

// setHead begins the answer.
func (o *output) setHead(h *wire.Head) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.head = h
	o.notify()
}

// write appends data, after waiting while the stream is too far behind.
func (o *output) write(ctx context.Context, data []byte) error {
	for len(data) > 0 {
		n, wait := o.tryWrite(data)
		data = data[n:]
		if n > 0 {
			continue
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

func (o *output) tryWrite(data []byte) (int, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lossy && !o.attached {
		o.sent = o.end()
	}
	unsent := int(o.end() - o.sent)
	n := min(len(data), o.window-unsent)
	if n <= 0 {
		return 0, o.changed
	}
	o.data = append(o.data, data[:n]...)
	o.trim()
	o.notify()
	return n, nil
}

// trim drops bytes that were sent and lie before the window. o.mu is held.
func (o *output) trim() {
	excess := len(o.data) - o.window
	if excess < o.window/4 {
		return // moving the bytes costs more than keeping them
	}
	o.data = append(o.data[:0], o.data[excess:]...)
	o.base += uint64(excess)
}

// end returns the offset after the last byte. o.mu is held.
func (o *output) end() uint64 { return o.base + uint64(len(o.data)) }

// finish closes the answer with End or Fail.
func (o *output) finish(m wire.Message) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.final = m
	o.notify()
}

// size returns the number of bytes held.
func (o *output) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.data)
}

// attach makes a stream the only reader, from offset on, and returns its
// number. A stream that read before is superseded.
func (o *output) attach(offset uint64, head bool) (uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if offset < o.base || offset > o.end() {
		return 0, errors.Wrapf(errGap, "offset %d is not between %d and %d", offset, o.base, o.end())
	}
	return o.attachLocked(offset, head), nil
}

// attachFirst makes the offer's own stream the reader of a new output.
func (o *output) attachFirst() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.attachLocked(0, true)
}

// attachLocked makes a stream the only reader. o.mu is held.
func (o *output) attachLocked(offset uint64, head bool) uint64 {
	o.reader++
	o.attached = true
	o.sent = offset
	o.headSent = !head
	o.notify()
	return o.reader
}

// detach ends the reading by stream number reader and reports whether it was
// the current one.
func (o *output) detach(reader uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if reader != o.reader {
		return false
	}
	o.attached = false
	o.notify()
	return true
}

// abandoned reports whether the answer goes on and no stream has read it since
// stream number reader.
func (o *output) abandoned(reader uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.final == nil && !o.attached && o.reader == reader
}

// next returns the next message for stream number reader. Without one it
// returns a channel that is closed on the next change. last is set with the
// message that closes the answer.
func (o *output) next(reader uint64) (m wire.Message, last bool, wait <-chan struct{}, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case reader != o.reader:
		return nil, false, nil, errSuperseded
	case o.head != nil && !o.headSent:
		o.headSent = true
		return o.head, false, nil, nil
	case o.sent < o.end():
		return o.nextChunk(), false, nil, nil
	case o.final != nil:
		return o.final, true, nil, nil
	default:
		return nil, false, o.changed, nil
	}
}

// nextChunk returns the next piece of the body. o.mu is held.
func (o *output) nextChunk() *wire.Chunk {
	from := int(o.sent - o.base)
	to := min(from+maxChunk, len(o.data))
	chunk := &wire.Chunk{
		Attempt: o.id,
		Offset:  o.sent,
		Data:    append([]byte(nil), o.data[from:to]...),
	}
	o.sent += uint64(to - from)
	o.notify()
	return chunk
}
