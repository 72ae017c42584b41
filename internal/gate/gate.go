package gate

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/budget"
	"github.com/mastichollow/mastichollow/internal/eventlog"
	"github.com/mastichollow/mastichollow/internal/intake"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/upstream"
)

// Config configures a Gate.
type Config struct {
	// MaxTableAgeForKeys is the table age above which API keys are no longer
	// accepted, because a key may have been revoked in the meantime.
	MaxTableAgeForKeys time.Duration
	// MaxTableAgeForDenials is the table age above which a missing route or key is
	// refused as temporary only, because it may have been added in the meantime.
	MaxTableAgeForDenials time.Duration
	// MaxKeepAliveConnections is the number of callers' connections above which
	// each is closed after its next response, so that idle connections don't
	// exhaust the file descriptors; 0: unlimited.
	MaxKeepAliveConnections int
	// MaxConnections bounds the callers' connections of a listener of LimitConnections; 0:
	// unlimited.
	MaxConnections int
	// MaxRequests bounds the requests in flight, by what the machine's memory and file
	// descriptors hold; 0: unlimited.
	MaxRequests int
	// MaxBufferedBodyBytes bounds the bodies of all requests in flight.
	MaxBufferedBodyBytes int64
	// ResponseMemory bounds what is kept of all responses of targets together, beyond a
	// small part of each; nil: unlimited.
	ResponseMemory *budget.Bytes
	Domain         string               // failure domain, for log lines
	Now            func() time.Duration // monotonic clock
	Events         *eventlog.Log
	// StoreUnreachable reports whether the gate cannot reach the metadata store and
	// relies on state from a peer; nil: never.
	StoreUnreachable func() bool
}

// Gate serves callers. It implements http.Handler.
type Gate struct {
	config       Config
	codec        Codec
	tableCache   *TableCache
	directory    *target.Directory
	controller   *admission.Controller
	pool         *upstream.Pool
	metrics      *metrics
	bodyMemory   *budget.Keyed[string] // by workspace
	inFlight     atomic.Int64
	connections  *connections // of callers
	intake       *intake.Control
	stages       [stageCount]atomic.Int64 // requests by stage
	draining     atomic.Bool
	closed       atomic.Bool
	stopTime     atomic.Pointer[time.Time] // by which requests must have ended; nil: none
	stopped      context.Context           //nolint:containedctx // ends at stopTime
	endRequests  context.CancelFunc
	delay        schedulingDelay
	targetChecks sync.Map // addresses of targets that are being checked
	silent       silentTargets
}

// New returns a gate.
func New(config Config, codec Codec, table *TableCache, directory *target.Directory,
	controller *admission.Controller, pool *upstream.Pool, reg prometheus.Registerer,
) *Gate {
	g := &Gate{
		config: config, codec: codec, tableCache: table, directory: directory,
		controller: controller, pool: pool, metrics: newMetrics(reg), bodyMemory: newBodyMemory(config.MaxBufferedBodyBytes),
		connections: newConnections(), intake: newIntake(config.MaxRequests),
	}
	g.delay.onTick, g.delay.queueDelay = g.intake.Tick, g.intake.OldestWait
	g.stopped, g.endRequests = context.WithCancel(context.Background())
	return g
}

// Ready returns nil if the gate can serve callers, or the reason why it cannot. The
// readiness endpoint returns the text of the error.
func (g *Gate) Ready() error {
	if g.draining.Load() {
		return errDraining
	}
	table, age := g.tableCache.Current()
	if table == nil {
		return errNoTable
	}
	if table.HasWorkspaces() && age > g.config.MaxTableAgeForKeys {
		return errStaleTable
	}
	if g.delay.high() {
		return errSchedulingDelay
	}
	if g.config.MaxConnections > 0 && int(g.connections.open.Load()) >= g.config.MaxConnections {
		return errManyConnections
	}
	if g.intake.Full() {
		return errManyRequests
	}
	if g.directory.Current().Len() == 0 {
		return errNoTargets
	}
	if g.storeUnreachable() {
		return errStoreUnreachable
	}
	return nil
}

// storeUnreachable reports whether the gate relies on state from a peer. Such a gate
// still serves but reports not ready, to get fewer callers: after one more failure it
// could no longer accept keys.
func (g *Gate) storeUnreachable() bool {
	return g.config.StoreUnreachable != nil && g.config.StoreUnreachable()
}

// Run measures the gate's scheduling delay and publishes engine estimates until ctx
// ends.
func (g *Gate) Run(ctx context.Context) {
	go g.watchEngines(ctx)
	if err := g.delay.measure(ctx, g.config.Now); err != nil {
		g.config.Events.Event(logModule, "scheduling delay measurement failed", eventlog.Text("error", err.Error()))
	}
}

// Drain makes the gate not ready and closes each caller's connection after its next
// response. From now on it refuses requests that have not been sent to a target and
// whose deadline is after stop, the time by which all requests must have ended: they could
// only be cut off. At stop, the requests that are still in flight get their final response.
func (g *Gate) Drain(stop time.Time) {
	g.stopTime.Store(&stop)
	g.draining.Store(true)
	time.AfterFunc(time.Until(stop), g.endRequests)
}

// mayOutlast reports whether a request with the deadline may be in flight at the end of a
// planned stop.
func (g *Gate) mayOutlast(deadline time.Time) bool {
	stop := g.stopTime.Load()
	return stop != nil && deadline.After(*stop)
}

// Close makes the gate refuse new requests, since the process is about to exit. Requests in
// flight continue.
func (g *Gate) Close() { g.closed.Store(true) }

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int { return int(g.inFlight.Load()) }

// maxDiscardedBody is the size in bytes of the largest body that is read and discarded, to
// keep the connection, if the request is refused by its head. The largest prompts of the
// deployments have 72 kB.
const maxDiscardedBody = 128 << 10

type connKey struct{}

// ConnContext stores a caller's connection in the context of its requests. It is
// meant for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnState tracks callers' open connections. It is meant for http.Server.ConnState.
func (g *Gate) ConnState(c net.Conn, state http.ConnState) { g.connections.setState(c, state) }

func (g *Gate) tooManyConnections() bool {
	return g.config.MaxKeepAliveConnections > 0 && int(g.connections.open.Load()) > g.config.MaxKeepAliveConnections
}

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.draining.Load() || g.delay.sustained() || g.tooManyConnections() || g.storeUnreachable() {
		// The load balancer routes the caller's next connection to another gate.
		w.Header()["Connection"] = closeOption
	}
	if g.refuseEarly(w, r) {
		return
	}
	c := g.newCall(w, r)
	defer c.end()
	if refusal := c.prepare(); refusal != nil {
		c.refuse(refusal)
		return
	}
	if !c.protect() {
		c.abort(request.ReasonCallerGone, eventlog.Text("detail", "connection closed to keep a limit"))
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(g.stopped, cancel)()
	c.run(ctx)
}
