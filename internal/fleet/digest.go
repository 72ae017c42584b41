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
