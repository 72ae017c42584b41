package gate

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/eventlog"
	"github.com/mastichollow/mastichollow/internal/intake"
	"github.com/mastichollow/mastichollow/internal/quarantine"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/route"
	"github.com/mastichollow/mastichollow/internal/upstream"
)

// logModule is the module name in event log lines.
const logModule = "gate"

const (
	hexBase = 16
	// defaultTimeout applies if the caller announces no timeout; it is the longest
	// timeout of the deployments. A route's timeout still shortens it.
	defaultTimeout = 15 * time.Second
	// defaultOutputTokens is the expected output of a stream whose caller announces
	// none.
	defaultOutputTokens = 256
	// minServiceTime is the minimum time in which a request can be served: two
	// one-way trips between regions and one step of an engine.
	minServiceTime = 50 * time.Millisecond
)

// call is the processing of one caller's request.
type call struct {
	gate    *Gate
	w       http.ResponseWriter
	r       *http.Request
	meta    RequestMeta
	started time.Time // with monotonic clock reading

	table            *route.Table
	tableAge         time.Duration
	route            *route.Route
	service          *route.Service
	workspace        string
	stage            stage
	entered          bool         // counted as in flight
	turn             *intake.Turn // nil: none
	body             []byte
	bodyReserved     int64 // bytes of the gate's bodyMemory
	bodyCharged      int64 // bytes charged to the caller's connection
	deadline         time.Time
	sends            int              // sends to targets that may have reached them
	retry            *admission.Retry // budget acquired for the next send; nil: none
	triedTargets     []string         // IDs of targets
	admissionRequest admission.Request
	decision         admission.Decision // of the latest send

	status        int           // returned to the caller; 0: none
	firstByte     time.Duration // since started
	lastEventTime time.Duration // since started
	maxGap        time.Duration // longest inter-event gap
	lastEventID   string        // of the last event forwarded
	framing       upstream.Framing
	// partialEventBytes is the number of bytes after the last complete event at the end
	// of the latest stream.
	partialEventBytes int
	headSent          bool // the response head went out to the caller
	mayHaveRun        bool // on one of the targets tried
	// sendCtx is the context of the send whose response is being forwarded;
	// cancelSend ends it.
	sendCtx    context.Context //nolint:containedctx // it lives as long as the response
	cancelSend context.CancelCauseFunc
}

func (g *Gate) newCall(w http.ResponseWriter, r *http.Request) *call {
	g.stages[stageDecode].Add(1)
	return &call{
		gate: g, w: w, r: r,
		meta:    g.codec.DecodeRequest(r.Header),
		started: time.Now(),
	}
}

// prepare finds the route and workspace of the request, reads its body and fills in
// the admission request. It returns nil if the request may be sent.
func (c *call) prepare() *refusal {
	c.table, c.tableAge = c.gate.tableCache.Current()
	if c.gate.closed.Load() {
		return unavailable(request.ReasonDraining, retryAfterOtherGate)
	}
	if c.table == nil {
		return unavailable(request.ReasonNotReady, retryAfterOtherGate)
	}
	c.route = c.table.Match(c.r.Host, c.path())
	if c.route == nil {
		return c.deny(http.StatusNotFound, request.ReasonNotFound)
	}
	if refused := c.authenticate(); refused != nil {
		return refused
	}
	c.setDeadline()
	if c.gate.mayOutlast(c.deadline) {
		return c.refusalOfStoppingGate()
	}
	if refused := c.enter(); refused != nil {
		limitDiscard(c.w, c.r)
		return refused
	}
	c.enterStage(stageBody)
	if refused := c.readBody(); refused != nil {
		return refused
	}
	c.enterStage(stageAdmission)
	c.setAdmissionRequest()
	return nil
}

// path returns the path of the request without its query.
func (c *call) path() string {
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	return path
}

// refusalOfStoppingGate refuses a request that may not end before the process does.
func (c *call) refusalOfStoppingGate() *refusal {
	return unavailable(request.ReasonDraining, retryAfterOtherGate,
		eventlog.Text("detail", "deadline after the end of the grace period"), eventlog.Millis("left_ms", time.Until(c.deadline)))
}

// deny refuses a request that the table does not allow: permanently, or temporarily if
// the table is so old that a newer one may allow it.
func (c *call) deny(status int, reason request.Reason) *refusal {
	if c.tableAge > c.gate.config.MaxTableAgeForDenials {
		return unavailable(request.ReasonNotReady, retryAfterOtherGate, eventlog.Text("denied_as", string(reason)))
	}
	return denied(status, reason)
}

func (c *call) authenticate() *refusal {
	if !c.needsKey() {
		return nil
	}
	if c.tableAge > c.gate.config.MaxTableAgeForKeys {
		return staleTableRefusal()
	}
	ws := c.table.Authenticate(c.meta.Key)
	if ws == nil {
		return c.deny(http.StatusUnauthorized, request.ReasonUnauthorized)
	}
	c.workspace = ws.Name
	if conn := c.callerConn(); conn != nil {
		conn.SetWorkspace(ws.Name)
	}
	return nil
}

func (c *call) needsKey() bool { return c.table.HasWorkspaces() && !c.route.Public }

func staleTableRefusal() *refusal {
	return unavailable(request.ReasonNotReady, retryAfterOtherGate, eventlog.Text("detail", "table too old for keys"))
}

