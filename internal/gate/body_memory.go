package gate

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/budget"
	"github.com/mastichollow/mastichollow/internal/eventlog"
	"github.com/mastichollow/mastichollow/internal/request"
)

const (
	// freeBodyBytes is the size up to which a body needs no memory of the budget: a flood of
	// large bodies must not keep small requests out.
	freeBodyBytes = 16 << 10
	// bodyTimeout bounds the time to read a body. It is the longest timeout of requests.
	bodyTimeout = defaultTimeout
	// initialBodyBuffer is the initial buffer size in bytes for a body of unknown length.
	initialBodyBuffer = 1024
	// maxWorkspaceBodyFraction is the fraction of the memory for bodies that one
	// workspace may use.
	maxWorkspaceBodyFraction = 0.5
)

// newBodyMemory returns the memory for the bodies of requests in flight, by workspace. It is
// reserved before a body is read.
func newBodyMemory(limit int64) *budget.Keyed[string] {
	return budget.NewKeyed[string](limit, int64(maxWorkspaceBodyFraction*float64(limit)))
}

var (
	errBodyTooLarge    = errors.New("request body exceeds the table's limit")
	errNoMemoryForBody = errors.New("request body memory exhausted")
)

// readBody buffers the complete body, since a retry sends it again.
func (c *call) readBody() *refusal {
	limit := c.table.Limits().BodyBytes
	if limit > 0 && c.r.ContentLength > limit {
		return denied(http.StatusRequestEntityTooLarge, request.ReasonTooLarge)
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout)) // the recorders of tests have none
	body, err := c.readLimited(limit)
	switch {
	case errors.Is(err, errNoMemoryForBody):
		return unavailable(request.ReasonOverloaded, retryAfterLong, eventlog.Text("detail", err.Error()))
	case errors.Is(err, errBodyTooLarge):
		return denied(http.StatusRequestEntityTooLarge, request.ReasonTooLarge)
	case err != nil:
		return denied(http.StatusBadRequest, request.ReasonMalformed, eventlog.Text("error", err.Error()))
	}
	_ = control.SetReadDeadline(time.Time{})
	c.body = body
	return nil
}

// reserveBody reserves memory for the body up to a size of n bytes.
func (c *call) reserveBody(n int64) error {
	if !c.chargeBody(n) {
		return errNoMemoryForBody
	}
	more := n - freeBodyBytes - c.bodyReserved
	if more <= 0 {
		return nil
	}
	if !c.gate.bodyMemory.Grow(c.workspace, more) {
		return errNoMemoryForBody
	}
	c.bodyReserved += more
	return nil
}

// releaseBody returns the memory of the body.
func (c *call) releaseBody() {
	if c.bodyReserved > 0 {
		c.gate.bodyMemory.Release(c.workspace, c.bodyReserved)
		c.bodyReserved = 0
	}
}

func (c *call) readLimited(limit int64) ([]byte, error) {
	if c.r.ContentLength > 0 {
		if err := c.reserveBody(c.r.ContentLength); err != nil {
			return nil, err
		}
		body := make([]byte, c.r.ContentLength)
		_, err := io.ReadFull(c.r.Body, body)
		return body, errors.Wrap(err, "reading the request body")
	}
	return c.readUnsized(limit)
}

// readUnsized reads a body of unknown length, at most limit bytes if it is positive. The
// memory of the growing buffer is reserved before it grows.
func (c *call) readUnsized(limit int64) ([]byte, error) {
	if err := c.reserveBody(initialBodyBuffer); err != nil {
		return nil, err
	}
	body := make([]byte, 0, initialBodyBuffer)
	for {
		if len(body) == cap(body) {
			if err := c.reserveBody(2 * int64(cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
		n, err := c.r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case limit > 0 && int64(len(body)) > limit:
			return nil, errBodyTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, errors.Wrap(err, "reading the request body")
		}
	}
}
