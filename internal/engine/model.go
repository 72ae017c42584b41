package engine

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// errTooLarge is the error of an answer above Options.MaxWhole.
var errTooLarge = errors.New("answer is too large")

// ModelClient calls a model engine by the Chat Completions protocol. Its units
// are tokens.
type ModelClient struct {
	*client
}

// NewModelClient returns a client of the model engine at base (URL).
func NewModelClient(base string, options Options) *ModelClient {
	return &ModelClient{client: newClient(base, options)}
}

// Do implements Client.
func (m *ModelClient) Do(ctx context.Context, call Call) (Answer, error) {
	call.Header = endToEnd(call.Header)
	call.Header.Del(headerAccepted) // tokens are counted in the plain answer
	resp, g, err := m.begin(ctx, call)
	if err != nil {
		return nil, err
	}
	if err := m.refused(resp, g); err != nil {
		return nil, err
	}
	if mediaType(resp.Header) == typeEvents {
		return &body{resp: resp, guard: g, pull: m.pullEvents(resp), stalled: m.leaveIdle}, nil
	}
	return &body{resp: resp, guard: g, pull: m.pullWhole(resp), stalled: m.leaveIdle}, nil
}

// pullEvents returns a pull function for a stream, which is whole after its
// done event. Events that have arrived together make one frame.
func (m *ModelClient) pullEvents(resp *http.Response) func() (Frame, error) {
	reader := newEventReader(resp.Body, m.options.MaxEvent)
	var count meter
	done := false
	return func() (Frame, error) {
		var frame Frame
		for !done {
			ev, err := reader.next()
			if err != nil {
				return Frame{}, cutShort(err)
			}
			frame.Data = append(frame.Data, ev.raw...)
			done = string(ev.data) == doneEvent
			if !done && ev.hasData {
				frame.Units += count.add(ev.data)
			}
			if done || len(frame.Data) >= maxFrame || !reader.eventBuffered() {
				return frame, nil
			}
		}
		return Frame{}, io.EOF
	}
}

// pullWhole returns a pull function for an answer that is not streamed: one
// frame once it is whole, since its token count may stand anywhere in it.
func (m *ModelClient) pullWhole(resp *http.Response) func() (Frame, error) {
	var frame Frame
	return func() (Frame, error) {
		if frame.Data != nil {
			return Frame{}, io.EOF
		}
		data, err := m.readWhole(resp)
		if err != nil {
			return Frame{}, err
		}
		var count meter
		frame = Frame{Data: data, Units: count.add(data)}
		return frame, nil
	}
}

func (m *ModelClient) readWhole(resp *http.Response) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, int64(m.options.MaxWhole)+1))
	switch {
	case err != nil:
		return nil, cutShort(err)
	case len(data) > m.options.MaxWhole:
		return nil, errTooLarge
	case !delimited(resp):
		return nil, io.ErrUnexpectedEOF
	case len(data) == 0:
		return nil, io.EOF
	default:
		return data, nil
	}
}

// cutShort turns the end of the input into the error of a cut answer.
func cutShort(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
