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
func (n *Node) handleReport(l *link, r *wire.Report) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l.reports == nil || r.Full {
		l.reports = newUnpacker()
	}
	var err error
	if r.Pools, err = l.reports.unpack(r.Packed); err != nil {
		return err
	}
	r.Member, r.Incarnation = l.peer.ID, l.incarnation
	n.tally(l.peer.Domain).add(r, time.Now())
	l.confirmed, l.hasConfirmed = r.Confirmed, true
	return nil
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

// runDigests adds up the reports and sends members the sums.
func (n *Node) runDigests(ctx context.Context) {
	for pause(ctx, n.periods.Digest) {
		n.sumUp(time.Now())
		n.sendDigests(n.memberFans, toMember)
	}
}

// runPeerDigests adds up the reports and sends relays of other failure domains
// the sums.
func (n *Node) runPeerDigests(ctx context.Context) {
	for pause(ctx, n.periods.Peer) {
		n.sumUp(time.Now())
		n.sendDigests(n.peerFans, toPeer, fromPeer)
	}
}

// runForwards sends members the sums of other failure domains as they come.
func (n *Node) runForwards(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.forward:
			n.sendDigests(n.memberFans, toMember)
		}
	}
}

// sumUp puts the sums of the failure domains that this process adds up into
// the store.
func (n *Node) sumUp(now time.Time) {
	n.sumUpMu.Lock() // own digests reach the store in their order
	defer n.sumUpMu.Unlock()
	for _, d := range n.ownDigests(now) {
		n.cfg.Store.ApplyDigest(d)
	}
}

func (n *Node) ownDigests(now time.Time) []*wire.Digest {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.active(n.cfg.Store.Snapshot()) {
		n.tally(n.cfg.Self.Domain)
	}
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
func (n *Node) sendDigests(fans fans, kinds ...linkKind) {
	n.mu.Lock()
	defer n.mu.Unlock()
	links := n.linksOf(kinds...)
	if len(links) == 0 {
		return
	}
	old := maps.Clone(fans)
	clear(fans)
	n.cfg.Store.eachOrigin(func(domain string, src *originSums) {
		key := originKey{domain, src.origin}
		f := old[key]
		if f == nil {
			f = &fan{packer: newPacker()}
		}
		fans[key] = f
		f.advance(src)
		for _, l := range links {
			if n.sends(l, domain) {
				n.sendDigest(l, key, f)
			}
		}
	})
}

// linksOf returns the links of the given kinds. n.mu is held.
func (n *Node) linksOf(kinds ...linkKind) []*link {
	var links []*link
	for l := range n.links {
		if slices.Contains(kinds, l.kind) {
			links = append(links, l)
		}
	}
	return links
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

// sendDigest sends l what it lacks of the sums of f. n.mu is held.
func (n *Node) sendDigest(l *link, key originKey, f *fan) {
	had := l.joined[key]
	l.joined[key] = f.step
	if had == f.step {
		return
	}
	d := &wire.Digest{Sequence: f.sequence, Packed: f.packed}
	if had != f.step-1 || had == 0 {
		d.Full, d.Packed = true, f.packer.full()
	}
	if key.domain != n.cfg.Self.Domain {
		d.Domain = key.domain
	}
	if key.relay != n.cfg.Self.ID || key.incarnation != n.cfg.Incarnation {
		d.Relay, d.Incarnation = key.relay, key.incarnation
	}
	l.send(d)
}

// fans are the fans of all origins for links of the same kind.
type fans map[originKey]*fan

// fan packs the sums of one origin once for all links.
type fan struct {
	packer   *packer
	sequence uint64 // of the sums that were packed last
	step     uint64 // grows with each change that was packed
	packed   []byte // the last change
}

// advance packs what has changed.
func (f *fan) advance(src *originSums) {
	if src.sequence != 0 && src.sequence == f.sequence {
		return
	}
	f.sequence = src.sequence
	if packed := f.packer.pack(src.sums); len(packed) > 0 {
		f.packed = packed
		f.step++
	}
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

// configFor returns what the peer of l lacks, or nil. A relay, its own or of
// another domain, gets the configuration only while it cannot read the
// platform. n.mu is held.
func (n *Node) configFor(l *link, s *Snapshot, now time.Time) *wire.Config {
	sent := &l.sent
	stale := n.staleFor(l.kind)
	c := &wire.Config{Stale: stale}
	changed := stale != sent.stale
	sent.stale = stale
	if l.kind != toMember && !l.stale {
		return orNil(c, changed)
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
// it in its place. Members read it for no one. n.mu is held.
func (n *Node) staleFor(kind linkKind) bool {
	stale := n.isStale.Load()
	switch kind {
	case toRelay:
		return false
	case toMember:
		return stale && !n.upstream(toPeer, fromPeer)
	default:
		return stale
	}
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
