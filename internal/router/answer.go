package router

import (
	"encoding/json"
	"mime"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// Errors of relaying an answer to the caller.
var (
	// errProtocol marks a message that does not follow from those before it. The stream
	// that it came on cannot be trusted.
	errProtocol = errors.New("message violates the protocol")
	// errCallerGone marks a failed write to the caller.
	errCallerGone = errors.New("caller closed the connection or stopped reading")
)

const contentTypeEventStream = "text/event-stream"

// answerWriter writes an answer to the caller. The header is written with the first
// byte of the body, so that an attempt that has produced no byte can still be retried.
type answerWriter struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	writeTimeout time.Duration // for one write

	head        *wire.Head
	eventStream bool   // the answer consists of server-sent events
	offset      uint64 // bytes of the body written
	committed   bool   // the header, and possibly part of the body, was written
	firstByte   time.Time
}

func newAnswerWriter(w http.ResponseWriter, writeTimeout time.Duration) *answerWriter {
	return &answerWriter{w: w, controller: http.NewResponseController(w), writeTimeout: writeTimeout}
}

// reset prepares for the answer of another attempt. It must not be called after
// commit.
func (a *answerWriter) reset() {
	a.head = nil
	a.eventStream = false
	a.offset = 0
}

// setHead stores the head of the answer until commit.
func (a *answerWriter) setHead(m *wire.Head) error {
	if a.head != nil {
		return errors.Wrap(errProtocol, "second head")
	}
	if m.Status < http.StatusOK || m.Status > 599 {
		return errors.Wrapf(errProtocol, "head with status %d", m.Status)
	}
	a.head = m
	for _, f := range m.Header {
		if http.CanonicalHeaderKey(f.Name) == "Content-Type" {
			mediaType, _, _ := mime.ParseMediaType(f.Value)
			a.eventStream = mediaType == contentTypeEventStream
		}
	}
	return nil
}

// writeChunk writes a piece of the body. With flush it is sent to the network at once.
func (a *answerWriter) writeChunk(m *wire.Chunk, flush bool) error {
	if a.head == nil {
		return errors.Wrap(errProtocol, "chunk before the head")
	}
	if m.Offset != a.offset {
		return errors.Wrapf(errProtocol, "chunk at offset %d, not %d", m.Offset, a.offset)
	}
	if len(m.Data) == 0 {
		return nil
	}
	a.commit()
	if _, err := a.w.Write(m.Data); err != nil {
		return a.writeError(err)
	}
	a.offset += uint64(len(m.Data))
	if !flush {
		return nil
	}
	return a.flush()
}

// finish ends the answer. It fails if the answer is not complete.
func (a *answerWriter) finish(m *wire.End) error {
	if a.head == nil {
		return errors.Wrap(errProtocol, "end before the head")
	}
	if m.Total != a.offset {
		return errors.Wrapf(errProtocol, "end at %d bytes, not %d", m.Total, a.offset)
	}
	a.commit()
	return nil
}

// commit extends the write deadline and writes the header if that was not done yet.
func (a *answerWriter) commit() {
	_ = a.controller.SetWriteDeadline(time.Now().Add(a.writeTimeout))
	if a.committed {
		return
	}
	a.committed = true
	a.firstByte = time.Now()
	copyAnswerHeader(a.w.Header(), a.head.Header)
	if a.head.Replayed {
		a.w.Header().Set("Idempotency-Replayed", "true")
	}
	a.w.WriteHeader(a.head.Status)
}

// flush sends buffered data to the network.
func (a *answerWriter) flush() error {
	err := a.controller.Flush()
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return a.writeError(err)
}

// writeError marks err as a protocol error if the answer's body contradicts its
// header, otherwise as a failure of the caller's connection.
func (a *answerWriter) writeError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, http.ErrContentLength), errors.Is(err, http.ErrBodyNotAllowed):
		return errors.Mark(err, errProtocol)
	default:
		return errors.Mark(err, errCallerGone)
	}
}

// writeErrorEvent reports an incomplete answer to a caller of server-sent events.
// Callers of other answers detect it by the aborted connection.
func (a *answerWriter) writeErrorEvent(id request.ID, refused *request.RefusedError) {
	if !a.eventStream {
		return
	}
	p := newProblem(id, refused, false)
	data, err := json.Marshal(struct {
		Error problemError `json:"error"`
	}{p.Error})
	if err != nil {
		return // cannot happen: all fields can be encoded
	}
	_ = a.controller.SetWriteDeadline(time.Now().Add(a.writeTimeout))
	_, _ = a.w.Write([]byte("\n\nevent: error\ndata: " + string(data) + "\n\n"))
	_ = a.controller.Flush()
}
