// Package fleet keeps a process's view of the fleet up to date through relays:
// the workspace table in force, the VM list, and the usage totals and loads of
// the failure domains.
//
// Problem: hundreds of processes need the same configuration within seconds and
// each other's usage totals within about one second, while the platform, a
// region or any process may be unreachable. No process coordinates the others.
//
// Invariants: the table version never decreases; a VM that was once seen
// leaving stays leaving under its ID; the relays of a failure domain are
// derived from the VM list alone, so there is no election. Two active relays,
// or a wrongly chosen one, only cost traffic, because everything that they pass
// on is versioned or grow-only.
//
// Rejected: a lease on the configuration, because it would stop the fleet in
// every long outage of the platform; relays that pass on merged totals, because
// those grew each time they went around a loop of relays.
//
// Lock order: Node.localDigestMu, Node.mu, then one of the store's mutexes.
package fleet

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Snapshot is a consistent, immutable view of the configuration.
type Snapshot struct {
	Table *workspace.Table     // nil: no table has been received and the process is not ready
	VMs   map[string]target.VM // by VM ID
	// Suspects are the requests suspected of crashing a target, by fingerprint.
	Suspects map[string]wire.Suspect

	vmsReadAt      time.Time // when the VM list was read from the platform
	vmsEpoch       uint64    // incremented on each change of VMs
	suspectsReadAt time.Time // when the suspects were read from the platform
	suspectsEpoch  uint64    // incremented on each change of Suspects
}

// Load is the latest load of a pool in one failure domain.
type Load struct {
	Free   int // free slots
	Queued int // waiting offers
}

// Store holds the newest snapshot and the newest totals of each failure domain.
// It is safe for concurrent use. Its two mutexes are never held together; a
// node's mutex is locked before either of them.
type Store struct {
	mu          sync.Mutex // serialises writers of the snapshot
	snapshot    atomic.Pointer[Snapshot]
	watchers    []chan<- struct{}
	everLeaving map[string]bool // IDs of VMs that were ever seen leaving

	digestMu       sync.Mutex
	domains        map[string]*domainTotals
	digestHandlers []func(*wire.Digest)
}

// NewStore returns a store without a table.
func NewStore() *Store {
	s := &Store{everLeaving: make(map[string]bool), domains: make(map[string]*domainTotals)}
	s.snapshot.Store(&Snapshot{VMs: map[string]target.VM{}, Suspects: map[string]wire.Suspect{}})
	return s
}

// Snapshot returns the newest snapshot. It is never nil.
func (s *Store) Snapshot() *Snapshot { return s.snapshot.Load() }

// Watch returns a channel that receives a value after each change of the
// snapshot. Changes that follow each other before the value is read are
// coalesced.
func (s *Store) Watch() <-chan struct{} {
	c := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, c)
	return c
}

// ApplyTable puts t in force and reports whether it is newer than the previous
// table. An older or equal version changes nothing.
func (s *Store) ApplyTable(t *workspace.Table) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.snapshot.Load()
	if old.Table != nil && t.Version <= old.Table.Version {
		return false
	}
	next := *old
	next.Table = t
	s.publish(&next)
	return true
}

// ApplyVMs is ApplyVMsAt for a list that was read now.
func (s *Store) ApplyVMs(list []target.VM) { s.ApplyVMsAt(list, time.Now()) }

// ApplyVMsAt replaces the VM list by one read at the given time, unless the
// stored list is at least as recent, and reports whether it did. A VM that was
// ever leaving, in any list including an older one, stays leaving, even after
// it was missing from the list for a while.
func (s *Store) ApplyVMsAt(list []target.VM, readAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range list {
		if vm.State == target.StateLeaving {
			s.everLeaving[vm.ID] = true
		}
	}
	old := s.snapshot.Load()
	next := *old
	newer := old.vmsEpoch == 0 || readAt.After(old.vmsReadAt)
	if newer {
		next.vmsReadAt = readAt
		next.VMs = make(map[string]target.VM, len(list))
		for _, vm := range list {
			next.VMs[vm.ID] = vm
		}
	}
	next.VMs = s.withLeavingState(next.VMs)
	if old.vmsEpoch > 0 && maps.Equal(old.VMs, next.VMs) {
		s.snapshot.Store(&next)
		return newer
	}
	next.vmsEpoch++
	s.publish(&next)
	return newer
}

