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
	"github.com/mastichollow/mastichollow/internal/socket"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// ErrInvalidConfig marks the error of New for a configuration that a router cannot
// use.
var ErrInvalidConfig = errors.New("invalid router configuration")

// Router serves callers. It implements http.Handler and is safe for concurrent use.
type Router struct {
	cfg         Config
	log         hclog.Logger
	metrics     *metrics
	index       indexCache
	pending     *pendingLimiter
	bodyMemory  bodyMemory
	retryBudget *retryBudget
	dropper     *connectionDropper
	stopping    atomic.Bool

	rateLimits *rateLimits
}

// New returns a router. Its error names every fault of cfg and is marked
// ErrInvalidConfig.
func New(cfg Config) (*Router, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, errors.Mark(err, ErrInvalidConfig)
	}
	r := &Router{
		cfg:         cfg,
		log:         cfg.Logger,
		metrics:     newMetrics(cfg.Registerer),
		pending:     newPendingLimiter(cfg.Limits.PendingOffers),
		bodyMemory:  newBodyMemory(cfg.Limits.BodyMemory),
		retryBudget: newRetryBudget(cfg.Timing.RetryRatio, cfg.Timing.RetryBurst),
		dropper:     newConnectionDropper(cfg.Opener),
	}
	r.rateLimits = newRateLimits(cfg.Site.Domain)
	r.index = indexCache{store: cfg.Store, onSnapshot: r.rateLimits.apply}
	r.index.get()
	cfg.Store.OnDigest(r.rateLimits.merge)
	return r, nil
}

// Run refreshes the rate limits and expires the totals of unresponsive failure domains
// until ctx ends. It returns nil.
func (r *Router) Run(ctx context.Context) error {
	r.rateLimits.run(ctx, func() { r.index.get() })
	return nil
}

// Report returns the totals of the requests that this router admitted, for its reports
// to the fleet.
func (r *Router) Report() []wire.PoolTotals { return r.rateLimits.report() }

// Ready returns nil if the router can serve requests, otherwise the reason why not.
func (r *Router) Ready() error {
	if r.stopping.Load() {
		return errors.New("router is stopping")
	}
	return notReady(r.cfg.Store.Snapshot())
}

// Stop makes Ready fail, so that the load balancer sends callers to other routers.
// Requests are still served, but their connections are closed afterwards.
func (r *Router) Stop() { r.stopping.Store(true) }

// ServeHTTP implements http.Handler.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := request.NewID()
	w.Header().Set(headerRequestID, string(id))
	if r.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	e, refused := r.checkEnvelope(id, req)
	if refused != nil {
		r.writeRefusal(w, e, nil, refused)
		return
	}
	r.dispatch(w, req, e)
}

// dispatch serves a request by its path and method.
func (r *Router) dispatch(w http.ResponseWriter, req *http.Request, e envelope) {
	path := req.URL.Path
	switch {
	case path == pathModels && req.Method == http.MethodGet:
		r.setWriteDeadline(w)
		listModels(e.index, e.row).write(w)
	case path == pathCompletions && req.Method == http.MethodPost:
		r.serveCall(w, req, e, r.completionCall)
	case path == pathModels:
		r.refuseMethod(w, req, e, http.MethodGet)
	case path == pathCompletions:
		r.refuseMethod(w, req, e, http.MethodPost)
	case strings.HasPrefix(path, prefixServices):
		r.serveCall(w, req, e, r.serviceCall)
	default:
		r.writeRefusal(w, e, nil, newRefusal(request.ReasonNotFound, "path %q does not exist", path))
	}
}

// callBuilder validates a request and turns it into a call.
type callBuilder func(e envelope, req *http.Request, body []byte) (*call, *request.RefusedError)

// serveCall applies the rate limits, reads the body and runs the call.
func (r *Router) serveCall(w http.ResponseWriter, req *http.Request, e envelope, buildCall callBuilder) {
	release, refused := r.rateLimits.limiter.Admit(e.row)
	if refused != nil {
		r.writeRefusal(w, e, nil, refused)
		return
	}
	defer release()
	reservation, refused := r.reserveBody(e, req)
	if refused != nil {
		r.writeRefusal(w, e, nil, refused)
		return
	}
	defer reservation.release()
	body, refused := r.readBody(w, req)
	if refused != nil {
		r.writeRefusal(w, e, nil, refused)
		return
	}
	reservation.shrinkTo(int64(len(body)))
	c, refused := buildCall(e, req, body)
	if refused != nil {
		r.writeRefusal(w, e, nil, refused)
		return
	}
	c.bodyReservation = reservation
	if e.index.quarantined(c.content.Fingerprint) {
		r.writeRefusal(w, e, c, newRefusal(request.ReasonQuarantined, "requests like it crashed targets"))
		return
	}
	r.runCall(w, req, e, c)
}

// runCall runs c and ends the answer to the caller.
func (r *Router) runCall(w http.ResponseWriter, req *http.Request, e envelope, c *call) {
	if c.key != "" {
		w.Header().Set(headerIdempotencyKey, c.key)
	}
	ctx, cancel := context.WithDeadline(req.Context(), c.deadline)
	defer cancel()
	startedAt := time.Now()
	r.metrics.runningRequests.Inc()
	defer r.metrics.runningRequests.Dec()
	answer := newAnswerWriter(w, r.cfg.Timing.WriteTimeout)
	refused := newExecution(r, c, answer).run(ctx)
	r.metrics.observe(c, answer, refused, startedAt)
	switch {
	case refused == nil:
		r.log.Debug("request answered", "request", e.id, "workspace", e.row.Name, "pool", c.pool, "bytes", answer.offset)
	case answer.committed:
		r.abortAnswer(req, answer, e, c, refused)
	default:
		r.writeRefusal(w, e, c, refused)
	}
}

// writeRefusal answers with a problem document.
func (r *Router) writeRefusal(w http.ResponseWriter, e envelope, c *call, refused *request.RefusedError) {
	r.metrics.refusals.WithLabelValues(string(refused.Reason)).Inc()
	r.logRefusal("request refused", e, c, refused)
	r.setWriteDeadline(w)
	hasCallerKey := e.hasCallerKey
	if c != nil {
		hasCallerKey = c.hasCallerKey
	}
	newProblem(e.id, refused, hasCallerKey).write(w, retryAfter(refused))
}

// setWriteDeadline bounds the time in which the caller must read an answer. Without
// it, net/http would apply the deadline of the previous answer on the same connection.
func (r *Router) setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(r.cfg.Timing.WriteTimeout))
}

// refuseMethod answers a request whose path exists only for another method.
func (r *Router) refuseMethod(w http.ResponseWriter, req *http.Request, e envelope, allowed string) {
	w.Header().Set("Allow", allowed)
	r.writeRefusal(w, e, nil, newRefusal(request.ReasonMethodNotAllowed, "method %s is not allowed", req.Method))
}

// abortAnswer ends an answer that has begun, in a way that its caller cannot mistake
// it for complete: it aborts the connection.
func (r *Router) abortAnswer(req *http.Request, answer *answerWriter, e envelope, c *call, refused *request.RefusedError) {
	r.metrics.abortedAnswers.WithLabelValues(string(refused.Reason)).Inc()
	r.logRefusal("answer aborted", e, c, refused)
	answer.writeErrorEvent(e.id, refused)
	socket.AbortResponse(answer.w, req)
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
