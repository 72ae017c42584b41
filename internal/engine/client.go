package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/httpsend"
)

const (
	pathHealth     = "/health"
	maxHealthBytes = 64 << 10
)

// client calls a target over HTTP. A call is sent at most once.
type client struct {
	base    string
	options Options
	pooled  *http.Client // for calls that may be repeated
	fresh   *http.Client // opens a connection for each call
}

func newClient(base string, options Options) *client {
	options = options.withDefaults()
	return &client{
		base:    strings.TrimSuffix(base, "/"),
		options: options,
		pooled:  newHTTPClient(options, false),
		fresh:   newHTTPClient(options, true),
	}
}

func newHTTPClient(options Options, fresh bool) *http.Client {
	transport := httpsend.NewTransport(httpsend.TransportConfig{
		DialTimeout:       options.DialTimeout,
		IdleTimeout:       idleTimeout,
		MaxIdleConns:      maxIdleConns,
		DisableKeepAlives: fresh,
		Dial:              options.Dial,
	})
	return &http.Client{Transport: transport, CheckRedirect: keepRedirect}
}

// keepRedirect hands redirects to the caller: following one would send the
// call twice.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// begin sends call once and returns the head of its answer. The guard ends the
// answer; the end of ctx does so only until begin returns.
func (c *client) begin(ctx context.Context, call Call) (*http.Response, *guard, error) {
	if err := ctx.Err(); err != nil {
		return nil, nil, errors.Mark(err, ErrNotSent)
	}
	g := newGuard(c.options.Progress)
	defer g.watch(ctx)()
	limit := time.AfterFunc(c.options.BeginTimeout, func() { g.cancel(ErrStalled) })
	defer limit.Stop()
	tracked, tracker := httpsend.Track(g.ctx)
	req, err := c.newRequest(tracked, call)
	if err != nil {
		g.cancel(err)
		return nil, nil, errors.Mark(errors.Wrapf(err, "preparing %s %s", call.Method, call.Path), ErrNotSent)
	}
	resp, err := c.clientFor(call.Method).Do(req)
	if err != nil {
		err = c.failed(g, tracker, err)
		g.cancel(err)
		return nil, nil, errors.Wrapf(err, "%s %s", call.Method, call.Path)
	}
	resp.Body = guardedBody{resp.Body, g}
	return resp, g, nil
}

// clientFor returns the HTTP client for a method. An idle connection may have
// been closed by the target unnoticed; a call that may not be repeated is not
// risked on one.
func (c *client) clientFor(method string) *http.Client {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return c.pooled
	default:
		return c.fresh
	}
}

func (c *client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, errors.Newf("path %q does not start with a slash", call.Path)
	}
	// The type hides the reader from net/http, which then cannot send the
	// body a second time, not even when an Idempotency-Key is set.
	body := struct{ io.Reader }{bytes.NewReader(call.Body)}
	req, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, body)
	if err != nil {
		return nil, err
	}
	req.Header = endToEnd(call.Header)
	req.Header.Set(HeaderFence, strconv.FormatUint(call.Fence, 10))
	req.Header.Set(HeaderAttempt, call.Attempt)
	req.ContentLength = int64(len(call.Body))
	return req, nil
}

// leaveIdle closes the idle connections. When one connection has gone silent,
// others may have too.
func (c *client) leaveIdle() { c.pooled.CloseIdleConnections() }

// failed translates the error of a call whose answer did not begin.
func (c *client) failed(g *guard, tracker *httpsend.Tracker, err error) error {
	c.leaveIdle()
	switch {
	case !tracker.Sent():
		return errors.Mark(err, ErrNotSent)
	case errors.Is(context.Cause(g.ctx), ErrStalled):
		return errors.Mark(err, ErrStalled)
	default:
		return errors.Mark(err, ErrTruncated)
	}
}

// Probe implements Client. The start marker is the field "start" of the answer
// to GET /health; it is empty for targets that tell none.
func (c *client) Probe(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ProbeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+pathHealth, http.NoBody)
	if err != nil {
		return "", errors.Wrap(err, "preparing a probe")
	}
	// A probe on a connection of its own tells a dead target from a silent
	// connection.
	resp, err := c.fresh.Do(req)
	if err != nil {
		return "", errors.Wrap(err, "probing the target")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHealthBytes))
	if err != nil {
		return "", errors.Wrap(err, "probing the target")
	}
	if resp.StatusCode != http.StatusOK {
		return "", errors.Newf("probing the target: status %d", resp.StatusCode)
	}
	return decodeHealth(body)
}

// decodeHealth returns the start marker in the answer to a probe.
func decodeHealth(body []byte) (string, error) {
	if len(bytes.TrimSpace(body)) == 0 {
		return "", nil
	}
	var health struct {
		Start string `json:"start"`
	}
	if err := json.Unmarshal(body, &health); err != nil {
		return "", errors.Wrap(err, "decoding the answer to a probe")
	}
	return health.Start, nil
}

// refused returns an error marked ErrFenced, and ends the answer, if resp
// refuses the fencing number.
func (c *client) refused(resp *http.Response, g *guard) error {
	err := checkFenced(resp)
	if err != nil {
		resp.Body.Close()
		g.cancel(err)
	}
	return err
}
