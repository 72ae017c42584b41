package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/mastichollow/mastichollow/internal/fairness"
	"github.com/mastichollow/mastichollow/internal/fairness/source"
	"github.com/mastichollow/mastichollow/internal/limit"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// ErrNotReady marks the error of an agent that cannot accept work.
var ErrNotReady = errors.New("agent is not ready")

// Agent serves the offers of routers for one target. It is safe for concurrent
// use.
type Agent struct {
	cfg      Config
	log      hclog.Logger
	metrics  *metrics
	ledger   *fairness.Ledger
	sched    *scheduler
	limits   *limit.ConcurrencyLimiter
	locks    *fingerprintLocks
	attempts *attemptRegistry
	suspects *suspectSet
	fence    *fence
	health   *health
	table    *tableIndex

	// baseCtx is the context of everything that outlives a stream.
	baseCtx context.Context
	cancel  context.CancelFunc

	background sync.WaitGroup // accepted attempts, and platform calls after they ended
}

// New returns an agent. It accepts no work before Run.
func New(cfg Config) (*Agent, error) {
	if err := cfg.validate(); err != nil {
		return nil, errors.Wrap(err, "configuration of the agent")
	}
	cfg.Limits = cfg.Limits.withDefaults()
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.Registerer == nil {
		cfg.Registerer = prometheus.NewRegistry()
	}
	ledger := fairness.NewLedgerWith(fairness.Settings{LocalSource: cfg.Domain})
	limits := limit.NewConcurrencyLimiter(cfg.Domain)
	suspects := newSuspectSet(cfg.Store)
	a := &Agent{
		cfg:      cfg,
		log:      cfg.Logger,
		metrics:  newMetrics(cfg.Registerer),
		ledger:   ledger,
		sched:    newScheduler(ledger, limits, cfg.Slots, cfg.Slots-cfg.InteractiveSlots),
		limits:   limits,
		locks:    newFingerprintLocks(suspects.has),
		attempts: newAttemptRegistry(cfg.Limits.AnswerRetention, cfg.Limits.MaxRetainedBytes),
		suspects: suspects,
		fence:    new(fence),
		health:   new(health),
		table:    newTableIndex(cfg.Store, ledger, limits),
	}
	a.baseCtx, a.cancel = context.WithCancel(context.Background())
	a.sched.isSuspect = suspects.has
	a.sched.onSlotReleased = func(d time.Duration) { a.metrics.busySeconds.Add(d.Seconds()) }
	registerLoad(cfg.Registerer, a.sched)
	return a, nil
}

// Run runs the background tasks of the agent until ctx ends. Attempts that are
// still running then are cancelled; call Drain first to let them end.
func (a *Agent) Run(ctx context.Context) error {
	defer a.background.Wait()
	defer a.cancel()
	defer a.stopGranting("process is stopping")
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { a.watchStore(ctx); return nil })
	g.Go(func() error { a.watchTarget(ctx); return nil })
	g.Go(func() error { a.expireRemote(ctx); return nil })
	g.Go(func() error { a.acquireFence(ctx); return nil })
	if a.cfg.Kind == target.KindService {
		g.Go(func() error { a.chargeTime(ctx); return nil })
	}
	return g.Wait()
}

// Ready returns nil if the agent can accept work, or an error marked
// ErrNotReady with the reason.
func (a *Agent) Ready() error {
	var reason string
	switch {
	case a.cfg.Store.Snapshot().Table == nil:
		reason = "no workspace table is known"
	case a.fence.notReadyReason() != "":
		reason = a.fence.notReadyReason()
	case a.sched.closeRefusal() != nil:
		reason = "agent is draining"
	default:
		reason = a.health.notReadyReason()
	}
	if reason == "" {
		return nil
	}
	return errors.Mark(errors.New(reason), ErrNotReady)
}

// ServeStream implements transport.Handler for offers and for resumed answers.
func (a *Agent) ServeStream(ctx context.Context, peer transport.Peer, first wire.Message, s transport.Stream) {
	switch m := first.(type) {
	case *wire.Offer:
		a.serveOffer(ctx, m, s)
	case *wire.Resume:
		a.serveResume(ctx, m, s)
	default:
		a.log.Warn("rejected a stream: unexpected first message", "type", first.Type(), "peer", peer.Member)
	}
}

// Report returns the totals of this agent since its start, for the fleet. Free
// is 0 while the agent is not ready.
func (a *Agent) Report() wire.PoolTotals {
	report := a.sched.report(a.cfg.Pool)
	if a.Ready() != nil {
		report.Free = 0
	}
	return report
}

// ApplyDigest applies the totals of a failure domain. Those of the local domain
// include what this agent itself reported; the ledger and the limits subtract
// it.
func (a *Agent) ApplyDigest(d *wire.Digest) {
	now := time.Now()
	var poolTotals []wire.Total
	for _, p := range d.Pools {
		if p.Pool == a.cfg.Pool {
			poolTotals = p.Totals
		}
	}
	totals := make([]fairness.Total, 0, len(poolTotals))
	for _, total := range poolTotals {
		totals = append(totals, fairness.Total{
			Workspace: total.Workspace,
			Service:   total.Service,
			Running:   total.Running,
			Queued:    total.Queued,
		})
	}
	id := source.ID{Name: d.Domain, Incarnation: d.Incarnation}
	a.ledger.Apply(fairness.Update{Source: id, Sequence: d.Sequence, Full: d.Full, Totals: totals, At: now})
	a.limits.Merge(limit.ReportHeader{ID: id, Sequence: d.Sequence, Full: d.Full}, poolTotals, now)
	a.sched.dispatch()
}

// expireInterval is the time between two checks for sources that stopped
// reporting and for limits that have capacity again.
const expireInterval = time.Second

// expireRemote discards the totals of sources that stopped reporting, until ctx
// ends.
func (a *Agent) expireRemote(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			a.ledger.Expire(now)
			a.limits.Expire(now)
			a.sched.dispatch()
		case <-ctx.Done():
			return
		}
	}
}

// chargeTime charges the slot time of running requests until ctx ends.
func (a *Agent) chargeTime(ctx context.Context) {
	ticker := time.NewTicker(a.cfg.Limits.ChargeInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			a.metrics.serviceUnits.Add(float64(a.sched.chargeTime(now)))
		case <-ctx.Done():
			return
		}
	}
}

// charge charges at for service, in service units.
func (a *Agent) charge(at *attempt, units int64) {
	if units <= 0 {
		return
	}
	at.account.Charge(units)
	a.metrics.serviceUnits.Add(float64(units))
}
