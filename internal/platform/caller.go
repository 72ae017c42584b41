package platform

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/httpsend"
)

// errTooLarge is the error of an answer above Options.MaxAnswer.
var errTooLarge = errors.New("answer is too large")

// caller makes single calls to one service of the platform.
type caller struct {
	base    string
	options Options
	http    *http.Client
}

func newCaller(base string, options Options) *caller {
	options = options.withDefaults()
	transport := httpsend.NewTransport(httpsend.TransportConfig{
		DialTimeout:  options.Timeout,
		IdleTimeout:  idleTimeout,
		MaxIdleConns: maxIdleConns,
	})
	return &caller{
		base:    strings.TrimSuffix(base, "/"),
		options: options,
		http:    &http.Client{Transport: transport, CheckRedirect: keepRedirect},
	}
}

// keepRedirect hands redirects to the caller, which takes them as refusals.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// call is one call and what became of it.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
}

// String names the call in errors.
func (c call) String() string { return c.method + " " + c.path + "?" + c.query.Encode() }

// writes reports whether the call may change the service's state.
func (c call) writes() bool { return c.method != http.MethodGet }

// do makes the call and returns the status and the whole body of its answer.
// Its error is marked ErrUnavailable or, for a write that may have been sent,
// ErrUncertain.
func (c *caller) do(ctx context.Context, call call) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	ctx, tracker := httpsend.Track(ctx)
	status, body, err := c.exchange(ctx, call)
	if err == nil {
		return status, body, nil
	}
	// Connections that went silent do not recover: the next call dials.
	c.http.CloseIdleConnections()
	if call.writes() && tracker.Sent() {
		return 0, nil, errors.Mark(errors.Wrapf(err, "%s", call), ErrUncertain)
	}
	return 0, nil, errors.Mark(errors.Wrapf(err, "%s", call), ErrUnavailable)
}

func (c *caller) exchange(ctx context.Context, call call) (int, []byte, error) {
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := c.readBody(resp)
	return resp.StatusCode, body, err
}

func (c *caller) newRequest(ctx context.Context, call call) (*http.Request, error) {
	var body io.Reader
	if call.body != nil {
		// The type hides the reader from net/http, which then cannot send
		// the body a second time.
		body = struct{ io.Reader }{bytes.NewReader(call.body)}
	}
	req, err := http.NewRequestWithContext(ctx, call.method, c.base+call.path+"?"+call.query.Encode(), body)
	if err != nil {
		return nil, err
	}
	if call.body != nil {
		req.ContentLength = int64(len(call.body))
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// readBody reads a body that must end by its length or its last chunk.
func (c *caller) readBody(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.options.MaxAnswer+1))
	switch {
	case err != nil:
		return nil, err
	case int64(len(body)) > c.options.MaxAnswer:
		return nil, errTooLarge
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

// refusal translates a status that is no success.
func refusal(call call, status int) error {
	err := errors.Newf("%s: status %d", call, status)
	refused := status < http.StatusInternalServerError || status == http.StatusServiceUnavailable
	switch {
	case status == http.StatusNotFound && !call.writes():
		return errors.Mark(err, ErrNotFound)
	case call.writes() && !refused:
		return errors.Mark(err, ErrUncertain)
	default:
		return errors.Mark(err, ErrUnavailable)
	}
}
