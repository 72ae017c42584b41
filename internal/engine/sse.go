package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/budget"
	"github.com/mastichollow/mastichollow/internal/desync"
)

// errEventTooLarge is the error of a server-sent event that exceeds
// Options.MaxEventBytes.
var errEventTooLarge = errors.New("server-sent event is too large")

// errJoinedStream is the error of a stream that takes in the head of another answer.
var errJoinedStream = errors.New("stream takes in the head of another answer")

const sseBufferBytes = 16 << 10

// event is one server-sent event: its raw bytes up to and including the empty line
// that ends it, and the value of its data field.
type event struct {
	raw     []byte
	data    []byte
	hasData bool
}

// eventReader reads server-sent events.
type eventReader struct {
	reader        *bufio.Reader
	maxEventBytes int
	memory        *budget.Lease // for the part of an event beyond sseBufferBytes
	last          event         // its buffers are reused
}

func newEventReader(r io.Reader, maxEventBytes int, memory *budget.Bytes) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, sseBufferBytes), maxEventBytes: maxEventBytes, memory: memory.Lease()}
}

// next returns the next event, which is valid until the next call. It returns
// io.EOF at the end of the input and io.ErrUnexpectedEOF if the input ends
// inside an event.
func (e *eventReader) next() (event, error) {
	ev := event{raw: e.last.raw[:0], data: e.last.data[:0]}
	defer func() {
		e.last = ev
		if cap(ev.raw) > sseBufferBytes {
			e.last = event{}
		}
		e.memory.Release()
	}()
	for {
		line, err := e.readLine(e.maxEventBytes - len(ev.raw))
		if len(ev.raw) > sseBufferBytes && !e.memory.Grow(bufferMemoryFactor*int64(len(line))) {
			return event{}, budget.ErrExhausted
		}
		ev.raw = append(ev.raw, line...)
		if err != nil {
			return event{}, eventReadError(err, len(ev.raw))
		}
		content := bytes.TrimRight(line, "\r\n")
		if len(content) == 0 {
			if desync.IndexFramedHead(ev.raw) >= 0 {
				return event{}, errJoinedStream
			}
			return ev, nil
		}
		ev.addField(content)
	}
}

// readLine returns the next line with its terminator. A line of more than limit
// bytes is an error.
func (e *eventReader) readLine(limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := e.reader.ReadSlice('\n')
		if len(line)+len(part) > limit {
			return nil, errEventTooLarge
		}
		if err == nil && line == nil {
			return part, nil
		}
		if !e.memory.Grow(bufferMemoryFactor * int64(len(part))) {
			return nil, budget.ErrExhausted
		}
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// eventReadError turns io.EOF into io.ErrUnexpectedEOF if bytes of the event have
// been read.
func eventReadError(err error, read int) error {
	if errors.Is(err, io.EOF) && read > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// addField adds a line to the event's data if it is a data field. Several data
// fields are joined by newlines.
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

// eventBuffered reports whether a complete event is buffered, so that next returns
// without reading from the connection.
func (e *eventReader) eventBuffered() bool {
	buffered, _ := e.reader.Peek(e.reader.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}
