package engine

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/budget"
)

// bufferMemoryFactor is the memory that a byte of a buffered answer takes while its buffer
// grows.
const bufferMemoryFactor = 2

// errTooLarge is the error of an unstreamed answer that exceeds
// Options.MaxBufferedAnswerBytes.
var errTooLarge = errors.New("answer is too large")

// ModelClient calls a model engine by the Chat Completions protocol. Its service
// units are tokens.
type ModelClient struct {
	*client
}

// NewModelClient returns a client of the model engine at base (URL).
func NewModelClient(base string, options Options) *ModelClient {
	return &ModelClient{client: newClient(base, options)}
}

// Do implements Client.
func (m *ModelClient) Do(ctx context.Context, call Call) (Answer, error) {
	call.Header = endToEndHeaders(call.Header)
	call.Header.Del(headerAcceptEncoding) // tokens can be counted only in an uncompressed answer
	resp, w, err := m.begin(ctx, call)
	if err != nil {
		return nil, err
	}
	if err := m.checkNotFenced(resp, w); err != nil {
		return nil, err
	}
	if mediaType(resp.Header) == mediaTypeEventStream {
		return &httpAnswer{resp: resp, watchdog: w, nextFrame: m.streamFrames(resp), onStall: m.closeIdleConnections}, nil
	}
	return &httpAnswer{resp: resp, watchdog: w, nextFrame: m.bufferedFrame(resp), onStall: m.closeIdleConnections}, nil
}

// streamFrames returns a function that reads the next frame of a stream. A stream
// is complete after its [DONE] event. Events that are already buffered are joined
// into one frame.
func (m *ModelClient) streamFrames(resp *http.Response) func() (Frame, error) {
	reader := newEventReader(resp.Body, m.options.MaxEventBytes, m.memory)
	var counter tokenCounter
	done := false
	return func() (Frame, error) {
		var frame Frame
		for !done {
			ev, err := reader.next()
			if err != nil {
				return Frame{}, eofToUnexpectedEOF(err)
			}
			frame.Data = append(frame.Data, ev.raw...)
			done = string(ev.data) == doneEvent
			if !done && ev.hasData {
				frame.Units += counter.add(ev.data)
			}
			if done || len(frame.Data) >= maxFrameBytes || !reader.eventBuffered() {
				return frame, nil
			}
		}
		return Frame{}, io.EOF
	}
}

// bufferedFrame returns a function that reads an answer that is not streamed as one
// frame. The answer is buffered until it is complete, because its token count may
// be anywhere in it.
func (m *ModelClient) bufferedFrame(resp *http.Response) func() (Frame, error) {
	var frame Frame
	return func() (Frame, error) {
		if frame.Data != nil {
			return Frame{}, io.EOF
		}
		data, err := m.readCompleteBody(resp)
		if err != nil {
			return Frame{}, err
		}
		var counter tokenCounter
		frame = Frame{Data: data, Units: counter.add(data)}
		return frame, nil
	}
}

func (m *ModelClient) readCompleteBody(resp *http.Response) ([]byte, error) {
	lease := m.memory.Lease()
	defer lease.Release()
	body := budget.NewReader(io.LimitReader(resp.Body, int64(m.options.MaxBufferedAnswerBytes)+1), lease, bufferMemoryFactor)
	data, err := io.ReadAll(body)
	switch {
	case err != nil:
		return nil, eofToUnexpectedEOF(err)
	case len(data) > m.options.MaxBufferedAnswerBytes:
		return nil, errTooLarge
	case !hasDelimitedBody(resp):
		return nil, io.ErrUnexpectedEOF
	case len(data) == 0:
		return nil, io.EOF
	default:
		return data, nil
	}
}

// eofToUnexpectedEOF turns io.EOF, which callers take for the end of a complete
// answer, into io.ErrUnexpectedEOF.
func eofToUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
