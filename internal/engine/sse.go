package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// errEventTooLarge is the error of a server-sent event above Options.MaxEvent.
var errEventTooLarge = errors.New("server-sent event is too large")

const sseBufferSize = 16 << 10 // bytes

// event is one server-sent event: its raw bytes with the empty line that ends
// it, and the value of its data field.
type event struct {
	raw     []byte
	data    []byte
	hasData bool
}

// eventReader reads server-sent events.
type eventReader struct {
	r    *bufio.Reader
	max  int   // bytes of one event
	last event // whose buffers are used again
}

func newEventReader(r io.Reader, maxEvent int) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, sseBufferSize), max: maxEvent}
}

// next returns the next event, which is valid until the next call. It returns
// io.EOF at the end of the input and io.ErrUnexpectedEOF if the input ends
// inside an event.
func (e *eventReader) next() (event, error) {
	ev := event{raw: e.last.raw[:0], data: e.last.data[:0]}
	defer func() { e.last = ev }()
	for {
		line, err := e.line(e.max - len(ev.raw))
		ev.raw = append(ev.raw, line...)
		if err != nil {
			return event{}, endOfEvent(err, len(ev.raw))
		}
		content := bytes.TrimRight(line, "\r\n")
		if len(content) == 0 {
			return ev, nil
		}
		ev.addField(content)
	}
}

// line returns the next line with its end, of at most limit bytes.
func (e *eventReader) line(limit int) ([]byte, error) {
	var whole []byte
	for {
		part, err := e.r.ReadSlice('\n')
		if len(whole)+len(part) > limit {
			return nil, errEventTooLarge
		}
		if err == nil && whole == nil {
			return part, nil
		}
		whole = append(whole, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return whole, err
		}
	}
}

func endOfEvent(err error, read int) error {
	if errors.Is(err, io.EOF) && read > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// addField adds a line of the event if it is a data field.
func (ev *event) addField(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return
	}
	if ev.hasData {
		ev.data = append(ev.data, '\n')
	}
	ev.hasData = true
	ev.data = append(ev.data, bytes.TrimPrefix(value, []byte(" "))...)
}

// eventBuffered reports whether a whole event can be read without waiting.
func (e *eventReader) eventBuffered() bool {
	buffered, _ := e.r.Peek(e.r.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}
