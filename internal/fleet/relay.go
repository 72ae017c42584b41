package fleet

import (
	"context"
	"time"

	"github.com/mastichollow/mastichollow/internal/clock"
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
	for clock.Sleep(ctx, n.periods.Digest) {
		n.sumUp(time.Now())
		n.sendDigests(n.memberFans, toMember)
	}
}

// runPeerDigests adds up the reports and sends relays of other failure domains
// the sums.
func (n *Node) runPeerDigests(ctx context.Context) {
	for clock.Sleep(ctx, n.periods.Peer) {
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
