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

	"github.com/mastichollow/mastichollow/internal/budget"
	"github.com/mastichollow/mastichollow/internal/desync"
	"github.com/mastichollow/mastichollow/internal/httpsend"
)

const (
	pathHealth     = "/health"
	maxHealthBytes = 64 << 10
)

// client calls a target over HTTP. A call is sent at most once.
type client struct {
	base           string
	options        Options
	reusingClient  *http.Client // reuses idle connections; for safe methods
	unpooledClient *http.Client // opens a new connection for each call
	memory         *budget.Bytes
}

func newClient(base string, options Options) *client {
	options = options.withDefaults()
	return &client{
		base:           strings.TrimSuffix(base, "/"),
		options:        options,
		reusingClient:  newHTTPClient(options, false),
		unpooledClient: newHTTPClient(options, true),
		memory:         budget.NewBytes(int64(options.MaxAnswerMemoryBytes)),
	}
}

func newHTTPClient(options Options, unpooled bool) *http.Client {
	transport := httpsend.NewTransport(httpsend.TransportConfig{
		DialTimeout:       options.DialTimeout,
		IdleTimeout:       idleTimeout,
		MaxIdleConns:      maxIdleConns,
		DisableKeepAlives: unpooled,
		Dial:              options.Dial,
	})
	return &http.Client{Transport: desync.NewTransport(transport), CheckRedirect: returnRedirect}
}

// returnRedirect returns a redirect to the caller as the answer: following it
// would send the call twice.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// begin sends call once and returns its answer when the header has arrived. The
// watchdog's context bounds the complete answer; ctx cancels the call only until
// begin returns.
func (c *client) begin(ctx context.Context, call Call) (*http.Response, *watchdog, error) {
	if err := ctx.Err(); err != nil {
		return nil, nil, errors.Mark(err, ErrNotSent)
	}
	w := newWatchdog(c.options.ProgressTimeout)
	defer w.cancelWith(ctx)()
	beginTimer := time.AfterFunc(c.options.BeginTimeout, func() { w.cancel(ErrStalled) })
	defer beginTimer.Stop()
	tracked, tracker := httpsend.Track(w.ctx)
	req, err := c.newRequest(tracked, call)
	if err != nil {
		w.cancel(err)
		return nil, nil, errors.Mark(errors.Wrapf(err, "preparing %s %s", call.Method, call.Path), ErrNotSent)
	}
	resp, err := c.clientFor(call.Method).Do(req)
	if err != nil {
		err = c.classifyError(w, tracker, err)
		w.cancel(err)
		return nil, nil, errors.Wrapf(err, "%s %s", call.Method, call.Path)
	}
	resp.Body = watchedBody{resp.Body, w}
	return resp, w, nil
}

// clientFor returns the HTTP client for a method. The target may have closed an
// idle connection without this side having noticed, so a call that must not be
// sent twice uses a new connection.
func (c *client) clientFor(method string) *http.Client {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return c.reusingClient
	default:
		return c.unpooledClient
	}
}

func (c *client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, errors.Newf("path %q does not start with a slash", call.Path)
	}
	// The type hides the reader from net/http, which could otherwise rewind it
	// and send the request again, as it does when an Idempotency-Key is set.
	reader := struct{ io.Reader }{bytes.NewReader(call.Body)}
	req, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, reader)
	if err != nil {
		return nil, err
	}
	req.Header = endToEndHeaders(call.Header)
	req.Header.Set(HeaderFence, strconv.FormatUint(call.Fence, 10))
	req.Header.Set(HeaderAttempt, call.Attempt)
	req.ContentLength = int64(len(call.Body))
	return req, nil
}

// closeIdleConnections closes the idle connections. When one connection has
// stopped delivering data, the others may have too.
func (c *client) closeIdleConnections() { c.reusingClient.CloseIdleConnections() }

// classifyError marks the error of a call whose answer did not begin.
func (c *client) classifyError(w *watchdog, tracker *httpsend.Tracker, err error) error {
	c.closeIdleConnections()
	switch {
	case !tracker.Sent():
		return errors.Mark(err, ErrNotSent)
	case errors.Is(context.Cause(w.ctx), ErrStalled):
		return errors.Mark(err, ErrStalled)
	default:
		return errors.Mark(err, ErrTruncated)
	}
}

// Probe implements Client. The start marker is the field "start" of the answer
// to GET /health; it is empty for targets that do not return one.
func (c *client) Probe(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.ProbeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+pathHealth, http.NoBody)
	if err != nil {
		return "", errors.Wrap(err, "preparing a probe")
	}
	// A new connection distinguishes a target that is down from a pooled
	// connection that no longer delivers data.
	resp, err := c.unpooledClient.Do(req)
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

// checkNotFenced returns an error marked ErrFenced and closes the answer if the
// target rejected the fencing number.
func (c *client) checkNotFenced(resp *http.Response, w *watchdog) error {
	err := fencedError(resp)
	if err != nil {
		resp.Body.Close()
		w.cancel(err)
	}
	return err
}
