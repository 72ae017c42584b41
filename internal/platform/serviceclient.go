package platform

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/desync"
	"github.com/mastichollow/mastichollow/internal/httpsend"
)

// errTooLarge is the error of a response that exceeds Options.MaxResponseBytes.
var errTooLarge = errors.New("answer is too large")

// serviceClient makes HTTP calls to one service of the platform, each of them once.
type serviceClient struct {
	base       string
	options    Options
	httpClient *http.Client
}

func newServiceClient(base string, options Options) *serviceClient {
	options = options.withDefaults()
	transport := httpsend.NewTransport(httpsend.TransportConfig{
		DialTimeout:  options.Timeout,
		IdleTimeout:  idleTimeout,
		MaxIdleConns: maxIdleConns,
	})
	return &serviceClient{
		base:       strings.TrimSuffix(base, "/"),
		options:    options,
		httpClient: &http.Client{Transport: desync.NewTransport(transport), CheckRedirect: returnRedirect},
	}
}

// returnRedirect returns a redirect as the response instead of following it. Callers treat
// its status as an error.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// call is an HTTP request to a service.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
}

// String describes the call in error messages.
func (c call) String() string { return c.method + " " + c.path + "?" + c.query.Encode() }

// isWrite reports whether the call may change the service's state.
func (c call) isWrite() bool { return c.method != http.MethodGet }

// do makes the call and returns the status and the complete body of the response. Its error
// is marked ErrUncertain for a write that may have been sent and ErrUnavailable
// otherwise.
func (c *serviceClient) do(ctx context.Context, call call) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	ctx, tracker := httpsend.Track(ctx)
	status, body, err := c.exchange(ctx, call)
	if err == nil {
		return status, body, nil
	}
	// A connection that stopped delivering data does not recover, so the next call
	// opens a new one.
	c.httpClient.CloseIdleConnections()
	if call.isWrite() && tracker.Sent() {
		return 0, nil, errors.Mark(errors.Wrapf(err, "%s", call), ErrUncertain)
	}
	return 0, nil, errors.Mark(errors.Wrapf(err, "%s", call), ErrUnavailable)
}

func (c *serviceClient) exchange(ctx context.Context, call call) (int, []byte, error) {
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err := c.readBody(resp)
	return resp.StatusCode, body, err
}

func (c *serviceClient) newRequest(ctx context.Context, call call) (*http.Request, error) {
	var body io.Reader
	if call.body != nil {
		// The type hides the reader from net/http, which could otherwise rewind
		// it and send the request again.
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

// readBody reads the body. A body that is neither chunked nor of known length is an
// error, because a truncated one could not be distinguished from a complete one.
func (c *serviceClient) readBody(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.options.MaxResponseBytes+1))
	switch {
	case err != nil:
		return nil, err
	case int64(len(body)) > c.options.MaxResponseBytes:
		return nil, errTooLarge
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

// statusError returns the error of a response with a status other than success. A status
// below 500, and 503, means that a write was not applied.
func statusError(call call, status int) error {
	err := errors.Newf("%s: status %d", call, status)
	notApplied := status < http.StatusInternalServerError || status == http.StatusServiceUnavailable
	switch {
	case status == http.StatusNotFound && !call.isWrite():
		return errors.Mark(err, ErrNotFound)
	case call.isWrite() && !notApplied:
		return errors.Mark(err, ErrUncertain)
	default:
		return errors.Mark(err, ErrUnavailable)
	}
}
