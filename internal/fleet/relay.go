package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// handleReport adds a member's report to the tally of its failure domain.
func (n *Node) handleReport(l *link, r *wire.Report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r.Member, r.Incarnation = l.peer.ID, l.incarnation
	n.tally(l.peer.Domain).add(r, time.Now())
	l.confirmed, l.hasConfirmed = r.Confirmed, true
}

// tally returns the tally of domain. n.mu is held.
func (n *Node) tally(domain string) *tally {
	t := n.tallies[domain]
	if t == nil {
		t = newTally()
		n.tallies[domain] = t
	}
	return t
}

// runDigests adds up the reports and sends the sums on.
func (n *Node) runDigests(ctx context.Context) {
	for pause(ctx, n.periods.Digest) {
		if n.relaying() {
			n.sumUp(time.Now())
			n.sendDigests()
		}
	}
}

// sumUp puts the sums of the failure domains that this process adds up into
// the store.
func (n *Node) sumUp(now time.Time) {
	for _, d := range n.ownDigests(now) {
		n.cfg.Store.ApplyDigest(d)
	}
}

func (n *Node) ownDigests(now time.Time) []*wire.Digest {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tally(n.cfg.Self.Domain)
	var digests []*wire.Digest
	for domain, t := range n.tallies {
		t.forget(now.Add(-tallyMemory))
		if !n.activeFor(domain) {
			continue
		}
		sums := t.digest()
		pools := diff(n.applied[domain], sums)
		n.applied[domain] = sums
		if len(pools) > 0 {
			digests = append(digests, n.newDigest(domain, pools))
		}
	}
	return digests
}

// activeFor reports whether this process adds up the reports of domain: of its
// own when it is the active relay, of another when members of it report here.
// n.mu is held.
func (n *Node) activeFor(domain string) bool {
	return domain != n.cfg.Self.Domain || n.active(n.cfg.Store.Snapshot())
}

// newDigest returns a digest of what this process added up. n.mu is held.
func (n *Node) newDigest(domain string, pools []wire.PoolSums) *wire.Digest {
	n.digests++
	return &wire.Digest{
		Domain:      domain,
		Relay:       n.cfg.Self.ID,
		Incarnation: n.cfg.Incarnation,
		Sequence:    n.digests,
		Pools:       pools,
	}
}

// sendDigests sends members the sums of all failure domains, and relays of
// other domains those of this process's own and of those that report to it.
func (n *Node) sendDigests() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cfg.Store.eachOrigin(func(domain string, src *originSums) {
		for l := range n.links {
			if n.sends(l, domain) {
				n.sendDigest(l, domain, src)
			}
		}
	})
}

// sends reports whether l gets the digests of domain. n.mu is held.
func (n *Node) sends(l *link, domain string) bool {
	switch l.kind {
	case toMember:
		return !l.standby
	case toPeer, fromPeer:
		return domain == n.cfg.Self.Domain || n.tallies[domain] != nil
	default:
		return false
	}
}

// sendDigest sends l what it lacks of an origin's sums. n.mu is held.
func (n *Node) sendDigest(l *link, domain string, src *originSums) {
	key := originKey{domain, src.origin}
	p := l.packers[key]
	if p == nil {
		p = newPacker()
		l.packers[key] = p
	}
	packed := p.pack(src.sums)
	if len(packed) == 0 {
		return
	}
	d := &wire.Digest{Sequence: src.sequence, Packed: packed}
	if domain != n.cfg.Self.Domain {
		d.Domain = domain
	}
	if src.relay != n.cfg.Self.ID || src.incarnation != n.cfg.Incarnation {
		d.Relay, d.Incarnation = src.relay, src.incarnation
	}
	l.send(d)
}

// runConfigs sends the configuration to members when it changes.
func (n *Node) runConfigs(ctx context.Context) {
	changes := n.cfg.Store.Watch()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changes:
		case <-n.changed:
		}
		n.sendConfigs(time.Now())
	}
}

func (n *Node) sendConfigs(now time.Time) {
	snapshot := n.cfg.Store.Snapshot()
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if c := n.configFor(l, snapshot, now); c != nil {
			l.send(c)
		}
	}
}

// configFor returns what the peer of l lacks, or nil. A relay of another
// domain gets the configuration only while it cannot read the platform. n.mu
// is held.
func (n *Node) configFor(l *link, s *Snapshot, now time.Time) *wire.Config {
	sent := &l.sent
	stale := n.staleFor(l.kind)
	c := &wire.Config{Stale: stale}
	changed := stale != sent.stale
	sent.stale = stale
	switch l.kind {
	case toRelay:
		return nil
	case toPeer, fromPeer:
		if !l.stale {
			return orNil(c, changed)
		}
	}
	if s.Table != nil && s.Table.Version > sent.table {
		c.Table, sent.table, changed = s.Table, s.Table.Version, true
	}
	if s.vmsEpoch > sent.vms {
		c.VMs, c.Gone = changedVMs(sent.list, s.VMs)
		c.VMsAge, sent.list, sent.vms, changed = now.Sub(s.vmsRead), s.VMs, s.vmsEpoch, true
	}
	if s.suspectsEpoch > sent.suspects {
		c.Suspects, sent.suspects, changed = s.suspectList(now), s.suspectsEpoch, true
	}
	return orNil(c, changed)
}

// changedVMs returns the VMs of next that differ from before, and the IDs of
// those that it lacks, by ID.
func changedVMs(before, next map[string]target.VM) (changed []target.VM, gone []string) {
	for _, id := range slices.Sorted(maps.Keys(next)) {
		if old, listed := before[id]; !listed || old != next[id] {
			changed = append(changed, next[id])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if _, listed := next[id]; !listed {
			gone = append(gone, id)
		}
	}
	return changed, gone
}

// staleFor reports whether this process says to a peer that it cannot read the
// platform. To members it says so only when no relay of another domain reads
// it in its place. n.mu is held.
func (n *Node) staleFor(kind linkKind) bool {
	stale := n.isStale.Load()
	if kind != toMember {
		return stale
	}
	return stale && !n.upstream(toPeer, fromPeer)
}

// upstream reports whether the peer of a link of one of kinds reads the
// platform. n.mu is held.
func (n *Node) upstream(kinds ...linkKind) bool {
	for l := range n.links {
		if l.incarnation != 0 && !l.stale && slices.Contains(kinds, l.kind) {
			return true
		}
	}
	return false
}

func orNil(c *wire.Config, changed bool) *wire.Config {
	if !changed {
		return nil
	}
	return c
}
