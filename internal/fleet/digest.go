package fleet

import (
	"maps"
	"slices"

	"github.com/mastichollow/mastichollow/internal/wire"
)

// sendDigests sends pending totals on all links of the given kinds. Members get
// those of all failure domains. Relays of other domains get only those of the
// local domain and of domains whose members report to this process.
func (n *Node) sendDigests(fanouts digestFanouts, kinds ...linkKind) {
	n.mu.Lock()
	defer n.mu.Unlock()
	linksByPool := n.linksByPool(kinds...)
	if len(linksByPool) == 0 {
		return
	}
	previous := maps.Clone(fanouts)
	clear(fanouts)
	n.cfg.Store.eachOrigin(func(domain string, src *originTotals) {
		for pool, links := range linksByPool {
			key := fanoutKey{domainOrigin{domain, src.origin}, pool}
			fanout := previous.updateFanout(key, src)
			fanouts[key] = fanout
			for _, l := range links {
				if n.receivesDigests(l, domain) {
					n.sendDigest(l, key, fanout)
				}
			}
		}
	})
}

// linksByPool returns the links of the given kinds, grouped by the pool that
// they are restricted to (empty: all pools). n.mu is held.
func (n *Node) linksByPool(kinds ...linkKind) map[string][]*link {
	links := make(map[string][]*link)
	for l := range n.links {
		if slices.Contains(kinds, l.kind) {
			links[l.poolFilter] = append(links[l.poolFilter], l)
		}
	}
	return links
}

// receivesDigests reports whether the peer of l is sent the digests of domain.
// n.mu is held.
func (n *Node) receivesDigests(l *link, domain string) bool {
	switch l.kind {
	case linkToMember:
		return !l.standby
	case linkToPeer, linkFromPeer:
		return domain == n.cfg.Self.Domain || n.aggregators[domain] != nil
	default:
		return false
	}
}

// sendDigest sends to l the latest change of fanout, or all its totals when l
// lacks an earlier change. n.mu is held.
func (n *Node) sendDigest(l *link, key fanoutKey, fanout *digestFanout) {
	sentRevision := l.sentRevisions[key]
	l.sentRevisions[key] = fanout.revision
	if sentRevision == fanout.revision {
		return
	}
	d := &wire.Digest{Sequence: fanout.sequence, Packed: fanout.packed}
	if sentRevision != fanout.revision-1 || sentRevision == 0 {
		d.Full, d.Packed = true, fanout.packer.packAll()
	}
	if key.domain != n.cfg.Self.Domain {
		d.Domain = key.domain
	}
	if key.relay != n.cfg.Self.ID || key.incarnation != n.cfg.Incarnation {
		d.Relay, d.Incarnation = key.relay, key.incarnation
	}
	l.enqueue(d)
}

// digestFanouts holds the fanouts of all origins for links of the same kind.
type digestFanouts map[fanoutKey]*digestFanout

// updateFanout returns the fanout of key, with the changes of src packed.
func (fs digestFanouts) updateFanout(key fanoutKey, src *originTotals) *digestFanout {
	fanout := fs[key]
	if fanout == nil {
		fanout = &digestFanout{packer: newPacker()}
	}
	fanout.update(src, key.pool)
	return fanout
}

// digestFanout packs the changes of one origin once and shares the result
// between all links.
type digestFanout struct {
	packer   *packer
	sequence uint64 // of the origin's digest that was packed last
	revision uint64 // number of changes packed
	packed   []byte // the change of the latest revision
}

// update packs the changes of src in pool, or in all pools when pool is empty.
func (f *digestFanout) update(src *originTotals, pool string) {
	if src.sequence != 0 && src.sequence == f.sequence {
		return
	}
	f.sequence = src.sequence
	if packed := f.packer.pack(src.totals.forPool(pool)); len(packed) > 0 {
		f.packed = packed
		f.revision++
	}
}
