package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/target"
)

// dialCheck is the longest time between two looks at which links are wanted.
const dialCheck = 500 * time.Millisecond

// dialState is what is known of a link that this process opens.
type dialState struct {
	kind  linkKind
	busy  bool      // being opened or up
	retry time.Time // not opened before
	stop  context.CancelFunc
}

// wanted is a link that this process wants to hold.
type wanted struct {
	kind linkKind
	vm   target.VM
}

// key names a wanted link in Node.dialled.
func (w wanted) key() string { return w.kind.String() + " " + w.vm.ID }

// runDials keeps the links to the relays of this failure domain and, at an
// active relay, to those of the others.
func (n *Node) runDials(ctx context.Context) {
	changes := n.cfg.Store.Watch()
	tick := time.NewTicker(dialCheck)
	defer tick.Stop()
	for {
		n.dialWanted(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changes:
		case <-tick.C:
		}
	}
}

// dialWanted opens the links that are wanted and ends those that are not.
func (n *Node) dialWanted(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	list := append(n.wantedRelays(now), n.wantedPeers(now)...)
	keep := make(map[string]bool, len(list))
	for _, w := range list {
		keep[w.key()] = true
		if !n.dialled[w.key()].busy {
			n.dial(ctx, w)
		}
	}
	for key, state := range n.dialled {
		if state.busy && !keep[key] && n.allUp(state.kind, list) {
			state.stop()
		}
	}
	n.chooseDigests()
}

// allUp reports whether each wanted link of kind is up, so that a spare one
// can go. n.mu is held.
func (n *Node) allUp(kind linkKind, list []wanted) bool {
	up := make(map[string]bool)
	for l := range n.links {
		if l.kind == kind && l.incarnation != 0 {
			up[l.peer.ID] = true
		}
	}
	for _, w := range list {
		if w.kind == kind && !up[w.vm.ID] {
			return false
		}
	}
	return true
}

// wantedRelays returns the links to the relays of this failure domain. n.mu is
// held.
func (n *Node) wantedRelays(now time.Time) []wanted {
	order := n.cfg.Store.Snapshot().RelayOrder(n.cfg.Self.Domain, n.cfg.Self.Region)
	count := relaysPerDomain
	if rankOf(order, n.cfg.Self.ID) < relaysPerDomain {
		count--
	}
	return n.firstUsable(toRelay, order, count, now)
}

// wantedPeers returns the links to one relay of each failure domain of a later
// name, if this process adds up the reports of its own. Digests go both ways on
// a link, so that one is enough between two domains. n.mu is held.
func (n *Node) wantedPeers(now time.Time) []wanted {
	snapshot := n.cfg.Store.Snapshot()
	if !n.sumsUp(snapshot) {
		return nil
	}
	var list []wanted
	seen := make(map[string]bool)
	for domain, region := range snapshot.Domains() {
		if domain <= n.cfg.Self.Domain {
			continue
		}
		for _, w := range n.firstUsable(toPeer, snapshot.RelayOrder(domain, region), 1, now) {
			if !seen[w.vm.ID] && w.vm.Domain != n.cfg.Self.Domain {
				seen[w.vm.ID] = true
				list = append(list, w)
			}
		}
	}
	return list
}

// sumsUp reports whether this process adds up the reports of any failure
// domain. n.mu is held.
func (n *Node) sumsUp(snapshot *Snapshot) bool {
	if n.active(snapshot) {
		return true
	}
	for l := range n.links {
		if l.kind == toMember && l.peer.Domain != n.cfg.Self.Domain {
			return true
		}
	}
	return false
}

// firstUsable returns the first count VMs of order that have not just failed.
func (n *Node) firstUsable(kind linkKind, order []target.VM, count int, now time.Time) []wanted {
	var list []wanted
	for _, vm := range order {
		w := wanted{kind: kind, vm: vm}
		state := n.dialled[w.key()]
		if vm.ID == n.cfg.Self.ID || (!state.busy && now.Before(state.retry)) {
			continue
		}
		list = append(list, w)
		if len(list) == count {
			break
		}
	}
	return list
}

// active reports whether this process is the relay that sends its failure
// domain's digests: it can be a relay and holds no link to a better one. n.mu
// is held.
func (n *Node) active(snapshot *Snapshot) bool {
	order := snapshot.RelayOrder(n.cfg.Self.Domain, n.cfg.Self.Region)
	rank := rankOf(order, n.cfg.Self.ID)
	if rank == len(order) || order[rank].Domain != n.cfg.Self.Domain {
		return false
	}
	for l := range n.links {
		if l.kind == toRelay && l.incarnation != 0 && rankOf(order, l.peer.ID) < rank {
			return false
		}
	}
	return true
}

// rankOf returns the place of id in order, or len(order).
func rankOf(order []target.VM, id string) int {
	for i, vm := range order {
		if vm.ID == id {
			return i
		}
	}
	return len(order)
}

// dial opens the link w on a goroutine of its own. n.mu is held.
func (n *Node) dial(ctx context.Context, w wanted) {
	ctx, cancel := context.WithCancel(ctx)
	n.dialled[w.key()] = dialState{kind: w.kind, busy: true, stop: cancel}
	n.dials.Go(func() {
		defer cancel()
		n.open(ctx, w)
		n.mu.Lock()
		defer n.mu.Unlock()
		n.dialled[w.key()] = dialState{kind: w.kind, retry: time.Now().Add(jitter(n.periods.Redial))}
	})
}

// open opens the link w and serves it until it ends.
func (n *Node) open(ctx context.Context, w wanted) {
	dialCtx, cancel := context.WithTimeout(ctx, n.periods.Dial)
	s, err := n.cfg.Opener.Open(dialCtx, w.vm.Addr)
	cancel()
	if err != nil {
		n.metrics.lost.WithLabelValues("unreachable").Inc()
		n.log.Debug("cannot open a control stream", "peer", w.vm.ID, "error", err)
		return
	}
	defer func() { _ = s.Close() }()
	err = n.serve(ctx, newLink(w.kind, s, Classify(n.cfg.Self, w.vm), w.vm), nil)
	if errors.Is(err, ErrSilent) {
		n.cfg.Opener.Forget(w.vm.Addr)
	}
}

// chooseDigests asks for digests from the best relay alone. n.mu is held.
func (n *Node) chooseDigests() {
	var best *link
	for l := range n.links {
		if l.kind == toRelay && l.incarnation != 0 && (best == nil || n.better(l, best)) {
			best = l
		}
	}
	for l := range n.links {
		if l.kind != toRelay {
			continue
		}
		if standby := best != nil && l != best; standby != l.quiet {
			l.quiet = standby
			hello := n.hello(false)
			hello.Standby = standby
			l.send(hello)
		}
	}
}

// better reports whether the peer of a is a better relay than that of b.
func (n *Node) better(a, b *link) bool {
	order := n.cfg.Store.Snapshot().RelayOrder(n.cfg.Self.Domain, n.cfg.Self.Region)
	return rankOf(order, a.peer.ID) < rankOf(order, b.peer.ID)
}
