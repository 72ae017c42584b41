package gate

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/eventlog"
	"github.com/mastichollow/mastichollow/internal/route"
	"github.com/mastichollow/mastichollow/internal/upstream"
)

// plainBufferSize is the number of body bytes of a plain response (not an event stream)
// that are read before its head is forwarded. If reading them fails, the response of
// another target can replace it. Plain responses are below 5 kB.
const plainBufferSize = 16 << 10

// maxPlainBody bounds the rest of a plain response in bytes, against endless bodies. It
// is some hundred times the largest response of the deployments.
const maxPlainBody = 8 << 20

// hopByHop lists the header fields that apply to a single connection.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true,
}

// IsHopByHop reports whether the field, named in canonical form, applies to a single
// connection and must not be forwarded.
func IsHopByHop(name string) bool { return hopByHop[name] }

// forward forwards a target's response to the caller.
func (c *call) forward(ctx context.Context, d admission.Decision, o sendOutcome) sendOutcome {
	resp := o.response
	defer resp.Body.Close()
	c.enterStage(stageWrite)
	control := http.NewResponseController(c.w)
	// Without a write deadline, a caller that reads nothing would keep the target's
	// connection in use forever.
	_ = control.SetWriteDeadline(c.deadline)
	// The server writes what is left in its buffers after this. Without a deadline, it would
	// wait forever for a caller that reads nothing, on a connection that is protected.
	defer func() { _ = control.SetWriteDeadline(time.Now().Add(unreadBodyTimeout)) }()

	c.framing, c.partialEventBytes = resp.Framing, 0
	d.Lease.Responded(c.gate.config.Now())
	if resp.Framing == upstream.FramingClose {
		d.Lease.MarkUnframed()
	}
	var err error
	if c.isEventStream(resp) {
		if !c.headSent {
			// The length is not forwarded: another target may continue the stream.
			c.forwardHead(resp.Status, resp.Header, -1)
		}
		err = c.forwardEvents(control, d, resp.Body)
	} else {
		err = c.forwardPlain(resp)
	}
	c.gate.metrics.responseEnds.WithLabelValues(string(resp.Framing), responseEnd(err)).Inc()
	if err == nil {
		c.recordAnswered()
		o.done = true
		return o
	}
	return c.classifyForwardError(ctx, err)
}

// isEventStream reports whether a response is a stream of events. Its media type decides;
// the route decides only for a response without one.
func (c *call) isEventStream(resp *upstream.Response) bool {
	contentType := resp.Header.Get("Content-Type")
	if resp.Status != http.StatusOK || contentType == "" {
		return resp.Status == http.StatusOK && c.route.Streaming
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == "text/event-stream"
}

// continuesStream reports whether a response may continue the stream whose head was
// forwarded. If that named its media type, a response without one is no continuation.
func (c *call) continuesStream(resp *upstream.Response) bool {
	if c.w.Header().Get("Content-Type") != "" && resp.Header.Get("Content-Type") == "" {
		return false
	}
	return c.isEventStream(resp)
}

// responseEnd returns the label of how forwarding a response ended.
func responseEnd(err error) string {
	if err == nil {
		return "complete"
	}
	return "incomplete"
}

// forwardPlain forwards a response that is no event stream.
func (c *call) forwardPlain(resp *upstream.Response) error {
	buf := make([]byte, plainBufferSize)
	n, err := io.ReadFull(resp.Body, buf)
	complete := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, upstream.ErrLost)
	if err != nil && !complete {
		return err
	}
	c.firstByte = time.Since(c.started)
	c.forwardHead(resp.Status, resp.Header, resp.Length)
	if _, err := c.w.Write(buf[:n]); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	if complete {
		return nil
	}
	return c.forwardRest(resp.Body, buf)
}

