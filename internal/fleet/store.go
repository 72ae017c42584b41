// Package fleet holds what a process knows of the whole fleet: the workspace
// table in force, the VMs, and the sums and loads of the failure domains, and
// keeps it up to date through relays.
//
// Invariants: the table's version never goes back; a VM that was seen leaving
// stays leaving under its ID; the relays of a failure domain follow from the
// VM list alone, so no election is held, and two relays or a wrong one cost
// only traffic.
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

// Snapshot is what a process knows at one moment. It is immutable.
type Snapshot struct {
	Table *workspace.Table // nil: no table is known and the process is not ready
	VMs   map[string]target.VM
	// Suspects are the requests under suspicion, by fingerprint.
	Suspects map[string]wire.Suspect

	vmsRead       time.Time // when the VM list was read from the platform
	vmsEpoch      uint64    // grows with each change of VMs
	suspectsRead  time.Time
	suspectsEpoch uint64
}

// Load is the latest load of a pool in one failure domain.
type Load struct {
	Free   int
	Queued int
}

// Store holds the newest snapshot and the newest digests. It is safe for
// concurrent use. Its two mutexes are never held together; a node's mutex is
// taken before them.
type Store struct {
	mu       sync.Mutex // serialises writers
	snapshot atomic.Pointer[Snapshot]
	watchers []chan<- struct{}
	left     map[string]bool // IDs of VMs that were ever seen leaving

	digestMu sync.Mutex
	domains  map[string]*domainSums
	sinks    []func(*wire.Digest)
}

// NewStore returns a store without a table.
func NewStore() *Store {
	s := &Store{left: make(map[string]bool), domains: make(map[string]*domainSums)}
	s.snapshot.Store(&Snapshot{VMs: map[string]target.VM{}, Suspects: map[string]wire.Suspect{}})
	return s
}

// Snapshot returns the newest snapshot. It is never nil.
func (s *Store) Snapshot() *Snapshot { return s.snapshot.Load() }

// Watch returns a channel that gets a value after each change of the snapshot;
// several changes may share one value.
func (s *Store) Watch() <-chan struct{} {
	c := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, c)
	return c
}

// ApplyTable puts t in force and reports whether it was newer than the table
// held so far. An older or equal version changes nothing.
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

// ApplyVMs replaces the VM list by one read now. A VM that was ever leaving
// stays leaving.
func (s *Store) ApplyVMs(list []target.VM) { s.ApplyVMsAt(list, time.Now()) }

// ApplyVMsAt replaces the VM list by one read at the given time and reports
// whether it was newer than the list held so far. A VM that was ever leaving,
// here or in an older list, stays leaving, also after it was missing from the
// list for a while.
func (s *Store) ApplyVMsAt(list []target.VM, read time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range list {
		if vm.State == target.StateLeaving {
			s.left[vm.ID] = true
		}
	}
	old := s.snapshot.Load()
	next := *old
	newer := old.vmsEpoch == 0 || read.After(old.vmsRead)
	if newer {
		next.vmsRead = read
		next.VMs = make(map[string]target.VM, len(list))
		for _, vm := range list {
			next.VMs[vm.ID] = vm
		}
	}
	next.VMs = s.withLeft(next.VMs)
	if old.vmsEpoch > 0 && maps.Equal(old.VMs, next.VMs) {
		s.snapshot.Store(&next)
		return newer
	}
	next.vmsEpoch++
	s.publish(&next)
	return newer
}

// withLeft returns vms with every VM leaving that ever was. s.mu is held.
func (s *Store) withLeft(vms map[string]target.VM) map[string]target.VM {
	out := make(map[string]target.VM, len(vms))
	for id, vm := range vms {
		if s.left[id] {
			vm.State = target.StateLeaving
		}
		out[id] = vm
	}
	return out
}

// ApplySuspects replaces the suspects by those read at the given time, unless
// newer ones are held.
func (s *Store) ApplySuspects(list []wire.Suspect, read time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.snapshot.Load()
	if old.suspectsEpoch > 0 && !read.After(old.suspectsRead) {
		return false
	}
	next := *old
	next.suspectsRead = read
	next.Suspects = make(map[string]wire.Suspect, len(list))
	for _, suspect := range list {
		next.Suspects[string(suspect.Fingerprint)] = suspect
	}
	if old.suspectsEpoch > 0 && maps.EqualFunc(old.Suspects, next.Suspects, sameSuspect) {
		s.snapshot.Store(&next)
		return true
	}
	next.suspectsEpoch++
	s.publish(&next)
	return true
}

func sameSuspect(a, b wire.Suspect) bool { return a.Quarantined == b.Quarantined }

// publish replaces the snapshot and tells the watchers. s.mu is held.
func (s *Store) publish(next *Snapshot) {
	s.snapshot.Store(next)
	for _, c := range s.watchers {
		wake(c)
	}
}

// OnDigest adds a function that gets each digest that is applied. It must not
// block. The sums in it are those of the failure domain and only grow, whichever
// relay they come from; Relay and Incarnation are empty. The digest of a
// process's own failure domain contains what the process itself reported.
func (s *Store) OnDigest(f func(*wire.Digest)) {
	s.digestMu.Lock()
	defer s.digestMu.Unlock()
	s.sinks = append(s.sinks, f)
}

// ApplyDigest merges the sums and loads in d, which the relay named in it added
// up, and hands the merged rows on.
func (s *Store) ApplyDigest(d *wire.Digest) {
	s.digestMu.Lock()
	defer s.digestMu.Unlock()
	domain := s.domains[d.Domain]
	if domain == nil {
		domain = newDomainSums()
		s.domains[d.Domain] = domain
	}
	merged := &wire.Digest{Domain: d.Domain, Pools: domain.merge(d)}
	if len(merged.Pools) == 0 {
		return
	}
	for _, f := range s.sinks {
		f(merged)
	}
}

// Load returns the latest load of pool in domain; ok is false when no digest
// has come.
func (s *Store) Load(domain, pool string) (l Load, ok bool) {
	s.digestMu.Lock()
	defer s.digestMu.Unlock()
	if sums := s.domains[domain]; sums != nil {
		l, ok = sums.merged.loads[pool]
	}
	return l, ok
}

// eachOrigin calls f with the sums of each origin of each failure domain, the
// latest of a domain last. f must not keep them nor call the store.
func (s *Store) eachOrigin(f func(domain string, src *originSums)) {
	s.digestMu.Lock()
	defer s.digestMu.Unlock()
	for name, domain := range s.domains {
		for _, src := range domain.origins {
			f(name, src)
		}
	}
}

// suspectList returns the suspects as a message.
func (s *Snapshot) suspectList(now time.Time) *wire.SuspectList {
	list := &wire.SuspectList{Age: now.Sub(s.suspectsRead)}
	for _, key := range slices.Sorted(maps.Keys(s.Suspects)) {
		list.Suspects = append(list.Suspects, s.Suspects[key])
	}
	return list
}

// State returns the state of vm under the marks of the table: a mark of
// leaving and a listed state of leaving both count.
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
