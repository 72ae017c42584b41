package fleet

import (
	"context"
	"time"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// handleReport adds a member's report to the totals of its failure domain and
// records the table version that the member has confirmed. It returns an error
// that wraps ErrMalformed when the report cannot be unpacked.
func (n *Node) handleReport(l *link, r *wire.Report) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l.reportUnpacker == nil || r.Full {
		l.reportUnpacker = newUnpacker()
	}
	var err error
	if r.Pools, err = l.reportUnpacker.unpack(r.Packed); err != nil {
		return err
	}
	r.Member, r.Incarnation = l.peer.ID, l.incarnation
	n.aggregatorFor(l.peer.Domain).add(r, time.Now())
	l.confirmedVersion, l.hasConfirmed = r.TableVersion, true
	return nil
}

// aggregatorFor returns the aggregator of domain and creates it if there is
// none. n.mu is held.
func (n *Node) aggregatorFor(domain string) *aggregator {
	agg := n.aggregators[domain]
	if agg == nil {
		agg = newAggregator()
		n.aggregators[domain] = agg
	}
	return agg
}

// runMemberDigests aggregates the reports and sends the digests to the members,
// every DigestInterval.
func (n *Node) runMemberDigests(ctx context.Context) {
	for clock.Sleep(ctx, n.timings.DigestInterval) {
		n.applyLocalDigests(time.Now())
		n.sendDigests(n.memberFanouts, linkToMember)
	}
}

// runPeerDigests aggregates the reports and sends the digests to relays of
// other failure domains, every PeerDigestInterval.
func (n *Node) runPeerDigests(ctx context.Context) {
	for clock.Sleep(ctx, n.timings.PeerDigestInterval) {
		n.applyLocalDigests(time.Now())
		n.sendDigests(n.peerFanouts, linkToPeer, linkFromPeer)
	}
}

// runDigestForwarding sends digests of other failure domains to the members as
// soon as they arrive.
func (n *Node) runDigestForwarding(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.forwardSignal:
			n.sendDigests(n.memberFanouts, linkToMember)
		}
	}
}

// applyLocalDigests stores the digests of the failure domains whose reports
// this process aggregates.
func (n *Node) applyLocalDigests(now time.Time) {
	n.localDigestMu.Lock() // local digests must reach the store in sequence order
	defer n.localDigestMu.Unlock()
	for _, d := range n.localDigests(now) {
		n.cfg.Store.ApplyDigest(d)
	}
}

// localDigests returns a digest for each failure domain that this process
// aggregates and whose totals have changed since the last call. It drops
// members that have been absent for memberRetention.
func (n *Node) localDigests(now time.Time) []*wire.Digest {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isActiveRelay(n.cfg.Store.Snapshot()) {
		n.aggregatorFor(n.cfg.Self.Domain)
	}
	var digests []*wire.Digest
	for domain, agg := range n.aggregators {
		agg.expireMembers(now.Add(-memberRetention))
		if !n.aggregatesDomain(domain) {
			continue
		}
		totals := agg.currentTotals()
		pools := changedPools(n.appliedTotals[domain], totals)
		n.appliedTotals[domain] = totals
		if len(pools) > 0 {
			digests = append(digests, n.newDigest(domain, pools))
		}
	}
	return digests
}

// aggregatesDomain reports whether this process aggregates the reports of
// domain: those of its local domain when it is the active relay, those of
// another domain when members of it report here. n.mu is held.
func (n *Node) aggregatesDomain(domain string) bool {
	return domain != n.cfg.Self.Domain || n.isActiveRelay(n.cfg.Store.Snapshot())
}

// newDigest returns a digest of domain with this process as its origin. n.mu is
// held.
func (n *Node) newDigest(domain string, pools []wire.PoolTotals) *wire.Digest {
	n.digestSequence++
	return &wire.Digest{
		Domain:      domain,
		Relay:       n.cfg.Self.ID,
		Incarnation: n.cfg.Incarnation,
		Sequence:    n.digestSequence,
		Pools:       pools,
	}
}
