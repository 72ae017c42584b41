package fleet

import (
	"maps"
	"slices"

	"github.com/mastichollow/mastichollow/internal/wire"
)

// sendDigests sends members the sums of all failure domains, and relays of
// other domains those of this process's own and of those that report to it.
func (n *Node) sendDigests(fans fans, kinds ...linkKind) {
	n.mu.Lock()
	defer n.mu.Unlock()
	byPool := n.linksOf(kinds...)
	if len(byPool) == 0 {
		return
	}
	old := maps.Clone(fans)
	clear(fans)
	n.cfg.Store.eachOrigin(func(domain string, src *originSums) {
		for pool, links := range byPool {
			key := fanKey{originKey{domain, src.origin}, pool}
			f := old.advance(key, src)
			fans[key] = f
			for _, l := range links {
				if n.sends(l, domain) {
					n.sendDigest(l, key, f)
				}
			}
		}
	})
}

// linksOf returns the links of the given kinds by the pool whose sums they get.
// n.mu is held.
func (n *Node) linksOf(kinds ...linkKind) map[string][]*link {
	links := make(map[string][]*link)
	for l := range n.links {
		if slices.Contains(kinds, l.kind) {
			links[l.pool] = append(links[l.pool], l)
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
func (n *Node) sendDigest(l *link, key fanKey, f *fan) {
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
type fans map[fanKey]*fan

// advance returns the fan of key with what has changed at src packed.
func (fs fans) advance(key fanKey, src *originSums) *fan {
	f := fs[key]
	if f == nil {
		f = &fan{packer: newPacker()}
	}
	f.advance(src, key.pool)
	return f
}

// fan packs the sums of one origin once for all links.
type fan struct {
	packer   *packer
	sequence uint64 // of the sums that were packed last
	step     uint64 // grows with each change that was packed
	packed   []byte // the last change
}

// advance packs what has changed in pool, or in all when it is empty.
func (f *fan) advance(src *originSums, pool string) {
	if src.sequence != 0 && src.sequence == f.sequence {
		return
	}
	f.sequence = src.sequence
	if packed := f.packer.pack(src.sums.of(pool)); len(packed) > 0 {
		f.packed = packed
		f.step++
	}
}
