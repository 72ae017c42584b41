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

// runReports sends this process's reports to its relays.
func (n *Node) runReports(ctx context.Context) {
	for clock.Sleep(ctx, n.periods.Report) {
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
		own.add(&wire.Report{
			Member:      n.cfg.Self.ID,
			Incarnation: n.cfg.Incarnation,
			Sequence:    n.reports,
			Confirmed:   confirmed,
			Pools:       diff(nil, sums),
		}, now)
	}
}

// reportTo sends l what changed since the last report, all of it now and then,
// or nothing. n.mu is held.
func (n *Node) reportTo(l *link, sums *poolSums, confirmed uint64, now time.Time) {
	last := &l.reported
	full := last.packer == nil || now.Sub(last.full) >= n.periods.FullReport
	if full {
		last.packer, last.full = newPacker(), now
	}
	packed := last.packer.pack(sums)
	if !full && len(packed) == 0 && confirmed == last.confirmed {
		return
	}
	last.confirmed = confirmed
	l.send(&wire.Report{Sequence: n.reports, Confirmed: confirmed, Full: full, Packed: packed})
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
	d.Pools, err = l.unpacker(d, m.Full).unpack(m.Packed)
	n.mu.Unlock()
	if err != nil {
		return err
	}
	n.cfg.Store.ApplyDigest(d)
	if l.kind != toRelay {
		wake(n.forward)
	}
	return nil
}

// unpacker returns the unpacker of the digests of d's origin, a new one before a
// full digest.
func (l *link) unpacker(d *wire.Digest, full bool) *unpacker {
	key := originKey{d.Domain, origin{d.Relay, d.Incarnation}}
	u := l.unpackers[key]
	if u == nil || full {
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

// handleConfig puts the configuration in force that a peer sent.
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
	if c.Table != nil {
		l.sent.table = max(l.sent.table, c.Table.Version)
	}
	wake(n.changed)
}
