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
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
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
	remote   *remote
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
	ledger := fairness.NewLedger()
	a := &Agent{
		cfg:      cfg,
		log:      cfg.Logger,
		metrics:  newMetrics(cfg.Registerer),
		ledger:   ledger,
		sched:    newScheduler(ledger, cfg.Slots, cfg.Slots-cfg.InteractiveSlots),
		remote:   newRemote(cfg.Pool, cfg.Domain, ledger),
		holds:    newHolds(),
		attempts: newAttempts(cfg.Limits.Keep, cfg.Limits.KeepBytes),
		suspects: newSuspects(cfg.Store),
		fence:    new(fence),
		health:   new(health),
		table:    newTableIndex(cfg.Store, ledger),
	}
	a.base, a.cancel = context.WithCancel(context.Background())
	a.sched.mayRun = a.mayRun
	a.sched.isSuspect = a.suspects.has
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
	service := make(map[workspace.RowID]uint64)
	for _, t := range a.ledger.Own() {
		service[t.Workspace] = t.Service
	}
	sums := a.sched.load().sums(a.cfg.Pool, service)
	if a.Ready() != nil {
		sums.Free = 0
	}
	a.remote.noteReport(sums.Sums)
	return sums
}

// ApplyDigest takes in the sums of a failure domain.
func (a *Agent) ApplyDigest(d *wire.Digest) {
	a.remote.apply(d, time.Now())
	a.sched.reconsider()
}

// mayRun reports whether the concurrency limit of ws over the fleet allows one
// more than here running requests. scheduler.mu is held.
func (a *Agent) mayRun(ws workspace.RowID, here int) bool {
	row := a.table.row(ws)
	if row == nil {
		return true // removed since; what was admitted is served
	}
	return row.Concurrency == 0 || a.remote.running(ws)+here < row.Concurrency
}

// chargeTime charges the slot time of running requests until ctx ends.
func (a *Agent) chargeTime(ctx context.Context) {
	ticker := time.NewTicker(a.cfg.Limits.ChargeInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			for ws, ms := range a.sched.chargeable(now) {
				a.charge(ws, ms)
			}
		case <-ctx.Done():
			return
		}
	}
}

// charge adds service to ws.
func (a *Agent) charge(ws workspace.RowID, units int64) {
	if units <= 0 {
		return
	}
	a.ledger.Charge(ws, units)
	a.metrics.service.Add(float64(units))
}
