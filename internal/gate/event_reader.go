package gate

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/budget"
	"github.com/mastichollow/mastichollow/internal/desync"
	"github.com/mastichollow/mastichollow/internal/upstream"
)

const (
	// initialEventBuffer is the initial buffer size in bytes; it holds a few events.
	initialEventBuffer = 2048
	// maxEventSize bounds one event in bytes. The largest events of the deployments
	// have some hundred bytes, and a gate with 112 MB of memory must survive some
	// hundred streams with an event that never ends.
	maxEventSize = 64 << 10
	// freeEventBytes is the size of the buffer that needs no memory of the budget, so that
	// no faulty target can take it from sound ones.
	freeEventBytes = 8 << 10
	// eventMemoryFactor is the memory that a byte added to the buffer takes, with that of
	// the buffer that it replaces.
	eventMemoryFactor = 2
)

// errEventMemory: the budget has no memory for a long event.
var errEventMemory = errors.New("memory for responses is exhausted")

// errEventTruncated: the stream ended inside an event.
var errEventTruncated = errors.New("stream ended inside an event")

// errJoinedStream: the head of another response stands in the stream.
var errJoinedStream = errors.New("stream takes in the head of another response")

// errEventGap: a resumed stream does not continue where the previous one ended.
var errEventGap = errors.New("resumed stream does not continue after the last event")

// eventReader splits a stream into complete events and keeps the identifier of the
// last one.
//
// Invariants:
//   - Only complete events are returned, and a stream that ends inside an event is an
//     error, whatever its framing says.
//   - An event that takes in the head of another response is not returned.
//   - When the stream resumes after event resumeAfter, events up to that one are
//     dropped, and a stream that skips an event is an error.
type eventReader struct {
	body   io.Reader
	memory *budget.Lease // for a buffer beyond freeEventBytes
	buf    []byte
	start  int // of the bytes not returned yet
	end    int
	lastID string
	// partialBytes is the number of bytes after the last complete event. It is set when
	// the stream ends.
	partialBytes int
	// resumeAfter is the last event that the caller received, empty for a stream from
	// its start. It is cleared at the first newer event.
	resumeAfter string
}

// newEventReader returns a reader of the events in body. memory is its share of the memory
// for responses.
func newEventReader(body io.Reader, resumeAfter string, memory *budget.Lease) *eventReader {
	return &eventReader{body: body, memory: memory, buf: make([]byte, initialEventBuffer), lastID: resumeAfter, resumeAfter: resumeAfter}
}

// next returns the complete events that have arrived, at least one, or io.EOF at the end
// of a stream that ended after an event. The slice is valid until the next call.
func (e *eventReader) next() ([]byte, error) {
	for {
		if chunk, err := e.nextBuffered(); len(chunk) > 0 || err != nil {
			return chunk, err
		}
		if err := e.fill(); err != nil {
			e.partialBytes = len(bytes.Trim(e.buf[e.start:e.end], "\r\n"))
			if errors.Is(err, io.EOF) && e.partialBytes > 0 {
				return nil, errors.Mark(errEventTruncated, upstream.ErrLost)
			}
			return nil, err
		}
	}
}

// fill reads more bytes into the buffer, which it compacts or grows if needed.
func (e *eventReader) fill() error {
	if e.start > 0 {
		copy(e.buf, e.buf[e.start:e.end])
		e.end -= e.start
		e.start = 0
	}
	if e.end == len(e.buf) {
		if len(e.buf) >= maxEventSize {
			return errors.Newf("event is longer than %d bytes", maxEventSize)
		}
		if len(e.buf) >= freeEventBytes && !e.memory.Grow(eventMemoryFactor*int64(len(e.buf))) {
			return errEventMemory
		}
		e.buf = append(e.buf, make([]byte, len(e.buf))...)
	}
	n, err := e.body.Read(e.buf[e.end:])
	e.end += n
	if n > 0 && errors.Is(err, io.EOF) {
		return nil // the next read returns io.EOF again
	}
	return err
}

// nextBuffered returns the complete events in the buffer that the caller has not
// received.
func (e *eventReader) nextBuffered() ([]byte, error) {
	pending := e.buf[e.start:e.end]
	size := completeEventsLen(pending)
	if size == 0 {
		return nil, nil
	}
	chunk := pending[:size]
	if i := desync.IndexFramedHead(chunk); i >= 0 {
		size = completeEventsLen(pending[:i])
		if size == 0 {
			return nil, errors.Mark(errors.Mark(errJoinedStream, desync.ErrJoined), upstream.ErrLost)
		}
		chunk = pending[:size]
	}
	e.start += size
	if e.resumeAfter == "" {
		if id := findLastID(chunk); id != "" {
			e.lastID = id
		}
		return chunk, nil
	}
	return e.skipForwarded(chunk)
}

// skipForwarded drops the events up to the last one that the caller received.
func (e *eventReader) skipForwarded(chunk []byte) ([]byte, error) {
	seen, err := strconv.ParseInt(e.resumeAfter, 10, 64)
	if err != nil {
		return nil, errors.Wrapf(err, "event identifier %q is not a number", e.resumeAfter)
	}
	for len(chunk) > 0 {
		size := firstEventLen(chunk)
		id, err := strconv.ParseInt(findLastID(chunk[:size]), 10, 64)
		switch {
		case err != nil:
			return nil, errors.Wrap(errEventGap, "event without a numeric identifier")
		case id <= seen:
			chunk = chunk[size:]
		case id > seen+1:
			return nil, errors.Wrapf(errEventGap, "event %d follows event %d", id, seen)
		default:
			e.resumeAfter = ""
			e.lastID = findLastID(chunk)
			return chunk, nil
		}
	}
	return nil, nil
}

var (
	blankLine   = []byte("\n\n")
	blankLineCR = []byte("\r\n\r\n")
)

// completeEventsLen returns the length of the complete events at the start of b.
func completeEventsLen(b []byte) int {
	size := 0
	if i := bytes.LastIndex(b, blankLine); i >= 0 {
		size = i + len(blankLine)
	}
	if i := bytes.LastIndex(b, blankLineCR); i >= 0 {
		size = max(size, i+len(blankLineCR))
	}
	return size
}

// firstEventLen returns the length of the first event of b. b ends with a complete
// event.
func firstEventLen(b []byte) int {
	size := len(b)
	if i := bytes.Index(b, blankLine); i >= 0 {
		size = min(size, i+len(blankLine))
	}
	if i := bytes.Index(b, blankLineCR); i >= 0 {
		size = min(size, i+len(blankLineCR))
	}
	return size
}

// findLastID returns the last event identifier in b, empty if there is none.
func findLastID(b []byte) string {
	id := ""
	for line := range bytes.Lines(b) {
		if rest, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = string(bytes.TrimSpace(rest))
		}
	}
	return id
}
