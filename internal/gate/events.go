package gate

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// eventBuffer is the first size of the buffer for events, in bytes: a
	// handful of them.
	eventBuffer = 2048
	// maxEvent bounds one event, in bytes: the sheets' largest has some hundred,
	// and a gate of 112 MB must hold some hundred that never end.
	maxEvent = 64 << 10
)

// errGap: a resumed stream does not go on where the one before ended.
var errGap = errors.New("resumed stream does not continue after the last event")

// events splits a stream into whole events and keeps the identifier of the
// last one.
//
// Invariant: when it goes on after the event resumed, events up to that one are
// left out, and a stream that skips one is an error.
type events struct {
	body  io.Reader
	buf   []byte
	start int // of what was not returned yet
	end   int
	last  string
	// resumed is the event that the caller has seen last, empty for a stream
	// from its start. It is checked until the first newer event.
	resumed string
}

func newEvents(body io.Reader, resumed string) *events {
	return &events{body: body, buf: make([]byte, eventBuffer), last: resumed, resumed: resumed}
}

// next returns the whole events that have arrived, at least one, or what is
// left at the end with io.EOF. The bytes hold until the next call.
func (e *events) next() ([]byte, error) {
	for {
		if chunk, err := e.take(); len(chunk) > 0 || err != nil {
			return chunk, err
		}
		if err := e.fill(); err != nil {
			if !errors.Is(err, io.EOF) {
				return nil, err
			}
			rest, terr := e.take()
			if terr != nil {
				return nil, terr
			}
			if len(rest) == 0 && e.resumed == "" {
				rest = e.buf[e.start:e.end]
				e.start = e.end
			}
			return rest, io.EOF
		}
	}
}

// fill reads more bytes.
func (e *events) fill() error {
	if e.start > 0 {
		copy(e.buf, e.buf[e.start:e.end])
		e.end -= e.start
		e.start = 0
	}
	if e.end == len(e.buf) {
		if len(e.buf) >= maxEvent {
			return errors.Newf("event is longer than %d bytes", maxEvent)
		}
		e.buf = append(e.buf, make([]byte, len(e.buf))...)
	}
	n, err := e.body.Read(e.buf[e.end:])
	e.end += n
	if n > 0 && errors.Is(err, io.EOF) {
		return nil // seen again at the next read
	}
	return err
}

// take returns the whole events in the buffer that the caller has not seen.
func (e *events) take() ([]byte, error) {
	pending := e.buf[e.start:e.end]
	size := wholeEvents(pending)
	if size == 0 {
		return nil, nil
	}
	chunk := pending[:size]
	e.start += size
	if e.resumed == "" {
		if id := lastID(chunk); id != "" {
			e.last = id
		}
		return chunk, nil
	}
	return e.skipSeen(chunk)
}

// skipSeen leaves out the events up to the one that the caller saw last.
func (e *events) skipSeen(chunk []byte) ([]byte, error) {
	seen, err := strconv.ParseInt(e.resumed, 10, 64)
	if err != nil {
		return nil, errors.Wrapf(err, "event %q has no number", e.resumed)
	}
	for len(chunk) > 0 {
		size := firstEvent(chunk)
		id, err := strconv.ParseInt(lastID(chunk[:size]), 10, 64)
		switch {
		case err != nil:
			return nil, errors.Wrap(errGap, "event without a number")
		case id <= seen:
			chunk = chunk[size:]
		case id > seen+1:
			return nil, errors.Wrapf(errGap, "event %d follows event %d", id, seen)
		default:
			e.resumed = ""
			e.last = lastID(chunk)
			return chunk, nil
		}
	}
	return nil, nil
}

var (
	blankLine   = []byte("\n\n")
	blankLineCR = []byte("\r\n\r\n")
)

// wholeEvents returns the length of the whole events at the start of b.
func wholeEvents(b []byte) int {
	size := 0
	if i := bytes.LastIndex(b, blankLine); i >= 0 {
		size = i + len(blankLine)
	}
	if i := bytes.LastIndex(b, blankLineCR); i >= 0 {
		size = max(size, i+len(blankLineCR))
	}
	return size
}

// firstEvent returns the length of the first event of b, which ends with one.
func firstEvent(b []byte) int {
	size := len(b)
	if i := bytes.Index(b, blankLine); i >= 0 {
		size = min(size, i+len(blankLine))
	}
	if i := bytes.Index(b, blankLineCR); i >= 0 {
		size = min(size, i+len(blankLineCR))
	}
	return size
}

// lastID returns the last event identifier in b.
func lastID(b []byte) string {
	id := ""
	for line := range bytes.Lines(b) {
		if rest, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = string(bytes.TrimSpace(rest))
		}
	}
	return id
}
