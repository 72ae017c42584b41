package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// runReports sends this process's reports to its relays.
func (n *Node) runReports(ctx context.Context) {
	for pause(ctx, n.periods.Report) {
		n.report(time.Now())
	}
}

// report sends a report to each relay that lacks something, and adds it to
// this process's own tally when it relays.
func (n *Node) report(now time.Time) {
	sums := newPoolSums()
	if n.cfg.Report != nil {
		sums.set(n.cfg.Report())
	}
	confirmed := n.version()
	n.mu.Lock()
	defer n.mu.Unlock()
	own := n.tallies[n.cfg.Self.Domain]
	if own == nil && !n.upstream(toRelay) {
		return // the first report counts in full, so it must have a reader
	}
	n.reports++
	for l := range n.links {
		if l.kind == toRelay && l.incarnation != 0 {
			n.reportTo(l, sums, confirmed, now)
		}
	}
	if own != nil {
		own.add(n.newReport(confirmed, diff(nil, sums)), now)
	}
}

// reportTo sends l what changed since the last report, all of it now and then,
// or nothing. n.mu is held.
func (n *Node) reportTo(l *link, sums *poolSums, confirmed uint64, now time.Time) {
	last := &l.reported
	var before *poolSums
	if now.Sub(last.full) < n.periods.FullReport {
		before = last.sums
	}
	pools := diff(before, sums)
	if before != nil && len(pools) == 0 && confirmed == last.confirmed {
		return
	}
	if before == nil {
		last.full = now
	}
	last.sums, last.confirmed = sums, confirmed
	r := n.newReport(confirmed, pools)
	r.Full = before == nil
	l.send(r)
}

// newReport returns a report of this process. n.mu is held.
func (n *Node) newReport(confirmed uint64, pools []wire.PoolSums) *wire.Report {
	return &wire.Report{
		Member:      n.cfg.Self.ID,
		Incarnation: n.cfg.Incarnation,
		Sequence:    n.reports,
		Confirmed:   confirmed,
		Pools:       pools,
	}
}

// handleDigest records the sums of a failure domain.
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
	d.Pools, err = l.unpacker(d).unpack(m.Packed)
	n.mu.Unlock()
	if err != nil {
		return err
	}
	n.cfg.Store.ApplyDigest(d)
	return nil
}

// unpacker returns the unpacker of the digests of d's origin.
func (l *link) unpacker(d *wire.Digest) *unpacker {
	key := originKey{d.Domain, origin{d.Relay, d.Incarnation}}
	u := l.unpackers[key]
	if u == nil {
		u = newUnpacker()
		l.unpackers[key] = u
	}
	return u
}

// listVMs returns the whole VM list after the changes in c. It is called by the
// link's reader alone.
func (l *link) listVMs(c *wire.Config) []target.VM {
	if l.vms == nil {
		l.vms = make(map[string]target.VM)
	}
	for _, vm := range c.VMs {
		l.vms[vm.ID] = vm
	}
	for _, id := range c.Gone {
		delete(l.vms, id)
	}
	return slices.Collect(maps.Values(l.vms))
}

// handleConfig puts the configuration in force that a relay sent.
func (n *Node) handleConfig(l *link, c *wire.Config) {
	now := time.Now()
	if c.Table != nil {
		n.cfg.Store.ApplyTable(c.Table)
	}
	if len(c.VMs)+len(c.Gone) > 0 {
		n.cfg.Store.ApplyVMsAt(l.listVMs(c), now.Add(-c.VMsAge))
	}
	if c.Suspects != nil {
		n.cfg.Store.ApplySuspects(c.Suspects.Suspects, now.Add(-c.Suspects.Age))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l.stale = c.Stale
	n.wake()
}