// recheckKey checks the key again just before a send: the process may have been
// paused since the last check, and retried requests take seconds.
func (c *call) recheckKey() *refusal {
	if !c.needsKey() {
		return nil
	}
	table, age := c.gate.tableCache.Current()
	if age > c.gate.config.MaxTableAgeForKeys {
		return staleTableRefusal()
	}
	if table == c.table {
		return nil
	}
	if ws := table.Authenticate(c.meta.Key); ws == nil || ws.Name != c.workspace {
		return denied(http.StatusUnauthorized, request.ReasonUnauthorized)
	}
	return nil
}

func (c *call) setDeadline() {
	timeout := c.meta.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c.deadline = c.started.Add(timeout)
	if c.route.Timeout <= 0 {
		return
	}
	if routeDeadline := c.started.Add(c.route.Timeout); routeDeadline.Before(c.deadline) {
		c.deadline = routeDeadline
	}
}

// setAdmissionRequest sets the fields of the admission request that all sends share;
// selectTarget sets those that differ.
func (c *call) setAdmissionRequest() {
	c.admissionRequest = admission.Request{
		Workspace:    c.workspace,
		Service:      c.route.Pick(float64(c.hash("pick")>>11) / (1 << 53)),
		Parts:        c.meta.Parts,
		PromptTokens: c.meta.PromptTokens,
		Hash:         c.hash("place"),
		Fingerprint:  c.fingerprint(),
	}
	c.service = c.table.Service(c.admissionRequest.Service)
	if c.service != nil && c.route.PrefixAffinity {
		c.admissionRequest.Slots = c.service.Slots
		c.admissionRequest.CacheTokens = c.service.CacheTokens
	}
	defaultTokens := 0
	if c.route.Streaming {
		defaultTokens = defaultOutputTokens
	}
	c.admissionRequest.OutputTokens = c.meta.expectedOutput(defaultTokens)
}

// expectedOutput returns the expected output in tokens: the caller's hint, or else
// defaultTokens, at most the caller's bound.
func (m *RequestMeta) expectedOutput(defaultTokens int) int {
	output := m.LengthHint
	if output <= 0 {
		output = defaultTokens
	}
	if m.MaxOutputTokens > 0 {
		output = min(max(output, 1), m.MaxOutputTokens)
	}
	return output
}

func (c *call) hash(purpose string) uint64 { return xxhash.Sum64String(purpose + c.meta.ID) }

// fingerprint hashes the parts of the request that are the same in each attempt.
func (c *call) fingerprint() quarantine.Fingerprint {
	digest := xxhash.New()
	for _, part := range []string{c.r.Method, c.r.Host, c.r.RequestURI, c.meta.Key} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(c.body)
	return quarantine.Fingerprint(digest.Sum64())
}

// refuse responds to the caller with a refusal and logs it.
func (c *call) refuse(refused *refusal) {
	c.gate.metrics.refusals.WithLabelValues(string(refused.reason)).Inc()
	c.status = refused.status
	c.boundRefusal()
	refused.write(c.w)
	c.logRequestEnd(string(refused.reason), refused.detail...)
}

// logRequestEnd counts the request and logs its outcome.
func (c *call) logRequestEnd(outcome string, detail ...eventlog.Field) {
	c.gate.metrics.requests.WithLabelValues(statusLabel(c.status)).Inc()
	bulk := c.status == http.StatusServiceUnavailable
	if bulk && !c.gate.config.Events.AllowBulk() {
		return
	}
	fields := make([]eventlog.Field, 0, 32)
	fields = append(fields,
		eventlog.Int("format", eventlog.FormatVersion),
		eventlog.Text("request", c.meta.ID), eventlog.Text("outcome", outcome), eventlog.Int("status", c.status),
		eventlog.Millis("ms", time.Since(c.started)), eventlog.Millis("first_ms", c.firstByte),
		eventlog.Int("sends", c.sends), eventlog.Millis("table_age_ms", c.tableAge))
	if c.table != nil {
		fields = append(fields, eventlog.Int("version", c.table.Version()))
	}
	if c.route != nil {
		fields = append(fields, eventlog.Text("domain", c.gate.config.Domain), eventlog.Text("route", c.route.Name), eventlog.Text("workspace", c.workspace))
	}
	fields = append(fields, eventlog.Int("running", c.decision.Load.InFlight))
	if c.framing != "" {
		fields = append(fields, c.framingLogFields()...)
	}
	if c.admissionRequest.Slots > 0 {
		fields = append(fields, c.engineLogFields()...)
	}
	fields = append(fields, detail...)
	if bulk {
		c.gate.config.Events.BulkEvent(logModule, "request ended", fields...)
		return
	}
	c.gate.config.Events.Event(logModule, "request ended", fields...)
}

// framingLogFields returns how the latest response marks its end and what was left of it
// there.
func (c *call) framingLogFields() []eventlog.Field {
	return []eventlog.Field{eventlog.Text("framing", string(c.framing)), eventlog.Int("partial_event", c.partialEventBytes)}
}

// engineLogFields returns the inputs of the latest admission decision on a request to
// an engine, and its latency objectives with the longest gap seen.
func (c *call) engineLogFields() []eventlog.Field {
	d := &c.decision
	return []eventlog.Field{
		eventlog.Text("same", strconv.FormatUint(uint64(c.admissionRequest.Fingerprint), hexBase)),
		eventlog.Int("prompt", c.admissionRequest.PromptTokens), eventlog.Int("output", c.admissionRequest.OutputTokens),
		eventlog.Millis("goal_ms", c.route.LatencyObjective), eventlog.Millis("gap_goal_ms", c.route.InterTokenObjective),
		eventlog.Millis("pause_ms", c.maxGap), eventlog.Text("room", string(d.Tier)),
		eventlog.Int("reading", d.Load.PendingPromptTokens), eventlog.Int("missing", d.UncachedTokens),
	}
}
