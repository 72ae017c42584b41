package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/budget"
	"github.com/mastichollow/mastichollow/internal/desync"
)

const (
	// maxInlineBody is the size in bytes of the largest body that is written with the head,
	// before the response is read; it fits into the buffers of a connection.
	maxInlineBody = 8 << 10
	// initialHeadBuffer is the initial buffer size for the head of a request, in bytes.
	initialHeadBuffer = 1024
	// maxStrayBytes bounds the bytes of other calls' responses that are discarded to
	// reach the response to this call.
	maxStrayBytes = 1 << 20
	// writeGrace is how long the rest of a request may take to be written after the
	// response has ended; then the connection is closed.
	writeGrace = 50 * time.Millisecond
)

// Call is one request to a target.
type Call struct {
	Addr   string // IP:port
	Method string
	URI    string // path and query as the caller sent them
	Host   string
	Header http.Header // without Host, Content-Length and hop-by-hop fields
	Body   []byte
	// IDHeader is the name of the header field with the call's identifier, which the
	// target echoes in its response.
	IDHeader string
	// UniqueFields names, in canonical form, the fields that a target sends once per
	// response, beside those of HTTP.
	UniqueFields []string
	// MaxIdleTime bounds the idle time of a reused connection; 0: only a new one.
	MaxIdleTime time.Duration
	// MaxOpenConns bounds the open connections to the address; 0: unlimited.
	MaxOpenConns int
	// Check is called right before the first byte is sent, which may be long after Do was
	// called if the process gets little processor time. Its error ends the call, marked
	// ErrNotSent; nil: no check.
	Check func() error
}

// Response is a target's response. Its Body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 if it is unknown.
	Length  int64
	Framing Framing
	Body    io.ReadCloser
}

// Do sends the call and returns the head of the response. When ctx ends, also while
// the body is read, the connection is closed, which makes the target cancel the work.
// Errors are marked ErrNotSent or ErrLost.
func (p *Pool) Do(ctx context.Context, call Call) (*Response, error) {
	c, err := p.acquire(ctx, call.Addr, call.MaxIdleTime, call.MaxOpenConns)
	if err != nil {
		return nil, err
	}
	x := &exchange{pool: p, conn: c, call: &call, writeDone: make(chan error, 1), memory: p.config.ResponseMemory.Lease()}
	c.maybeSent.Store(false)
	if id := call.Header.Get(call.IDHeader); id != "" {
		c.history.Add(id)
		p.history.Add(id)
	}
	x.stopCancelHook = context.AfterFunc(ctx, c.close)
	response, err := x.run()
	if err == nil {
		return response, nil
	}
	x.abort()
	if ctx.Err() != nil {
		err = errors.CombineErrors(context.Cause(ctx), err)
	}
	if !c.maybeSent.Load() {
		return nil, errors.Mark(err, ErrNotSent)
	}
	return nil, errors.Mark(err, ErrLost)
}

// exchange is one call on its connection.
type exchange struct {
	pool           *Pool
	conn           *conn
	call           *Call
	stopCancelHook func() bool
	writeDone      chan error    // receives the result of the write
	written        bool          // the result was received
	writeErr       error         // the result, if written is set
	memory         *budget.Lease // of what is kept of the response
}

func (x *exchange) run() (*Response, error) {
	err := x.writeHead()
	if err != nil || len(x.call.Body) <= maxInlineBody {
		x.writeDone <- err
	} else {
		go func() {
			_, err := x.conn.Write(x.call.Body) // a large body is not copied
			x.writeDone <- err
		}()
	}
	if err != nil {
		return nil, errors.Wrapf(err, "sending to %s", x.call.Addr)
	}
	return x.readResponse()
}

