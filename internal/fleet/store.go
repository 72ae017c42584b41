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
	"sync"
	"sync/atomic"

	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Snapshot is what a process knows at one moment. It is immutable.
type Snapshot struct {
	Table *workspace.Table // nil: no table is known and the process is not ready
	VMs   map[string]target.VM
}

// Load is the latest load of a pool in one failure domain.
type Load struct {
	Free   int
	Queued int
}

// Store holds the newest snapshot and the newest digests. It is safe for
// concurrent use.
type Store struct {
	mu       sync.Mutex // serialises writers
	snapshot atomic.Pointer[Snapshot]
	watchers []chan<- struct{}

	digestMu sync.Mutex
	loads    map[loadKey]Load
	sinks    []func(*wire.Digest)
}

type loadKey struct{ domain, pool string }

// NewStore returns a store without a table.
func NewStore() *Store {
	s := &Store{loads: make(map[loadKey]Load)}
	s.snapshot.Store(&Snapshot{VMs: map[string]target.VM{}})
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
	s.publish(&Snapshot{Table: t, VMs: old.VMs})
	return true
}

// ApplyVMs replaces the VM list. A VM that was leaving stays leaving.
func (s *Store) ApplyVMs(list []target.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.snapshot.Load()
	vms := make(map[string]target.VM, len(list))
	for _, vm := range list {
		if old.VMs[vm.ID].State == target.StateLeaving {
			vm.State = target.StateLeaving
		}
		vms[vm.ID] = vm
	}
	s.publish(&Snapshot{Table: old.Table, VMs: vms})
}

// publish replaces the snapshot and tells the watchers. s.mu is held.
func (s *Store) publish(next *Snapshot) {
	s.snapshot.Store(next)
	for _, c := range s.watchers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// OnDigest adds a function that gets each digest. It must not block.
func (s *Store) OnDigest(f func(*wire.Digest)) {
	s.digestMu.Lock()
	defer s.digestMu.Unlock()
	s.sinks = append(s.sinks, f)
}

// ApplyDigest records the loads in d and hands it on.
func (s *Store) ApplyDigest(d *wire.Digest) {
	s.digestMu.Lock()
	defer s.digestMu.Unlock()
	for _, p := range d.Pools {
		s.loads[loadKey{d.Domain, p.Pool}] = Load{Free: int(p.Free), Queued: int(p.Queued)}
	}
	for _, f := range s.sinks {
		f(d)
	}
}

// Load returns the latest load of pool in domain; ok is false when no digest
// has come.
func (s *Store) Load(domain, pool string) (l Load, ok bool) {
	s.digestMu.Lock()
	defer s.digestMu.Unlock()
	l, ok = s.loads[loadKey{domain, pool}]
	return l, ok
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
