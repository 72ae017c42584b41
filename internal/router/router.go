package router

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// ErrSettings marks settings that a router cannot work with.
var ErrSettings = errors.New("settings of the router are invalid")

// Router serves callers. It implements http.Handler.
type Router struct {
	cfg     Config
	log     hclog.Logger
	metrics *metrics
	index   indexCache
	waiting *waitingRoom
	bodies  *bodies
	budget  *retryBudget
	forget  *forgetter
	stopped atomic.Bool

	admission *admission
}

// New returns a router. Its error names every fault of cfg and is marked
// ErrSettings.
func New(cfg Config) (*Router, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, errors.Mark(err, ErrSettings)
	}
	r := &Router{
		cfg:     cfg,
		log:     cfg.Logger,
		metrics: newMetrics(cfg.Registerer),
		waiting: newWaitingRoom(cfg.Limits.Offered),
		bodies:  newBodies(cfg.Limits.Bodies),
		budget:  newRetryBudget(cfg.Timing.RetryRatio, cfg.Timing.RetryBurst),
		forget:  newForgetter(cfg.Opener),
	}
	r.admission = newAdmission(cfg.Site.Domain)
	r.index = indexCache{store: cfg.Store, changed: r.admission.apply}
	r.index.get()
	cfg.Store.OnDigest(r.admission.merge)
	return r, nil
}

// Run keeps the limits of the workspaces up to date until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	r.admission.run(ctx, func() { r.index.get() })
	return nil
}

// Report returns what this router admitted, for the reports to the fleet.
func (r *Router) Report() []wire.PoolSums { return r.admission.report() }

// Ready returns nil when the router can take requests, or the reason why not.
func (r *Router) Ready() error {
	if r.stopped.Load() {
		return errors.New("router is stopping")
	}
	return notReady(r.cfg.Store.Snapshot())
}

// Stop makes Ready fail, so that the balancer sends callers elsewhere. Requests
// are still served.
func (r *Router) Stop() { r.stopped.Store(true) }

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := request.NewID()
	w.Header().Set(headerRequestID, string(id))
	if r.stopped.Load() {
		w.Header().Set("Connection", "close")
	}
	e, refused := r.checkEnvelope(id, req)
	if refused != nil {
		r.refuse(w, e, nil, refused)
		return
	}
	r.dispatch(w, req, e)
}

// dispatch serves a request by its path.
func (r *Router) dispatch(w http.ResponseWriter, req *http.Request, e envelope) {
	path := req.URL.Path
	switch {
	case path == pathModels && req.Method == http.MethodGet:
		r.limitWrite(w)
		listModels(e.idx, e.row).write(w)
	case path == pathCompletions && req.Method == http.MethodPost:
		r.serve(w, req, e, r.completionCall)
	case path == pathModels:
		r.refuseMethod(w, req, e, http.MethodGet)
	case path == pathCompletions:
		r.refuseMethod(w, req, e, http.MethodPost)
	case strings.HasPrefix(path, prefixServices):
		r.serve(w, req, e, r.serviceCall)
	default:
		r.refuse(w, e, nil, refuse(request.ReasonNotFound, "path %q does not exist", path))
	}
}

// checker turns a request into a call.
type checker func(e envelope, req *http.Request, body []byte) (*call, *request.RefusedError)

// serve admits a request, reads its body and runs it.
func (r *Router) serve(w http.ResponseWriter, req *http.Request, e envelope, check checker) {
	release, refused := r.admission.gate.Admit(e.row)
	if refused != nil {
		r.refuse(w, e, nil, refused)
		return
	}
	defer release()
	held, refused := r.holdBody(e, req)
	if refused != nil {
		r.refuse(w, e, nil, refused)
		return
	}
	defer held.release()
	body, refused := r.readBody(w, req)
	if refused != nil {
		r.refuse(w, e, nil, refused)
		return
	}
	held.shrink(int64(len(body)))
	c, refused := check(e, req, body)
	if refused != nil {
		r.refuse(w, e, nil, refused)
		return
	}
	c.held = held
	if e.idx.quarantined(c.content.Fingerprint) {
		r.refuse(w, e, c, refuse(request.ReasonQuarantined, "requests like it crashed targets"))
		return
	}
	r.run(w, req, e, c)
}

// run runs c and finishes the caller's answer.
func (r *Router) run(w http.ResponseWriter, req *http.Request, e envelope, c *call) {
	if c.key != "" {
		w.Header().Set(headerIdempotencyKey, c.key)
	}
	ctx, cancel := context.WithDeadline(req.Context(), c.deadline)
	defer cancel()
	began := time.Now()
	r.metrics.running.Inc()
	defer r.metrics.running.Dec()
	ans := newAnswer(w, r.cfg.Timing.Write)
	refused := newExecution(r, c, ans).run(ctx)
	r.metrics.observe(c, ans, refused, began)
	switch {
	case refused == nil:
		r.log.Debug("request answered", "request", e.id, "workspace", e.row.Name, "pool", c.pool, "bytes", ans.offset)
	case ans.committed:
		r.abort(ans, e, c, refused)
	default:
		r.refuse(w, e, c, refused)
	}
}

// refuse answers with a problem document.
func (r *Router) refuse(w http.ResponseWriter, e envelope, c *call, refused *request.RefusedError) {
	r.metrics.refusals.WithLabelValues(string(refused.Reason)).Inc()
	r.logRefusal("request refused", e, c, refused)
	r.limitWrite(w)
	keyed := e.keyed
	if c != nil {
		keyed = c.keyed
	}
	newProblem(e.id, refused, keyed).write(w, retryAfter(refused))
}

// limitWrite gives the caller a time in which to take an answer. net/http keeps
// the deadline of the answer before on the same connection.
func (r *Router) limitWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(r.cfg.Timing.Write))
}

// refuseMethod answers a request whose path knows another method.
func (r *Router) refuseMethod(w http.ResponseWriter, req *http.Request, e envelope, allowed string) {
	w.Header().Set("Allow", allowed)
	r.refuse(w, e, nil, refuse(request.ReasonMethodNotAllowed, "method %s is not allowed", req.Method))
}

// abort ends an answer that has begun so that it cannot look whole.
func (r *Router) abort(ans *answer, e envelope, c *call, refused *request.RefusedError) {
	r.metrics.aborted.WithLabelValues(string(refused.Reason)).Inc()
	r.logRefusal("answer aborted", e, c, refused)
	ans.breakOff(e.id, refused)
	panic(http.ErrAbortHandler)
}

func (r *Router) logRefusal(message string, e envelope, c *call, refused *request.RefusedError) {
	if !r.log.IsInfo() {
		return
	}
	args := []any{"request", e.id, "reason", refused.Reason, "outcome", refused.Outcome, "detail", refused.Detail}
	if e.row != nil {
		args = append(args, "workspace", e.row.Name)
	}
	if c != nil {
		args = append(args, "pool", c.pool)
	}
	r.log.Info(message, args...)
}
