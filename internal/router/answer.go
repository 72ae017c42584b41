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

// Errors of an answer on its way to the caller.
var (
	// errBroken marks a message that does not fit the answer so far: the
	// stream that it came on is not to be trusted.
	errBroken = errors.New("message does not fit the answer")
	// errCallerGone marks a caller that takes no more of its answer.
	errCallerGone = errors.New("caller takes no more of its answer")
)

const contentTypeEvents = "text/event-stream"

// answer is the caller's side of an answer. Its header goes out with the first
// byte of the body, so that an attempt without a byte can still be repeated.
type answer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration // for one write

	head      *wire.Head
	events    bool // the answer is a stream of server-sent events
	offset    uint64
	committed bool // the header, and maybe more, has gone to the caller
	firstByte time.Time
}

func newAnswer(w http.ResponseWriter, timeout time.Duration) *answer {
	return &answer{w: w, control: http.NewResponseController(w), timeout: timeout}
}

// reset makes room for the answer of another attempt. Nothing has been
// committed.
func (a *answer) reset() {
	a.head = nil
	a.events = false
	a.offset = 0
}

// begin takes the head of the answer.
func (a *answer) begin(m *wire.Head) error {
	if a.head != nil {
		return errors.Wrap(errBroken, "second head")
	}
	if m.Status < http.StatusOK || m.Status > 599 {
		return errors.Wrapf(errBroken, "head with status %d", m.Status)
	}
	a.head = m
	for _, f := range m.Header {
		if http.CanonicalHeaderKey(f.Name) == "Content-Type" {
			kind, _, _ := mime.ParseMediaType(f.Value)
			a.events = kind == contentTypeEvents
		}
	}
	return nil
}

// add relays a piece of the body. flush sends it on at once.
func (a *answer) add(m *wire.Chunk, flush bool) error {
	if a.head == nil {
		return errors.Wrap(errBroken, "chunk before the head")
	}
	if m.Offset != a.offset {
		return errors.Wrapf(errBroken, "chunk at offset %d, not %d", m.Offset, a.offset)
	}
	if len(m.Data) == 0 {
		return nil
	}
	a.commit()
	if _, err := a.w.Write(m.Data); err != nil {
		return a.writeFailed(err)
	}
	a.offset += uint64(len(m.Data))
	if !flush {
		return nil
	}
	return a.flush()
}

// end ends the answer if it is whole.
func (a *answer) end(m *wire.End) error {
	if a.head == nil {
		return errors.Wrap(errBroken, "end before the head")
	}
	if m.Total != a.offset {
		return errors.Wrapf(errBroken, "end at %d bytes, not %d", m.Total, a.offset)
	}
	a.commit()
	return nil
}

// commit sends the header.
func (a *answer) commit() {
	_ = a.control.SetWriteDeadline(time.Now().Add(a.timeout))
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

// flush hands what was written to the network.
func (a *answer) flush() error {
	err := a.control.Flush()
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return a.writeFailed(err)
}

// writeFailed translates an error of the caller's connection.
func (a *answer) writeFailed(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, http.ErrContentLength), errors.Is(err, http.ErrBodyNotAllowed):
		return errors.Mark(err, errBroken)
	default:
		return errors.Mark(err, errCallerGone)
	}
}

// breakOff tells a caller of server-sent events that its answer is not whole.
// The caller of any other answer learns it from the aborted connection.
func (a *answer) breakOff(id request.ID, refused *request.RefusedError) {
	if !a.events {
		return
	}
	p := newProblem(id, refused, false)
	data, err := json.Marshal(struct {
		Error problemError `json:"error"`
	}{p.Error})
	if err != nil {
		return // a problem holds nothing that cannot be encoded
	}
	_ = a.control.SetWriteDeadline(time.Now().Add(a.timeout))
	_, _ = a.w.Write([]byte("\n\nevent: error\ndata: " + string(data) + "\n\n"))
	_ = a.control.Flush()
}
