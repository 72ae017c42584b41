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

// maxStartJitter bounds the random delay before the first read, so that
// processes that start together do not read the platform at the same time.
const maxStartJitter = 200 * time.Millisecond

// poller reads the table, the suspects and the VM list from the platform into
// the store.
type poller struct {
	cfg     NodeConfig
	timings Timings
	metrics *metrics
	log     hclog.Logger
	// tableReadAt and vmsReadAt are the start times of the last successful
	// reads of the table and of the VM list, in Unix nanoseconds; 0 before the
	// first read.
	tableReadAt atomic.Int64
	vmsReadAt   atomic.Int64
}

func newPoller(cfg NodeConfig, timings Timings, m *metrics, log hclog.Logger) *poller {
	return &poller{cfg: cfg, timings: timings, metrics: m, log: log}
}

// stale reports whether the last read of the table or of the VM list, whichever
// is older, is more than Timings.StaleAfter ago.
func (p *poller) stale(now time.Time) bool {
	oldest := min(p.tableReadAt.Load(), p.vmsReadAt.Load())
	return now.UnixNano()-oldest > int64(p.timings.StaleAfter)
}

// poll reads the table, the suspects and the VM list concurrently, within one
// CallTimeout.
func (p *poller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.timings.CallTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { p.countPoll("table", p.pollTable(ctx)) })
	wg.Go(func() { p.countPoll("vms", p.pollVMs(ctx)) })
	if p.cfg.Suspect != nil {
		wg.Go(func() { p.countPoll("suspects", p.pollSuspects(ctx)) })
	}
	wg.Wait()
}

// countPoll counts one read of source by its result and logs an error.
func (p *poller) countPoll(source string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
		p.log.Debug("failed to read from the platform", "what", source, "error", err)
	}
	p.metrics.polls.WithLabelValues(source, result).Inc()
}

// pollTable reads the table if its version in the table service has changed.
func (p *poller) pollTable(ctx context.Context) error {
	started := time.Now()
	newer, err := p.hasNewerTable(ctx)
	if err != nil {
		return err
	}
	if newer {
		if err := p.readTable(ctx); err != nil {
			return err
		}
	}
	p.tableReadAt.Store(started.UnixNano())
	return nil
}

// hasNewerTable reports whether the table service may have a newer table than
// the store. It returns true when the version item does not exist, so that a
// table written without it is read on each poll.
func (p *poller) hasNewerTable(ctx context.Context) (bool, error) {
	item, err := p.cfg.Table.Get(ctx, platform.KeyTableVersion)
	if errors.Is(err, platform.ErrNotFound) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	cached := p.cfg.Store.Snapshot().Table
	return cached == nil || item.Version > cached.Version, nil
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
	p.vmsReadAt.Store(started.UnixNano())
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
		suspect, err := p.cfg.Suspect(item)
		if err != nil {
			p.log.Warn("ignored a suspect item that cannot be decoded", "key", item.Key, "error", err)
			continue
		}
		list = append(list, suspect)
	}
	p.cfg.Store.ApplySuspects(list, started)
	return nil
}

// runPolls reads the platform once at the start, then every PollInterval while
// this process acts as a relay, and about every DirectPollInterval while it is
// a member whose relays cannot read the platform.
func (n *Node) runPolls(ctx context.Context) {
	if !clock.Sleep(ctx, rand.N(maxStartJitter)) {
		return
	}
	for {
		n.poller.poll(ctx)
		n.updateStaleness()
		if !n.awaitNextPoll(ctx) {
			return
		}
	}
}

// awaitNextPoll waits until the next read of the platform is due. It returns
// false when ctx has ended.
func (n *Node) awaitNextPoll(ctx context.Context) bool {
	lastPoll := time.Now()
	directInterval := n.timings.DirectPollInterval/2 + rand.N(n.timings.DirectPollInterval)
	for {
		if !clock.Sleep(ctx, n.timings.PollInterval) {
			return false
		}
		if n.actsAsRelay() {
			return true
		}
		if !n.servedByRelay() && time.Since(lastPoll) >= directInterval {
			return true
		}
		n.updateStaleness()
	}
}

// actsAsRelay reports whether this process is one of the relays of its failure
// domain by the local VM list, or has connected members, whose VM lists may
// differ from the local one.
func (n *Node) actsAsRelay() bool {
	self := n.cfg.Self
	if rankOf(n.cfg.Store.Snapshot().Relays(self.Domain, self.Region), self.ID) < relaysPerDomain {
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.kind == linkToMember {
			return true
		}
	}
	return false
}

// servedByRelay reports whether this process has a link to a relay that can
// read the platform.
func (n *Node) servedByRelay() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hasUpstream(linkToRelay, linkToPeer, linkFromPeer)
}

// updateStaleness recomputes whether the platform is stale, notifies the peers
// of a change, and updates the metrics of the table version and of staleness.
func (n *Node) updateStaleness() {
	stale := n.poller.stale(time.Now())
	if n.platformStale.Swap(stale) != stale {
		notify(n.configSignal)
	}
	n.metrics.tableVersion.Set(float64(n.tableVersion()))
	value := 0.0
	if stale && !n.servedByRelay() {
		value = 1
	}
	n.metrics.configStale.Set(value)
}

// jitter returns a random duration in [d/2, 3d/2).
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
