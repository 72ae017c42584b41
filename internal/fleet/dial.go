package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/target"
)

// dialCheckInterval is the longest time between two checks of which links are
// wanted.
const dialCheckInterval = 500 * time.Millisecond

// dialState is the state of a link that this process opens.
type dialState struct {
	kind    linkKind
	active  bool      // being dialled or up
	retryAt time.Time // no dial before this time
	cancel  context.CancelFunc
}

// wantedLink is a link that this process should have open.
type wantedLink struct {
	kind linkKind
	vm   target.VM
}

// key returns the key of the link in Node.dialStates.
func (w wantedLink) key() string { return w.kind.String() + " " + w.vm.ID }

// runDials keeps open the links to the relays of the local failure domain and,
// at an active relay, to relays of other failure domains.
func (n *Node) runDials(ctx context.Context) {
	changes := n.cfg.Store.Watch()
	ticker := time.NewTicker(dialCheckInterval)
	defer ticker.Stop()
	for {
		n.dialWanted(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changes:
		case <-ticker.C:
		}
	}
}

// dialWanted dials the wanted links that are not active and closes links that
// are no longer wanted. The latter stay open until all wanted links of their
// kind are up.
func (n *Node) dialWanted(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	wanted := append(n.wantedRelayLinks(now), n.wantedPeerLinks(now)...)
	wantedKeys := make(map[string]bool, len(wanted))
	for _, w := range wanted {
		wantedKeys[w.key()] = true
		if !n.dialStates[w.key()].active {
			n.startDial(ctx, w)
		}
	}
	for key, state := range n.dialStates {
		if state.active && !wantedKeys[key] && n.allConnected(state.kind, wanted) {
			state.cancel()
		}
	}
	n.selectDigestSource()
}

// allConnected reports whether every wanted link of kind is up. n.mu is held.
func (n *Node) allConnected(kind linkKind, wanted []wantedLink) bool {
	connected := make(map[string]bool)
	for l := range n.links {
		if l.kind == kind && l.incarnation != 0 {
			connected[l.peer.ID] = true
		}
	}
	for _, w := range wanted {
		if w.kind == kind && !connected[w.vm.ID] {
			return false
		}
	}
	return true
}

// wantedRelayLinks returns the wanted links to the relays of the local failure
// domain, or to the seeds while the VM list is empty. A process that is itself
// one of the relays needs one link fewer. n.mu is held.
func (n *Node) wantedRelayLinks(now time.Time) []wantedLink {
	if len(n.cfg.Store.Snapshot().VMs) == 0 {
		return n.firstDialable(linkToRelay, seedVMs(n.cfg.Seeds), relaysPerDomain, now)
	}
	order := n.cfg.Store.Snapshot().RelayOrder(n.cfg.Self.Domain, n.cfg.Self.Region)
	count := relaysPerDomain
	if rankOf(order, n.cfg.Self.ID) < relaysPerDomain {
		count--
	}
	return n.firstDialable(linkToRelay, order, count, now)
}

// seedVMs returns routers with the given addresses. Their addresses serve as
// IDs because their VM IDs are unknown.
func seedVMs(addrs []string) []target.VM {
	vms := make([]target.VM, 0, len(addrs))
	for _, addr := range addrs {
		vms = append(vms, target.VM{ID: addr, Addr: addr, Role: target.RoleRouter})
	}
	return vms
}

// wantedPeerLinks returns, at a process that aggregates any failure domain, the
// wanted links to one relay of each failure domain whose name sorts after the
// local one. Digests flow in both directions on a link, so one link between two
// domains is enough. n.mu is held.
func (n *Node) wantedPeerLinks(now time.Time) []wantedLink {
	snapshot := n.cfg.Store.Snapshot()
	if !n.aggregatesAnyDomain(snapshot) {
		return nil
	}
	var links []wantedLink
	seen := make(map[string]bool)
	for domain, region := range snapshot.Domains() {
		if domain <= n.cfg.Self.Domain {
			continue
		}
		for _, w := range n.firstDialable(linkToPeer, snapshot.RelayOrder(domain, region), 1, now) {
			if !seen[w.vm.ID] && w.vm.Domain != n.cfg.Self.Domain {
				seen[w.vm.ID] = true
				links = append(links, w)
			}
		}
	}
	return links
}

