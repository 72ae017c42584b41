package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
)

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
