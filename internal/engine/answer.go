package engine

import (
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/budget"
)

const (
	rawFrameBytes        = 32 << 10 // largest frame of an answer that is not parsed
	maxFrameBytes        = 64 << 10 // no event is added to a frame of this size or more
	maxProblemBytes      = 64 << 10 // largest problem document that is read
	mediaTypeEventStream = "text/event-stream"
	mediaTypeProblem     = "application/problem+json"
	doneEvent            = "[DONE]"
	headerContentType    = "Content-Type"
	headerAcceptEncoding = "Accept-Encoding"
)

// httpAnswer is an Answer over HTTP.
type httpAnswer struct {
	resp      *http.Response
	watchdog  *watchdog
	nextFrame func() (Frame, error) // reads the next frame
	// onStall is called when a read fails with ErrStalled.
	onStall  func()
	finalErr error // error of the read that failed; returned by all further reads
}

// Status implements Answer.
func (a *httpAnswer) Status() int { return a.resp.StatusCode }

// Header implements Answer.
func (a *httpAnswer) Header() http.Header { return endToEndHeaders(a.resp.Header) }

// Next implements Answer.
func (a *httpAnswer) Next(ctx context.Context) (Frame, error) {
	if a.finalErr != nil {
		return Frame{}, a.finalErr
	}
	stop := a.watchdog.cancelWith(ctx)
	frame, err := a.nextFrame()
	stop()
	if err != nil {
		a.finalErr = a.markError(err)
		return Frame{}, a.finalErr
	}
	return frame, nil
}

func (a *httpAnswer) markError(err error) error {
	switch {
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		return io.EOF
	case errors.Is(context.Cause(a.watchdog.ctx), ErrStalled):
		a.onStall()
		return errors.Mark(errors.Wrap(err, "reading an answer"), ErrStalled)
	default:
		return errors.Mark(errors.Wrap(err, "reading an answer"), ErrTruncated)
	}
}

// Close implements Answer.
func (a *httpAnswer) Close() error {
	err := a.resp.Body.Close()
	a.watchdog.cancel(context.Canceled)
	return err
}

// hasDelimitedBody reports whether a complete body can be distinguished from a
// truncated one: its length is known or it is chunked.
func hasDelimitedBody(resp *http.Response) bool {
	bodiless := resp.Request.Method == http.MethodHead
	return bodiless || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// rawFrames returns a function that reads the next frame of an answer whose bytes
// are passed on without being parsed.
func rawFrames(resp *http.Response) func() (Frame, error) {
	return func() (Frame, error) {
		data := make([]byte, rawFrameBytes)
		n, err := resp.Body.Read(data)
		if n > 0 {
			return Frame{Data: data[:n]}, nil
		}
		if errors.Is(err, io.EOF) && !hasDelimitedBody(resp) {
			err = io.ErrUnexpectedEOF
		}
		return Frame{}, err
	}
}

// eventFrames returns a function that reads the next event of a stream whose end no event
// marks. A stream that ends inside an event is truncated, whatever its framing says.
func eventFrames(resp *http.Response, maxEventBytes int, memory *budget.Bytes) func() (Frame, error) {
	reader := newEventReader(resp.Body, maxEventBytes, memory)
	return func() (Frame, error) {
		ev, err := reader.next()
		if errors.Is(err, io.EOF) && !hasDelimitedBody(resp) {
			err = io.ErrUnexpectedEOF
		}
		return Frame{Data: bytes.Clone(ev.raw)}, err
	}
}

// mediaType returns the media type of an answer without its parameters.
func mediaType(h http.Header) string {
	t, _, err := mime.ParseMediaType(h.Get(headerContentType))
	if err != nil {
		return ""
	}
	return t
}

// splitList splits a comma-separated header value.
func splitList(value string) []string {
	parts := strings.Split(value, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