// aggregatesAnyDomain reports whether this process aggregates the reports of
// any failure domain. n.mu is held.
func (n *Node) aggregatesAnyDomain(snapshot *Snapshot) bool {
	if n.isActiveRelay(snapshot) {
		return true
	}
	for l := range n.links {
		if l.kind == linkToMember && l.peer.Domain != n.cfg.Self.Domain {
			return true
		}
	}
	return false
}

// firstDialable returns links to the first count VMs of order, without this
// process itself and without those whose redial delay has not expired.
func (n *Node) firstDialable(kind linkKind, order []target.VM, count int, now time.Time) []wantedLink {
	var links []wantedLink
	for _, vm := range order {
		w := wantedLink{kind: kind, vm: vm}
		state := n.dialStates[w.key()]
		if vm.ID == n.cfg.Self.ID || (!state.active && now.Before(state.retryAt)) {
			continue
		}
		links = append(links, w)
		if len(links) == count {
			break
		}
	}
	return links
}

// isActiveRelay reports whether this process is the relay that produces the
// digests of its failure domain: it is a router of the domain that may relay,
// and has no link to one that precedes it in the relay order. n.mu is held.
func (n *Node) isActiveRelay(snapshot *Snapshot) bool {
	order := snapshot.RelayOrder(n.cfg.Self.Domain, n.cfg.Self.Region)
	rank := rankOf(order, n.cfg.Self.ID)
	if rank == len(order) || order[rank].Domain != n.cfg.Self.Domain {
		return false
	}
	for l := range n.links {
		if l.kind == linkToRelay && l.incarnation != 0 && rankOf(order, l.peer.ID) < rank {
			return false
		}
	}
	return true
}

// rankOf returns the index of id in order, or len(order) if it is absent.
func rankOf(order []target.VM, id string) int {
	for i, vm := range order {
		if vm.ID == id {
			return i
		}
	}
	return len(order)
}

// startDial opens the link w in a new goroutine. n.mu is held.
func (n *Node) startDial(ctx context.Context, w wantedLink) {
	ctx, cancel := context.WithCancel(ctx)
	n.dialStates[w.key()] = dialState{kind: w.kind, active: true, cancel: cancel}
	n.dialWG.Go(func() {
		defer cancel()
		n.dialAndServe(ctx, w)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.dialStates[w.key()] = dialState{kind: w.kind, retryAt: time.Now().Add(jitter(n.timings.RedialDelay))}
	})
}

// dialAndServe opens the link w and serves it until it ends. After an
// unresponsive peer it makes the opener forget the connection.
func (n *Node) dialAndServe(ctx context.Context, w wantedLink) {
	dialCtx, cancel := context.WithTimeout(ctx, n.timings.DialTimeout)
	s, err := n.cfg.Opener.Open(dialCtx, w.vm.Addr)
	cancel()
	if err != nil {
		n.metrics.linksLost.WithLabelValues("unreachable").Inc()
		n.log.Debug("failed to open a control stream", "peer", w.vm.ID, "error", err)
		return
	}
	defer func() { _ = s.Close() }()
	err = n.serve(ctx, newLink(w.kind, s, Classify(n.cfg.Self, w.vm), w.vm), nil)
	if errors.Is(err, ErrUnresponsive) {
		n.cfg.Opener.Forget(w.vm.Addr)
	}
}

// selectDigestSource requests digests from the connected relay that is first in
// the relay order, and puts the other relays on standby. n.mu is held.
func (n *Node) selectDigestSource() {
	var source *link
	for l := range n.links {
		if l.kind == linkToRelay && l.incarnation != 0 && (source == nil || n.ranksBefore(l, source)) {
			source = l
		}
	}
	for l := range n.links {
		if l.kind != linkToRelay {
			continue
		}
		if standby := source != nil && l != source; standby != l.standbyRequested {
			l.standbyRequested = standby
			hello := n.newHello(false)
			hello.Standby = standby
			l.enqueue(hello)
		}
	}
}

// ranksBefore reports whether the peer of a precedes that of b in the relay
// order.
func (n *Node) ranksBefore(a, b *link) bool {
	order := n.cfg.Store.Snapshot().RelayOrder(n.cfg.Self.Domain, n.cfg.Self.Region)
	return rankOf(order, a.peer.ID) < rankOf(order, b.peer.ID)
}