// forwardHead forwards the status and header of a response.
func (c *call) forwardHead(status int, fields http.Header, length int64) {
	h := c.w.Header()
	for name, values := range fields {
		if !hopByHop[name] {
			h[name] = values
		}
	}
	if _, typed := fields["Content-Type"]; !typed {
		h["Content-Type"] = nil // keeps net/http from detecting one
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.status = status
	c.headSent = true
	c.w.WriteHeader(status)
}

// errPlainBodyTooLong: the body of a plain response exceeds maxPlainBody.
var errPlainBodyTooLong = errors.Newf("body of a plain response is longer than %d bytes", maxPlainBody)

// errCallerWrite marks errors of writes to the caller.
var errCallerWrite = errors.New("writing the response to the caller failed")

// forwardRest forwards the rest of a plain body, up to maxPlainBody.
func (c *call) forwardRest(body io.Reader, buf []byte) error {
	for forwarded := 0; ; {
		n, err := body.Read(buf)
		if forwarded += n; forwarded > maxPlainBody {
			return errPlainBodyTooLong
		}
		if n > 0 {
			if _, werr := c.w.Write(buf[:n]); werr != nil {
				return errors.Mark(werr, errCallerWrite)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// forwardEvents forwards complete events as they arrive.
func (c *call) forwardEvents(control *http.ResponseController, d admission.Decision, body io.Reader) error {
	if err := control.Flush(); err != nil {
		return errors.Mark(err, errCallerWrite)
	}
	stallWatchdog := c.startStreamWatchdog()
	defer stallWatchdog.stop()
	memory := c.gate.config.ResponseMemory.Lease()
	defer memory.Release()
	events := newEventReader(body, c.lastEventID, memory)
	for {
		chunk, err := events.next()
		if err != nil {
			c.partialEventBytes = events.partialBytes
		}
		if len(chunk) > 0 {
			c.recordEvent()
			if events.lastID != c.lastEventID {
				stallWatchdog.reset()
			}
			d.Lease.Began(c.gate.config.Now())
			if _, werr := c.w.Write(chunk); werr != nil {
				return errors.Mark(werr, errCallerWrite)
			}
			if werr := control.Flush(); werr != nil {
				return errors.Mark(werr, errCallerWrite)
			}
			c.lastEventID = events.lastID
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// recordEvent records the arrival of events for latency metrics and the longest gap.
func (c *call) recordEvent() {
	now := time.Since(c.started)
	if c.firstByte == 0 {
		c.firstByte = now
		c.gate.metrics.firstByte.WithLabelValues(c.admissionRequest.Service).Observe(now.Seconds())
	} else {
		c.maxGap = max(c.maxGap, now-c.lastEventTime)
	}
	c.lastEventTime = now
}

// recordAnswered records a response that the caller received completely.
func (c *call) recordAnswered() {
	c.gate.metrics.responseDuration.WithLabelValues(c.admissionRequest.Service).Observe(time.Since(c.started).Seconds())
	c.logRequestEnd("answered", eventlog.Text("service", c.admissionRequest.Service), eventlog.Text("target", c.triedTargets[len(c.triedTargets)-1]))
}

// classifyForwardError decides how to continue after a response failed while it was
// forwarded.
func (c *call) classifyForwardError(ctx context.Context, err error) sendOutcome {
	o := sendOutcome{result: admission.ResultLost, mayHaveRun: true, err: err}
	if errors.Is(context.Cause(c.sendCtx), errStalled) {
		o.result, o.err = admission.ResultFailed, errors.CombineErrors(errStalled, err)
		c.gate.metrics.stalledStreams.Inc()
	}
	if errors.Is(err, errCallerWrite) || c.r.Context().Err() != nil || ctx.Err() != nil {
		o.result = admission.ResultWithdrawn
		return o
	}
	switch {
	case !c.headSent:
		// Nothing was forwarded: the usual retry rules apply.
	case c.route.RetryPolicy == route.Resumable && c.reserveRetry(ctx, o):
		c.gate.metrics.resumedStreams.Inc()
		o.retryReserved = true
	default:
		o.noRetry = true
	}
	return o
}
