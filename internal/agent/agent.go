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

// ErrNotReady marks an agent that cannot take work.
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
	holds    *holds
	attempts *attempts
	suspects *suspects
	fence    *fence
	health   *health
	table    *tableIndex

	// base is the context of what outlives a stream.
	base   context.Context
	cancel context.CancelFunc

	background sync.WaitGroup // accepted attempts, and calls to the platform after them
}

// New returns an agent. It serves nothing before Run.
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
	suspects := newSuspects(cfg.Store)
	a := &Agent{
		cfg:      cfg,
		log:      cfg.Logger,
		metrics:  newMetrics(cfg.Registerer),
		ledger:   ledger,
		sched:    newScheduler(ledger, limits, cfg.Slots, cfg.Slots-cfg.InteractiveSlots),
		limits:   limits,
		holds:    newHolds(suspects.has),
		attempts: newAttempts(cfg.Limits.Keep, cfg.Limits.KeepBytes),
		suspects: suspects,
		fence:    new(fence),
		health:   new(health),
		table:    newTableIndex(cfg.Store, ledger, limits),
	}
	a.base, a.cancel = context.WithCancel(context.Background())
	a.sched.isSuspect = suspects.has
	a.sched.onBusy = func(d time.Duration) { a.metrics.busy.Add(d.Seconds()) }
	registerLoad(cfg.Registerer, a.sched)
	return a, nil
}

// Run keeps the agent up to date until ctx ends. Attempts that still run then
// are cancelled; Drain ends them before.
func (a *Agent) Run(ctx context.Context) error {
	defer a.background.Wait()
	defer a.cancel()
	defer a.stopGrants("process is stopping")
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { a.watchStore(ctx); return nil })
	g.Go(func() error { a.watchTarget(ctx); return nil })
	g.Go(func() error { a.expire(ctx); return nil })
	g.Go(func() error { a.acquireFence(ctx); return nil })
	if a.cfg.Kind == target.KindService {
		g.Go(func() error { a.chargeTime(ctx); return nil })
	}
	return g.Wait()
}

// Ready returns nil when the agent can take work, or an error marked
// ErrNotReady that says why not.
func (a *Agent) Ready() error {
	var why string
	switch {
	case a.cfg.Store.Snapshot().Table == nil:
		why = "no workspace table is known"
	case a.fence.fault() != "":
		why = a.fence.fault()
	case a.sched.closedBy() != nil:
		why = "agent is draining"
	default:
		why = a.health.fault()
	}
	if why == "" {
		return nil
	}
	return errors.Mark(errors.New(why), ErrNotReady)
}

// ServeStream implements transport.Handler for offers and resumed answers.
func (a *Agent) ServeStream(ctx context.Context, peer transport.Peer, first wire.Message, s transport.Stream) {
	switch m := first.(type) {
	case *wire.Offer:
		a.serveOffer(ctx, m, s)
	case *wire.Resume:
		a.serveResume(ctx, m, s)
	default:
		a.log.Warn("stream began with an unexpected message", "type", first.Type(), "peer", peer.Member)
	}
}

// Report returns the sums of this agent since its start, for the fleet.
func (a *Agent) Report() wire.PoolSums {
	sums := a.sched.report(a.cfg.Pool)
	if a.Ready() != nil {
		sums.Free = 0
	}
	return sums
}

// ApplyDigest takes in the sums of a failure domain. Those of the own one
// contain what this agent reported; ledger and limits take that into account.
func (a *Agent) ApplyDigest(d *wire.Digest) {
	now := time.Now()
	var sums []wire.Sum
	for _, p := range d.Pools {
		if p.Pool == a.cfg.Pool {
			sums = p.Sums
		}
	}
	totals := make([]fairness.Total, 0, len(sums))
	for _, s := range sums {
		totals = append(totals, fairness.Total{
			Workspace: s.Workspace,
			Service:   s.Service,
			Running:   s.Running,
			Queued:    s.Queued,
		})
	}
	id := source.ID{Name: d.Domain, Incarnation: d.Incarnation}
	a.ledger.Apply(fairness.Update{Source: id, Sequence: d.Sequence, Full: d.Full, Totals: totals, At: now})
	a.limits.Merge(limit.ReportHeader{ID: id, Sequence: d.Sequence, Full: d.Full}, sums, now)
	a.sched.reconsider()
}

// expirePeriod is the time between two looks for sources that fell silent and
// for limits that have room again.
const expirePeriod = time.Second

// expire gives up the figures of silent sources until ctx ends.
func (a *Agent) expire(ctx context.Context) {
	ticker := time.NewTicker(expirePeriod)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			a.ledger.Expire(now)
			a.limits.Expire(now)
			a.sched.reconsider()
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
			a.metrics.service.Add(float64(a.sched.chargeTime(now)))
		case <-ctx.Done():
			return
		}
	}
}

// charge adds service that at produced.
func (a *Agent) charge(at *attempt, units int64) {
	if units <= 0 {
		return
	}
	at.account.Charge(units)
	a.metrics.service.Add(float64(units))
}
