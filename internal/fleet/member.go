package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// runReports sends this process's reports to its relays, every ReportInterval.
func (n *Node) runReports(ctx context.Context) {
	for clock.Sleep(ctx, n.timings.ReportInterval) {
		n.sendReports(time.Now())
	}
}

// sendReports sends a report to each relay for which something has changed.
// When this process aggregates its failure domain, it also adds the report to
// the local aggregator.
func (n *Node) sendReports(now time.Time) {
	totals := newPoolTotals()
	if n.cfg.Report != nil {
		totals.set(n.cfg.Report())
	}
	version := n.tableVersion()
	n.mu.Lock()
	defer n.mu.Unlock()
	localAggregator := n.aggregators[n.cfg.Self.Domain]
	if localAggregator == nil && !n.hasUpstream(linkToRelay) {
		return // a relay counts all totals of the report of sequence 1 as growth, so that report must reach one
	}
	n.reportSequence++
	for l := range n.links {
		if l.kind == linkToRelay && l.incarnation != 0 {
			n.sendReportTo(l, totals, version, now)
		}
	}
	if localAggregator != nil {
		localAggregator.add(&wire.Report{
			Member:       n.cfg.Self.ID,
			Incarnation:  n.cfg.Incarnation,
			Sequence:     n.reportSequence,
			TableVersion: version,
			Pools:        changedPools(nil, totals),
		}, now)
	}
}

// sendReportTo sends to l what changed since the last report on that link, or
// nothing if nothing did. Every FullReportInterval it sends all totals. n.mu is
// held.
func (n *Node) sendReportTo(l *link, totals *poolTotals, tableVersion uint64, now time.Time) {
	state := &l.lastReport
	full := state.packer == nil || now.Sub(state.fullSentAt) >= n.timings.FullReportInterval
	if full {
		state.packer, state.fullSentAt = newPacker(), now
	}
	packed := state.packer.pack(totals)
	if !full && len(packed) == 0 && tableVersion == state.confirmedVersion {
		return
	}
	state.confirmedVersion = tableVersion
	l.enqueue(&wire.Report{Sequence: n.reportSequence, TableVersion: tableVersion, Full: full, Packed: packed})
}

// handleDigest stores the totals of a failure domain that a relay sent and,
// when they come from a relay of another domain, schedules forwarding to the
// members. It returns an error that wraps ErrMalformed when the digest cannot
// be unpacked.
func (n *Node) handleDigest(l *link, m *wire.Digest) error {
	n.mu.Lock()
	d := &wire.Digest{Domain: m.Domain, Relay: m.Relay, Incarnation: m.Incarnation, Sequence: m.Sequence}
	if d.Domain == "" {
		d.Domain = l.peer.Domain
	}
	if d.Relay == "" {
		d.Relay, d.Incarnation = l.peer.ID, l.incarnation
	}
	var err error
	d.Pools, err = l.unpackerFor(d, m.Full).unpack(m.Packed)
	n.mu.Unlock()
	if err != nil {
		return err
	}
	n.cfg.Store.ApplyDigest(d)
	if l.kind != linkToRelay {
		notify(n.forwardSignal)
	}
	return nil
}

// unpackerFor returns the unpacker for digests of the origin of d. A full
// digest starts with a new unpacker.
func (l *link) unpackerFor(d *wire.Digest, full bool) *unpacker {
	key := domainOrigin{d.Domain, origin{d.Relay, d.Incarnation}}
	u := l.digestUnpackers[key]
	if u == nil || full {
		u = newUnpacker()
		l.digestUnpackers[key] = u
	}
	return u
}

// applyVMChanges applies the changes in c to the VM list received on l and
// returns the full list. Only the link's reader goroutine calls it.
func (l *link) applyVMChanges(c *wire.Config) []target.VM {
	if l.peerVMs == nil {
		l.peerVMs = make(map[string]target.VM)
	}
	for _, vm := range c.VMs {
		l.peerVMs[vm.ID] = vm
	}
	for _, id := range c.RemovedVMs {
		delete(l.peerVMs, id)
	}
	return slices.Collect(maps.Values(l.peerVMs))
}

// handleConfig applies the configuration that a peer sent. The ages in the
// message are converted to read times by the local clock.
func (n *Node) handleConfig(l *link, c *wire.Config) {
	now := time.Now()
	if c.Table != nil {
		n.cfg.Store.ApplyTable(c.Table)
	}
	if len(c.VMs)+len(c.RemovedVMs) > 0 {
		n.cfg.Store.ApplyVMsAt(l.applyVMChanges(c), now.Add(-c.VMsAge))
	}
	if c.Suspects != nil {
		n.cfg.Store.ApplySuspects(c.Suspects.Suspects, now.Add(-c.Suspects.Age))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l.peerStale = c.Stale
	if c.Table != nil {
		l.sent.tableVersion = max(l.sent.tableVersion, c.Table.Version)
	}
	notify(n.configSignal)
}
