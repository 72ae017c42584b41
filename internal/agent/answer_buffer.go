package agent

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// maxChunkBytes is the maximum size of the part of an answer that one message
// carries.
const maxChunkBytes = 32 << 10

// Errors of an answerBuffer.
var (
	errSuperseded        = errors.New("a newer stream has taken over the answer")
	errOffsetUnavailable = errors.New("offset is no longer held")
)

// answerBuffer buffers an answer between the target and the stream of the
// router. It retains the last window bytes after they were sent, so that a new
// stream can continue when the previous one was lost. A writer that is window
// bytes ahead of the stream blocks.
type answerBuffer struct {
	id     request.AttemptID
	window int
	// discardUnread lets the writer continue while no stream is attached: the
	// oldest bytes are discarded.
	discardUnread bool

	mu      sync.Mutex
	head    *wire.Head
	base    uint64 // offset of data[0] in the body
	data    []byte
	final   wire.Message  // End or Fail; nil until the answer has ended
	changed chan struct{} // closed and replaced on each change

	reader   uint64 // number of the stream that reads; 0: none so far
	attached bool
	headSent bool
	sent     uint64 // offset up to which the current stream has sent
}

func newAnswerBuffer(id request.AttemptID, window int, discardUnread bool) *answerBuffer {
	return &answerBuffer{id: id, window: window, discardUnread: discardUnread, changed: make(chan struct{})}
}

// notify wakes all goroutines that wait for a change. b.mu is held.
func (b *answerBuffer) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// setHead sets the head of the answer.
func (b *answerBuffer) setHead(h *wire.Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.head = h
	b.notify()
}

// write appends data. It blocks while the stream is window bytes behind. The
// error is the cause of ctx's cancellation.
func (b *answerBuffer) write(ctx context.Context, data []byte) error {
	for len(data) > 0 {
		n, wait := b.tryWrite(data)
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

// tryWrite appends as much of data as fits and returns its length. If nothing
// fits, it returns a channel that is closed on the next change.
func (b *answerBuffer) tryWrite(data []byte) (int, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.discardUnread && !b.attached {
		b.sent = b.endOffset()
	}
	unsent := int(b.endOffset() - b.sent)
	n := min(len(data), b.window-unsent)
	if n <= 0 {
		return 0, b.changed
	}
	b.data = append(b.data, data[:n]...)
	b.trim()
	b.notify()
	return n, nil
}

// trim discards bytes that were sent and lie before the window. b.mu is held.
func (b *answerBuffer) trim() {
	excess := len(b.data) - b.window
	if excess < b.window/4 {
		return // moving the bytes costs more than retaining them
	}
	b.data = append(b.data[:0], b.data[excess:]...)
	b.base += uint64(excess)
}

// endOffset returns the offset after the last byte. b.mu is held.
func (b *answerBuffer) endOffset() uint64 { return b.base + uint64(len(b.data)) }

// finish ends the answer with m, an End or a Fail.
func (b *answerBuffer) finish(m wire.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.final = m
	b.notify()
}

// size returns the number of buffered bytes.
func (b *answerBuffer) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.data)
}

// attach makes a new stream the only reader, starting at offset, and returns
// its number. head is set if the stream needs the head as well. A stream that
// read before is superseded.
func (b *answerBuffer) attach(offset uint64, head bool) (uint64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if offset < b.base || offset > b.endOffset() {
		return 0, errors.Wrapf(errOffsetUnavailable, "offset %d is not between %d and %d", offset, b.base, b.endOffset())
	}
	return b.attachLocked(offset, head), nil
}

// attachFirst makes the stream of the offer the reader of a new buffer and
// returns its number.
func (b *answerBuffer) attachFirst() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.attachLocked(0, true)
}

// attachLocked makes a new stream the only reader. b.mu is held.
func (b *answerBuffer) attachLocked(offset uint64, head bool) uint64 {
	b.reader++
	b.attached = true
	b.sent = offset
	b.headSent = !head
	b.notify()
	return b.reader
}

// detach detaches stream number reader and reports whether it was the current
// reader.
func (b *answerBuffer) detach(reader uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reader != b.reader {
		return false
	}
	b.attached = false
	b.notify()
	return true
}

// abandoned reports whether the answer has not ended and no stream has attached
// since stream number reader detached.
func (b *answerBuffer) abandoned(reader uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.final == nil && !b.attached && b.reader == reader
}

// next returns the next message for stream number reader. If there is none yet,
// it returns a channel that is closed on the next change. last is set with the
// message that closes the answer.
func (b *answerBuffer) next(reader uint64) (m wire.Message, last bool, wait <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case reader != b.reader:
		return nil, false, nil, errSuperseded
	case b.head != nil && !b.headSent:
		b.headSent = true
		return b.head, false, nil, nil
	case b.sent < b.endOffset():
		return b.nextChunk(), false, nil, nil
	case b.final != nil:
		return b.final, true, nil, nil
	default:
		return nil, false, b.changed, nil
	}
}

// nextChunk returns the next part of the body. b.mu is held.
func (b *answerBuffer) nextChunk() *wire.Chunk {
	from := int(b.sent - b.base)
	to := min(from+maxChunkBytes, len(b.data))
	chunk := &wire.Chunk{
		Attempt: b.id,
		Offset:  b.sent,
		Data:    append([]byte(nil), b.data[from:to]...),
	}
	b.sent += uint64(to - from)
	b.notify()
	return chunk
}
