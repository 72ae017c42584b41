package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// runConfigs sends configuration to the peers when it changes here or when a
// peer may lack it.
func (n *Node) runConfigs(ctx context.Context) {
	changes := n.cfg.Store.Watch()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changes:
		case <-n.configSignal:
		}
		n.sendConfigs(time.Now())
	}
}

// sendConfigs sends to each peer the configuration that it lacks.
func (n *Node) sendConfigs(now time.Time) {
	snapshot := n.cfg.Store.Snapshot()
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if c := n.pendingConfig(l, snapshot, now); c != nil {
			l.enqueue(c)
		}
	}
}

// pendingConfig returns the configuration that the peer of l lacks, or nil, and
// records it as sent. A relay, of the local or of another failure domain, gets
// the configuration only while it cannot read the platform. n.mu is held.
func (n *Node) pendingConfig(l *link, s *Snapshot, now time.Time) *wire.Config {
	sent := &l.sent
	stale := n.announcesStale(l.kind)
	c := &wire.Config{Stale: stale}
	changed := stale != sent.stale
	sent.stale = stale
	if l.kind != linkToMember && !l.peerStale {
		return orNil(c, changed)
	}
	if s.Table != nil && s.Table.Version > sent.tableVersion {
		c.Table, sent.tableVersion, changed = s.Table, s.Table.Version, true
	}
	if s.vmsEpoch > sent.vmsEpoch {
		c.VMs, c.RemovedVMs = changedVMs(sent.vms, s.VMs)
		c.VMsAge, sent.vms, sent.vmsEpoch, changed = now.Sub(s.vmsReadAt), s.VMs, s.vmsEpoch, true
	}
	if s.suspectsEpoch > sent.suspectsEpoch {
		c.Suspects, sent.suspectsEpoch, changed = s.suspectList(now), s.suspectsEpoch, true
	}
	return orNil(c, changed)
}

// changedVMs returns the VMs of next that are new or differ from before, and
// the IDs of the VMs of before that are not in next, each sorted by ID.
func changedVMs(before, next map[string]target.VM) (changed []target.VM, removed []string) {
	for _, id := range slices.Sorted(maps.Keys(next)) {
		if old, listed := before[id]; !listed || old != next[id] {
			changed = append(changed, next[id])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if _, listed := next[id]; !listed {
			removed = append(removed, id)
		}
	}
	return changed, removed
}

// announcesStale reports whether the Config messages to peers of the given kind
// say that this process cannot read the platform. Those to members say so only
// if no connected relay of another failure domain can read it either. Those to
// its relays never do, because a member does not read the platform for other
// processes. n.mu is held.
func (n *Node) announcesStale(kind linkKind) bool {
	stale := n.platformStale.Load()
	switch kind {
	case linkToRelay:
		return false
	case linkToMember:
		return stale && !n.hasUpstream(linkToPeer, linkFromPeer)
	default:
		return stale
	}
}

// hasUpstream reports whether a link of one of kinds leads to a peer that can
// read the platform. n.mu is held.
func (n *Node) hasUpstream(kinds ...linkKind) bool {
	for l := range n.links {
		if l.incarnation != 0 && !l.peerStale && slices.Contains(kinds, l.kind) {
			return true
		}
	}
	return false
}

// orNil returns c if changed is set, otherwise nil.
func orNil(c *wire.Config, changed bool) *wire.Config {
	if !changed {
		return nil
	}
	return c
}
