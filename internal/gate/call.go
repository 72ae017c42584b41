package gate

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/eventlog"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/route"
)

// logModule names the gate in log lines.
const logModule = "gate"

const (
	hexBase = 16
	// defaultDeadline applies when neither the caller nor the route bounds the
	// wait; it is the longest of the deployments' sheets.
	defaultDeadline = 15 * time.Second
	// defaultOutput is the output that is assumed of a stream that says nothing
	// of it, in tokens.
	defaultOutput = 256
	// minTime is the time below which a request cannot be served: two trips
	// between regions and one step of an engine.
	minTime = 50 * time.Millisecond
)

// call is one request of a caller on its way through the gate.
type call struct {
	gate    *Gate
	w       http.ResponseWriter
	r       *http.Request
	meta    Meta
	started time.Time // of the wall clock with its steady part

	table     *route.Table
	age       time.Duration
	route     *route.Route
	service   *route.Service
	workspace string
	body      []byte
	deadline  time.Time
	sent      int      // sends to targets that may have reached them
	tried     []string // IDs of targets
	policy    admission.Request
	decision  admission.Decision // the last one

	status    int // that the caller got
	firstByte time.Duration
	lastEvent time.Duration // since the start
	pause     time.Duration // the longest between two events
	lastID    string        // of the last event that was passed on
	begun     bool          // the caller has the head of an answer
	ran       bool          // a target may have run the request
	// sendCtx is that of the send whose answer is in hand, cancel ends it.
	sendCtx context.Context //nolint:containedctx // it lives as long as the answer
	cancel  context.CancelCauseFunc
}

func (g *Gate) newCall(w http.ResponseWriter, r *http.Request) *call {
	return &call{
		gate: g, w: w, r: r,
		meta:    g.codec.Decode(r.Header),
		started: time.Now(),
	}
}