// withLeavingState returns a copy of vms in which every VM that was ever
// leaving is leaving. s.mu is held.
func (s *Store) withLeavingState(vms map[string]target.VM) map[string]target.VM {
	result := make(map[string]target.VM, len(vms))
	for id, vm := range vms {
		if s.everLeaving[id] {
			vm.State = target.StateLeaving
		}
		result[id] = vm
	}
	return result
}

// ApplySuspects replaces the suspects by those read at the given time, unless
// the stored ones are at least as recent, and reports whether it did.
func (s *Store) ApplySuspects(list []wire.Suspect, readAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.snapshot.Load()
	if old.suspectsEpoch > 0 && !readAt.After(old.suspectsReadAt) {
		return false
	}
	next := *old
	next.suspectsReadAt = readAt
	next.Suspects = make(map[string]wire.Suspect, len(list))
	for _, suspect := range list {
		next.Suspects[string(suspect.Fingerprint)] = suspect
	}
	if old.suspectsEpoch > 0 && maps.EqualFunc(old.Suspects, next.Suspects, suspectsEqual) {
		s.snapshot.Store(&next)
		return true
	}
	next.suspectsEpoch++
	s.publish(&next)
	return true
}

// suspectsEqual compares two suspects of the same fingerprint.
func suspectsEqual(a, b wire.Suspect) bool { return a.Quarantined == b.Quarantined }

// publish replaces the snapshot and notifies the watchers. s.mu is held.
func (s *Store) publish(next *Snapshot) {
	s.snapshot.Store(next)
	for _, c := range s.watchers {
		notify(c)
	}
}

// OnDigest adds a handler that is called with each applied digest. It must not
// block. The totals that it gets are the merged ones of the failure domain:
// they never decrease, whichever relay they come from, and Relay and
// Incarnation are empty. The digest of a process's local failure domain
// includes what the process itself reported.
func (s *Store) OnDigest(handler func(*wire.Digest)) {
	s.digestMu.Lock()
	defer s.digestMu.Unlock()
	s.digestHandlers = append(s.digestHandlers, handler)
}

// ApplyDigest merges d, which comes from the relay named in it, into the totals
// of its failure domain, and passes the merged rows to the handlers.
func (s *Store) ApplyDigest(d *wire.Digest) {
	s.digestMu.Lock()
	defer s.digestMu.Unlock()
	domain := s.domains[d.Domain]
	if domain == nil {
		domain = newDomainTotals()
		s.domains[d.Domain] = domain
	}
	merged := &wire.Digest{Domain: d.Domain, Pools: domain.merge(d)}
	if len(merged.Pools) == 0 {
		return
	}
	for _, f := range s.digestHandlers {
		f(merged)
	}
}

// Load returns the latest load of pool in domain; ok is false when no digest
// with that pool has been received.
func (s *Store) Load(domain, pool string) (l Load, ok bool) {
	s.digestMu.Lock()
	defer s.digestMu.Unlock()
	if totals := s.domains[domain]; totals != nil {
		l, ok = totals.merged.loads[pool]
	}
	return l, ok
}

// eachOrigin calls f with the totals of each origin of each failure domain, in
// a domain from the least to the most recently updated. f must neither retain
// the totals nor call the store.
func (s *Store) eachOrigin(f func(domain string, src *originTotals)) {
	s.digestMu.Lock()
	defer s.digestMu.Unlock()
	for name, domain := range s.domains {
		for _, src := range domain.origins {
			f(name, src)
		}
	}
}

// suspectList returns the suspects as a message, sorted by fingerprint.
func (s *Snapshot) suspectList(now time.Time) *wire.SuspectList {
	list := &wire.SuspectList{Age: now.Sub(s.suspectsReadAt)}
	for _, key := range slices.Sorted(maps.Keys(s.Suspects)) {
		list.Suspects = append(list.Suspects, s.Suspects[key])
	}
	return list
}

// State returns the state of vm with the marks of the table applied. A VM is
// leaving if either its mark or its listed state says so; a mark of joining
// makes a VM that is listed as joining live.
func (s *Snapshot) State(vm target.VM) target.State {
	if s.Table != nil {
		switch s.Table.Marks[vm.ID] {
		case workspace.MarkLeaving:
			return target.StateLeaving
		case workspace.MarkJoining:
			if vm.State == target.StateJoining {
				return target.StateLive
			}
		}
	}
	return vm.State
}

// Agents returns the live agents of pool.
func (s *Snapshot) Agents(pool string) []target.VM {
	var agents []target.VM
	for _, vm := range s.VMs {
		if vm.Role == target.RoleAgent && vm.Pool == pool && s.State(vm) == target.StateLive {
			agents = append(agents, vm)
		}
	}
	return agents
}
