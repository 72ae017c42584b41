package engine

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	chunkSize      = 32 << 10 // bytes of a frame of a plain answer
	maxFrame       = 64 << 10 // bytes after which no further event joins a frame
	maxProblem     = 64 << 10 // bytes of a problem document
	typeEvents     = "text/event-stream"
	typeProblem    = "application/problem+json"
	doneEvent      = "[DONE]"
	headerType     = "Content-Type"
	headerAccepted = "Accept-Encoding"
)

// body is an answer over HTTP, read by pull.
type body struct {
	resp  *http.Response
	guard *guard
	pull  func() (Frame, error) // reads the next frame
	// stalled is called when the answer makes no progress.
	stalled func()
	err     error
}

// Status implements Answer.
func (b *body) Status() int { return b.resp.StatusCode }

// Header implements Answer.
func (b *body) Header() http.Header { return endToEnd(b.resp.Header) }

// Next implements Answer.
func (b *body) Next(ctx context.Context) (Frame, error) {
	if b.err != nil {
		return Frame{}, b.err
	}
	stop := b.guard.watch(ctx)
	frame, err := b.pull()
	stop()
	if err != nil {
		b.err = b.translate(err)
		return Frame{}, b.err
	}
	return frame, nil
}

func (b *body) translate(err error) error {
	switch {
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		return io.EOF
	case errors.Is(context.Cause(b.guard.ctx), ErrStalled):
		b.stalled()
		return errors.Mark(errors.Wrap(err, "reading an answer"), ErrStalled)
	default:
		return errors.Mark(errors.Wrap(err, "reading an answer"), ErrTruncated)
	}
}

// Close implements Answer.
func (b *body) Close() error {
	err := b.resp.Body.Close()
	b.guard.cancel(context.Canceled)
	return err
}

// delimited reports whether the end of an answer's body can be told from a
// cut: its length is known or it comes in chunks.
func delimited(resp *http.Response) bool {
	bodiless := resp.Request.Method == http.MethodHead
	return bodiless || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// pullBytes returns a pull function for an answer that is passed on as it is.
func pullBytes(resp *http.Response) func() (Frame, error) {
	return func() (Frame, error) {
		data := make([]byte, chunkSize)
		n, err := resp.Body.Read(data)
		if n > 0 {
			return Frame{Data: data[:n]}, nil
		}
		if errors.Is(err, io.EOF) && !delimited(resp) {
			err = io.ErrUnexpectedEOF
		}
		return Frame{}, err
	}
}

// mediaType returns the media type of an answer without its parameters.
func mediaType(h http.Header) string {
	t, _, err := mime.ParseMediaType(h.Get(headerType))
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