// prepare finds the route and workspace of the request and reads its body.
func (c *call) prepare() *refusal {
	c.table, c.age = c.gate.table.Current()
	if c.gate.closed.Load() {
		return unavailable(request.ReasonDraining, retryElsewhere)
	}
	if c.table == nil {
		return unavailable(request.ReasonNotReady, retryElsewhere)
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	c.route = c.table.Match(c.r.Host, path)
	if c.route == nil {
		return c.deny(http.StatusNotFound, request.ReasonNotFound)
	}
	if refused := c.authenticate(); refused != nil {
		return refused
	}
	if refused := c.readBody(); refused != nil {
		return refused
	}
	c.setDeadline()
	c.describe()
	return nil
}

// beyondShare reports whether the request is more than its workspace's share, or
// its workspace is not known. It looks at the head of the request alone.
func (c *call) beyondShare() bool {
	table, _ := c.gate.table.Current()
	if table == nil {
		return true
	}
	ws := table.Authenticate(c.meta.Key)
	if ws == nil {
		return true
	}
	return c.gate.controller.ExceedsFairShare(c.gate.config.Now(), ws.Name, c.meta.Prompt, c.meta.outputOr(0))
}

// deny refuses for good what the table does not allow, unless the table is so
// old that a newer one may allow it.
func (c *call) deny(status int, reason request.Reason) *refusal {
	if c.age > c.gate.config.DenyAge {
		return unavailable(request.ReasonNotReady, retryElsewhere, eventlog.Text("denied_as", string(reason)))
	}
	return denied(status, reason)
}

func (c *call) authenticate() *refusal {
	if !c.needsKey() {
		return nil
	}
	if c.age > c.gate.config.KeyAge {
		return tableTooOld()
	}
	ws := c.table.Authenticate(c.meta.Key)
	if ws == nil {
		return c.deny(http.StatusUnauthorized, request.ReasonUnauthorized)
	}
	c.workspace = ws.Name
	return nil
}

func (c *call) needsKey() bool { return c.table.HasWorkspaces() && !c.route.Public }

func tableTooOld() *refusal {
	return unavailable(request.ReasonNotReady, retryElsewhere, eventlog.Text("detail", "table too old for keys"))
}

// stillAllowed looks at the key once more, just before a send: the process may have
// been paused since it was looked at, and repeated requests take seconds.
func (c *call) stillAllowed() *refusal {
	if !c.needsKey() {
		return nil
	}
	table, age := c.gate.table.Current()
	if age > c.gate.config.KeyAge {
		return tableTooOld()
	}
	if table == c.table {
		return nil
	}
	if ws := table.Authenticate(c.meta.Key); ws == nil || ws.Name != c.workspace {
		return denied(http.StatusUnauthorized, request.ReasonUnauthorized)
	}
	return nil
}

// readBody reads the whole body, since it may have to be sent twice.
func (c *call) readBody() *refusal {
	limit := c.table.Limits().BodyBytes
	if limit > 0 && c.r.ContentLength > limit {
		return denied(http.StatusRequestEntityTooLarge, request.ReasonTooLarge)
	}
	if c.gate.bodies.Load()+max(c.r.ContentLength, 0) > c.gate.config.BodiesBytes {
		return unavailable(request.ReasonOverloaded, retryLater, eventlog.Text("detail", "bodies in hand"))
	}
	body, err := c.read(limit)
	if errors.Is(err, errBodyTooLarge) {
		return denied(http.StatusRequestEntityTooLarge, request.ReasonTooLarge)
	}
	if err != nil {
		return denied(http.StatusBadRequest, request.ReasonMalformed, eventlog.Text("error", err.Error()))
	}
	c.gate.bodies.Add(int64(len(body)))
	c.body = body
	return nil
}

var errBodyTooLarge = errors.New("body is larger than the table allows")

func (c *call) read(limit int64) ([]byte, error) {
	if c.r.ContentLength == 0 {
		return nil, nil
	}
	if c.r.ContentLength > 0 {
		body := make([]byte, c.r.ContentLength)
		_, err := io.ReadFull(c.r.Body, body)
		return body, errors.Wrap(err, "reading the body")
	}
	if limit <= 0 {
		limit = c.gate.config.BodiesBytes
	}
	body, err := io.ReadAll(io.LimitReader(c.r.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errBodyTooLarge
	}
	return body, errors.Wrap(err, "reading the body")
}

func (c *call) setDeadline() {
	wait := c.meta.Patience
	if wait <= 0 {
		wait = defaultDeadline
	}
	c.deadline = c.started.Add(wait)
	if c.route.Timeout <= 0 {
		return
	}
	if timeout := c.started.Add(c.route.Timeout); timeout.Before(c.deadline) {
		c.deadline = timeout
	}
}

// describe fills in what the policy knows of the request; place adds what differs
// from send to send.
func (c *call) describe() {
	c.policy = admission.Request{
		Workspace:    c.workspace,
		Service:      c.route.Pick(float64(c.hash("pick")>>11) / (1 << 53)),
		Parts:        c.meta.Parts,
		PromptTokens: c.meta.Prompt,
		Hash:         c.hash("place"),
		Fingerprint:  c.fingerprint(),
	}
	c.service = c.table.Service(c.policy.Service)
	if c.service != nil && c.route.Affine {
		c.policy.Slots = c.service.Slots
		c.policy.CacheTokens = c.service.CacheTokens
	}
	fallback := 0
	if c.route.Streaming {
		fallback = defaultOutput
	}
	c.policy.OutputTokens = c.meta.outputOr(fallback)
}

// outputOr returns the output that is expected, in tokens, or fallback if the caller
// says nothing of it.
func (m *Meta) outputOr(fallback int) int {
	output := m.LengthHint
	if output <= 0 {
		output = fallback
	}
	if m.MaxOutput > 0 {
		output = min(max(output, 1), m.MaxOutput)
	}
	return output
}

func (c *call) hash(purpose string) uint64 { return xxhash.Sum64String(purpose + c.meta.ID) }

// fingerprint hashes what stays the same when the request comes again.
func (c *call) fingerprint() admission.Fingerprint {
	d := xxhash.New()
	for _, part := range []string{c.r.Method, c.r.Host, c.r.RequestURI, c.meta.Key} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.body)
	return admission.Fingerprint(d.Sum64())
}

// refuse answers the caller itself.
func (c *call) refuse(f *refusal) {
	c.gate.metrics.refusals.WithLabelValues(string(f.reason)).Inc()
	c.status = f.status
	f.write(c.w)
	c.logEnd(string(f.reason), f.detail...)
}

// logEnd writes the line that says how the request ended.
func (c *call) logEnd(outcome string, detail ...eventlog.Field) {
	c.gate.metrics.requests.WithLabelValues(statusLabel(c.status)).Inc()
	fields := make([]eventlog.Field, 0, 32)
	fields = append(fields,
		eventlog.Int("format", eventlog.FormatVersion),
		eventlog.Text("request", c.meta.ID), eventlog.Text("outcome", outcome), eventlog.Int("status", c.status),
		eventlog.Millis("ms", time.Since(c.started)), eventlog.Millis("first_ms", c.firstByte),
		eventlog.Int("sends", c.sent), eventlog.Millis("table_age_ms", c.age))
	if c.table != nil {
		fields = append(fields, eventlog.Int("version", c.table.Version()))
	}
	if c.route != nil {
		fields = append(fields, eventlog.Text("domain", c.gate.config.Domain), eventlog.Text("route", c.route.Name), eventlog.Text("workspace", c.workspace))
	}
	fields = append(fields, eventlog.Int("running", c.decision.Load.InFlight))
	if c.policy.Slots > 0 {
		fields = append(fields, c.describeEngineCall()...)
	}
	c.gate.config.Events.Event(logModule, "request ended", append(fields, detail...)...)
}

// describeEngineCall returns what the policy knew of a request to an engine when it
// decided last, and what became of its goals.
func (c *call) describeEngineCall() []eventlog.Field {
	d := &c.decision
	return []eventlog.Field{
		eventlog.Text("same", strconv.FormatUint(uint64(c.policy.Fingerprint), hexBase)),
		eventlog.Int("prompt", c.policy.PromptTokens), eventlog.Int("output", c.policy.OutputTokens),
		eventlog.Millis("goal_ms", c.route.Goal), eventlog.Millis("gap_goal_ms", c.route.GapGoal),
		eventlog.Millis("pause_ms", c.pause), eventlog.Text("room", string(d.Tier)),
		eventlog.Int("reading", d.Load.PendingPromptTokens), eventlog.Int("missing", d.UncachedTokens),
	}
}