// writeHead writes the head of the request, with the body if that is at most maxInlineBody.
// A head fits into the buffers of a connection, like maxInlineBody.
func (x *exchange) writeHead() error {
	call := x.call
	var b bytes.Buffer
	b.Grow(initialHeadBuffer + min(len(call.Body), maxInlineBody))
	b.WriteString(call.Method)
	b.WriteByte(' ')
	b.WriteString(call.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(call.Host)
	b.WriteString("\r\n")
	if err := call.Header.Write(&b); err != nil {
		return errors.Wrap(err, "writing the header")
	}
	if len(call.Body) > 0 || hasBody(call.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(call.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	if len(call.Body) <= maxInlineBody {
		b.Write(call.Body)
	}
	if call.Check != nil {
		if err := call.Check(); err != nil {
			return err
		}
	}
	_, err := x.conn.Write(b.Bytes())
	return err
}

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// readResponse returns the response to the call, and skips those to other calls.
func (x *exchange) readResponse() (*Response, error) {
	strayBytes := int64(0)
	x.conn.headLimiter.reset(x.memory)
	for {
		resp, err := x.readHead() //nolint:bodyclose // Response.Body closes the connection
		if err != nil {
			return nil, x.wrapReadError(err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		matches, err := x.matchesCall(resp)
		if err != nil {
			return nil, err
		}
		if matches {
			return x.newResponse(resp), nil
		}
		x.conn.notReusable = true
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
		if strayBytes += n; err != nil || strayBytes >= maxStrayBytes || resp.Close {
			return nil, errors.Mark(errors.Newf("response of %s belongs to another call and cannot be skipped", x.call.Addr), ErrMalformed)
		}
	}
}

// readHead reads the head of a response, of bounded length, and checks that it is the
// head of one response.
func (x *exchange) readHead() (*http.Response, error) {
	reader, limiter := x.conn.reader, &x.conn.headLimiter
	buffered, _ := reader.Peek(reader.Buffered())
	limiter.begin(buffered)
	resp, err := http.ReadResponse(reader, &http.Request{Method: x.call.Method})
	head := limiter.end(reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err := desync.CheckStatus(resp); err != nil {
		return nil, err
	}
	return resp, desync.CheckHead(head, x.call.UniqueFields...)
}

func (x *exchange) wrapReadError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNetError(err) {
		return errors.Wrapf(err, "waiting for the response of %s", x.call.Addr)
	}
	return errors.Mark(errors.Wrapf(err, "reading the response of %s", x.call.Addr), ErrMalformed)
}

// matchesCall reports whether the response belongs to the call. A response without an
// identifier is accepted only on a connection that carried no other call.
func (x *exchange) matchesCall(resp *http.Response) (bool, error) {
	id := resp.Header.Get(x.call.IDHeader)
	if id != "" {
		return id == x.call.Header.Get(x.call.IDHeader), nil
	}
	if x.conn.reused {
		return false, errors.Mark(errors.Newf("response of %s on a reused connection has no identifier", x.call.Addr), ErrMalformed)
	}
	return true, nil
}

func (x *exchange) newResponse(resp *http.Response) *Response {
	framing := framingOf(resp)
	check := desync.Config{IDField: x.call.IDHeader, Known: x.knownID, Memory: x.memory}
	if framing == FramingLength {
		check.Following = x.conn.following
	}
	return &Response{
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Length:  resp.ContentLength,
		Framing: framing,
		Body:    &body{exchange: x, resp: resp, checked: desync.NewReader(resp.Body, check)},
	}
}

// knownID reports whether this call, an earlier one on the connection or a recent one of
// the pool has the identifier.
func (x *exchange) knownID(id []byte) bool {
	return x.conn.history.Contains(id) || x.pool.history.Contains(id)
}

// abort closes the connection and removes it from the pool.
func (x *exchange) abort() {
	x.memory.Release()
	x.stopCancelHook()
	x.pool.discard(x.conn)
}

// release returns the connection to the pool if the exchange ended cleanly, and closes
// it otherwise.
func (x *exchange) release(resp *http.Response) {
	if resp.Close || !x.stopCancelHook() || x.conn.notReusable || x.conn.reader.Buffered() > 0 || !x.writeCompleted() {
		x.abort()
		return
	}
	x.memory.Release()
	x.pool.putIdle(x.conn, idleTimeout(resp.Header))
}

// writeCompleted reports whether the complete request was written, and waits up to
// writeGrace for it.
func (x *exchange) writeCompleted() bool {
	done, err := x.writeResult()
	return done && err == nil
}

// writeResult returns the result of the write, if it has ended. It waits up to writeGrace for it.
func (x *exchange) writeResult() (done bool, err error) {
	if x.written {
		return true, x.writeErr
	}
	select {
	case x.writeErr = <-x.writeDone:
		x.written = true
	default:
		select {
		case x.writeErr = <-x.writeDone:
			x.written = true
		case <-time.After(writeGrace):
		}
	}
	return x.written, x.writeErr
}

// checkEnd returns an error if the connection was reset at the end of a response that the close of
// the connection marks. The kernel reports a reset once: if the write of the request meets it, the
// reads after it see the end of the connection. After an orderly close, writes fail with EPIPE.
func (x *exchange) checkEnd(framing Framing) error {
	if framing != FramingClose {
		return nil
	}
	if _, err := x.writeResult(); errors.Is(err, syscall.ECONNRESET) {
		return errors.Wrap(err, "connection reset while the request was sent")
	}
	return nil
}

// idleTimeout returns how long the connection may stay idle in the pool.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}

// body is the body of a response. Read returns io.EOF only at the end that the framing
// proves.
type body struct {
	exchange *exchange
	resp     *http.Response
	checked  *desync.Reader // of resp.Body
	atEOF    bool
	closed   bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.checked.Read(p)
	if errors.Is(err, io.EOF) {
		err = desync.CheckTrailer(b.resp.Trailer, b.exchange.call.UniqueFields...)
		if err == nil {
			err = b.exchange.checkEnd(framingOf(b.resp))
		}
		if err == nil {
			b.atEOF = true
			return n, io.EOF
		}
	}
	if err != nil {
		err = errors.Mark(errors.Wrapf(err, "reading the response of %s", b.exchange.call.Addr), ErrLost)
	}
	if errors.Is(err, desync.ErrJoined) {
		err = errors.Mark(err, ErrMalformed)
	}
	return n, err
}

// Close returns the connection to the pool if the body was read to its end, and closes
// it otherwise.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.atEOF {
		b.exchange.release(b.resp)
	} else {
		b.exchange.abort()
	}
	return nil
}
