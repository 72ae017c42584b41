package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// startJitter spreads the first reads of processes that start together.
const startJitter = 200 * time.Millisecond

// poller reads the platform into the store.
type poller struct {
	cfg     NodeConfig
	periods Periods
	metrics *metrics
	log     hclog.Logger
	// read is when the table and the VM list were last read, in Unix
	// nanoseconds; whichever is older.
	tableRead atomic.Int64
	vmsRead   atomic.Int64
}

func newPoller(cfg NodeConfig, periods Periods, m *metrics, log hclog.Logger) *poller {
	return &poller{cfg: cfg, periods: periods, metrics: m, log: log}
}

// stale reports whether the platform has not been read for too long.
func (p *poller) stale(now time.Time) bool {
	oldest := min(p.tableRead.Load(), p.vmsRead.Load())
	return now.UnixNano()-oldest > int64(p.periods.Stale)
}

// poll reads the table, the suspects and the VM list side by side.
func (p *poller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.periods.Call)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { p.count("table", p.pollTable(ctx)) })
	wg.Go(func() { p.count("vms", p.pollVMs(ctx)) })
	if p.cfg.Suspect != nil {
		wg.Go(func() { p.count("suspects", p.pollSuspects(ctx)) })
	}
	wg.Wait()
}

func (p *poller) count(what string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
		p.log.Debug("cannot read the platform", "what", what, "error", err)
	}
	p.metrics.polls.WithLabelValues(what, result).Inc()
}

// pollTable reads the table if its version has changed.
func (p *poller) pollTable(ctx context.Context) error {
	started := time.Now()
	newer, err := p.newerTable(ctx)
	if err != nil {
		return err
	}
	if newer {
		if err := p.readTable(ctx); err != nil {
			return err
		}
	}
	p.tableRead.Store(started.UnixNano())
	return nil
}

// newerTable reports whether the table service may hold a newer table than the
// store. A table that was written without its version item is always read.
func (p *poller) newerTable(ctx context.Context) (bool, error) {
	item, err := p.cfg.Table.Get(ctx, platform.KeyTableVersion)
	if errors.Is(err, platform.ErrNotFound) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	held := p.cfg.Store.Snapshot().Table
	return held == nil || item.Version > held.Version, nil
}

func (p *poller) readTable(ctx context.Context) error {
	item, err := p.cfg.Table.Get(ctx, platform.KeyTable)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	table, err := workspace.Decode(item.Value, item.Version)
	if err != nil {
		return err
	}
	p.cfg.Store.ApplyTable(table)
	return nil
}

func (p *poller) pollVMs(ctx context.Context) error {
	started := time.Now()
	list, err := p.cfg.VMs.List(ctx)
	if err != nil {
		return err
	}
	p.cfg.Store.ApplyVMsAt(list, started)
	p.vmsRead.Store(started.UnixNano())
	return nil
}

func (p *poller) pollSuspects(ctx context.Context) error {
	started := time.Now()
	items, err := p.cfg.Table.List(ctx, platform.PrefixSuspect)
	if err != nil {
		return err
	}
	list := make([]wire.Suspect, 0, len(items))
	for _, item := range items {
		s, err := p.cfg.Suspect(item)
		if err != nil {
			p.log.Warn("skipped a suspect", "key", item.Key, "error", err)
			continue
		}
		list = append(list, s)
	}
	p.cfg.Store.ApplySuspects(list, started)
	return nil
}

// runPolls reads the platform: at the start; each Poll at a relay; now and
// then at a member whose relays cannot.
func (n *Node) runPolls(ctx context.Context) {
	if !clock.Sleep(ctx, rand.N(startJitter)) {
		return
	}
	for {
		n.poller.poll(ctx)
		n.noteStale()
		if !n.awaitPoll(ctx) {
			return
		}
	}
}

// awaitPoll returns when the platform is to be read, or false when ctx has
// ended.
func (n *Node) awaitPoll(ctx context.Context) bool {
	last := time.Now()
	direct := n.periods.Direct/2 + rand.N(n.periods.Direct)
	for {
		if !clock.Sleep(ctx, n.periods.Poll) {
			return false
		}
		if n.relaying() {
			return true
		}
		if !n.served() && time.Since(last) >= direct {
			return true
		}
		n.noteStale()
	}
}

// relaying reports whether this process is a relay by its own view, or by that
// of the members that came to it.
func (n *Node) relaying() bool {
	self := n.cfg.Self
	if rankOf(n.cfg.Store.Snapshot().Relays(self.Domain, self.Region), self.ID) < relaysPerDomain {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.kind == toMember {
			return true
		}
	}
	return false
}

// served reports whether a relay that can read the platform serves this
// process.
func (n *Node) served() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.upstream(toRelay, toPeer, fromPeer)
}

// noteStale publishes whether the configuration may be out of date.
func (n *Node) noteStale() {
	stale := n.poller.stale(time.Now())
	if n.isStale.Swap(stale) != stale {
		wake(n.changed)
	}
	n.metrics.version.Set(float64(n.version()))
	value := 0.0
	if stale && !n.served() {
		value = 1
	}
	n.metrics.stale.Set(value)
}

// jitter returns a time between half of d and one and a half of it.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
