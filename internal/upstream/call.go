package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// inlineBody is the largest body that is written before the answer is
	// read; it fits into the buffers of a connection.
	inlineBody = 8 << 10
	// headSize is the room for the head of a call, in bytes; longer ones grow.
	headSize = 1024
	// maxStray bounds the bytes of another call's answer that are read to
	// reach the own one.
	maxStray = 1 << 20
	// writeGrace is how long the rest of a body may take after the answer has
	// ended before the connection is given up.
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
	// IDHeader names the field that carries the call's identifier, which the
	// target echoes.
	IDHeader string
	// MaxIdle bounds the idle time of a kept connection; 0: only a new one.
	MaxIdle time.Duration
	// MaxOpen bounds the connections to the address; 0: no bound.
	MaxOpen int
}

// Answer is a target's answer. Its Body must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if it is not announced.
	Length int64
	Body   io.ReadCloser
}

// Do sends the call and returns the head of the answer. When ctx ends, also
// while the body is read, the connection is closed, which tells the target to
// drop the work. Errors are marked ErrNotSent or ErrLost.
func (p *Pool) Do(ctx context.Context, call Call) (*Answer, error) {
	c, err := p.take(ctx, call.Addr, call.MaxIdle, call.MaxOpen)
	if err != nil {
		return nil, err
	}
	x := &exchange{pool: p, conn: c, call: &call, done: make(chan error, 1)}
	c.written.Store(false)
	x.stop = context.AfterFunc(ctx, c.close)
	answer, err := x.run()
	if err == nil {
		return answer, nil
	}
	x.abandon()
	if ctx.Err() != nil {
		err = errors.CombineErrors(context.Cause(ctx), err)
	}
	if !c.written.Load() {
		return nil, errors.Mark(err, ErrNotSent)
	}
	return nil, errors.Mark(err, ErrLost)
}

// exchange is one call on its connection.
type exchange struct {
	pool *Pool
	conn *conn
	call *Call
	stop func() bool
	done chan error // the write has ended
}

func (x *exchange) run() (*Answer, error) {
	if len(x.call.Body) <= inlineBody {
		err := x.write()
		x.done <- err
		if err != nil {
			return nil, errors.Wrapf(err, "sending to %s", x.call.Addr)
		}
	} else {
		go func() { x.done <- x.write() }()
	}
	return x.read()
}

func (x *exchange) write() error {
	call := x.call
	var b bytes.Buffer
	b.Grow(headSize + len(call.Body))
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
	b.Write(call.Body)
	_, err := x.conn.Write(b.Bytes())
	return err
}

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// read returns the first answer that is not another call's.
func (x *exchange) read() (*Answer, error) {
	stray := int64(0)
	x.conn.heads.begin()
	for {
		resp, err := x.readHead() //nolint:bodyclose // Answer.Body closes the connection
		if err != nil {
			return nil, x.readError(err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		own, err := x.isOwn(resp)
		if err != nil {
			return nil, err
		}
		if own {
			return x.answer(resp), nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStray))
		if stray += n; err != nil || stray >= maxStray || resp.Close {
			return nil, errors.Mark(errors.Newf("answer of %s belongs to another call and has no usable end", x.call.Addr), ErrMalformed)
		}
	}
}

// readHead reads the head of an answer, of a bounded length.
func (x *exchange) readHead() (*http.Response, error) {
	x.conn.heads.head = true
	defer func() { x.conn.heads.head = false }()
	return http.ReadResponse(x.conn.reader, &http.Request{Method: x.call.Method})
}

func (x *exchange) readError(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNetError(err) {
		return errors.Wrapf(err, "waiting for the answer of %s", x.call.Addr)
	}
	return errors.Mark(errors.Wrapf(err, "reading the answer of %s", x.call.Addr), ErrMalformed)
}

// isOwn reports whether the answer belongs to the call. One without an
// identifier can only be trusted on a connection that carried no other call.
func (x *exchange) isOwn(resp *http.Response) (bool, error) {
	id := resp.Header.Get(x.call.IDHeader)
	if id != "" {
		return id == x.call.Header.Get(x.call.IDHeader), nil
	}
	if x.conn.reused {
		return false, errors.Mark(errors.Newf("answer of %s on a kept connection has no identifier", x.call.Addr), ErrMalformed)
	}
	return true, nil
}

func (x *exchange) answer(resp *http.Response) *Answer {
	return &Answer{
		Status: resp.StatusCode,
		Header: resp.Header,
		Length: resp.ContentLength,
		Body:   &body{exchange: x, resp: resp},
	}
}

// abandon closes the connection.
func (x *exchange) abandon() {
	x.stop()
	x.pool.discard(x.conn)
}

// finish returns the connection to the pool if the exchange ended cleanly.
func (x *exchange) finish(resp *http.Response) {
	if resp.Close || !x.stop() || x.conn.reader.Buffered() > 0 || !x.wrote() {
		x.abandon()
		return
	}
	x.pool.put(x.conn, idleTimeout(resp.Header))
}

// wrote reports whether the whole call was written.
func (x *exchange) wrote() bool {
	select {
	case err := <-x.done:
		return err == nil
	default:
	}
	select {
	case err := <-x.done:
		return err == nil
	case <-time.After(writeGrace):
		return false
	}
}

// idleTimeout returns how long the connection may be kept idle.
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
	return defaultIdle
}

// body is the body of an answer. It returns io.EOF only at its proven end.
type body struct {
	exchange *exchange
	resp     *http.Response
	ended    bool
	closed   bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended = true
		return n, io.EOF
	}
	if err != nil {
		err = errors.Mark(errors.Wrapf(err, "reading the answer of %s", b.exchange.call.Addr), ErrLost)
	}
	return n, err
}

// Close returns the connection to the pool after a whole body and closes it
// otherwise.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.ended {
		b.exchange.finish(b.resp)
	} else {
		b.exchange.abandon()
	}
	return nil
}
