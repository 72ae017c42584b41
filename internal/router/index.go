package router

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/fleet"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Errors of a snapshot that requests cannot be served from yet.
var (
	errNoTable = errors.New("no workspace table is known yet")
	errNoVMs   = errors.New("no VM list is known yet")
)

// notReady returns the reason why requests cannot be served from snapshot, or nil.
func notReady(snapshot *fleet.Snapshot) error {
	switch {
	case snapshot.Table == nil:
		return errNoTable
	case len(snapshot.VMs) == 0:
		return errNoVMs
	default:
		return nil
	}
}

// index holds the tables for look-ups per request, built from one snapshot. It is
// immutable.
type index struct {
	snapshot *fleet.Snapshot
	rows     map[string]*workspace.Row // by hex SHA-256 of the API key
	pools    map[string]*pool          // by name
}

// pool is a model or a plain service.
type pool struct {
	name   string
	kind   target.Kind // empty if no VM serves the pool
	agents []target.VM // live agents, sorted by ID
}

// indexCache caches the index of the newest snapshot.
type indexCache struct {
	store      *fleet.Store
	onSnapshot func(*fleet.Snapshot) // called with each new snapshot
	current    atomic.Pointer[index]
}

// get returns the index of the newest snapshot and builds it if the snapshot has
// changed.
func (c *indexCache) get() *index {
	snapshot := c.store.Snapshot()
	if idx := c.current.Load(); idx != nil && idx.snapshot == snapshot {
		return idx
	}
	idx := newIndex(snapshot)
	c.current.Store(idx)
	c.onSnapshot(snapshot)
	return idx
}

func newIndex(snapshot *fleet.Snapshot) *index {
	idx := &index{
		snapshot: snapshot,
		rows:     make(map[string]*workspace.Row),
		pools:    make(map[string]*pool),
	}
	idx.addPools()
	if snapshot.Table != nil {
		idx.addRows(snapshot.Table)
	}
	return idx
}

// addPools adds the pools that VMs serve, with their live agents.
func (idx *index) addPools() {
	for _, vm := range idx.snapshot.VMs {
		if vm.Role != target.RoleAgent {
			continue
		}
		p := idx.pool(vm.Pool)
		p.kind = vm.Kind
		if idx.snapshot.State(vm) == target.StateLive {
			p.agents = append(p.agents, vm)
		}
	}
	for _, p := range idx.pools {
		slices.SortFunc(p.agents, func(a, b target.VM) int { return strings.Compare(a.ID, b.ID) })
	}
}

// addRows adds the API keys of the table, and the pools that its rows name.
func (idx *index) addRows(table *workspace.Table) {
	for i := range table.Rows {
		row := &table.Rows[i]
		for _, hash := range row.KeyHashes {
			idx.rows[strings.ToLower(hash)] = row
		}
		for _, name := range row.Pools {
			if name != "*" {
				idx.pool(name)
			}
		}
	}
}

// pool returns the named pool and adds it if necessary.
func (idx *index) pool(name string) *pool {
	p := idx.pools[name]
	if p == nil {
		p = &pool{name: name}
		idx.pools[name] = p
	}
	return p
}

// row returns the workspace of an API key, or nil.
func (idx *index) row(key string) *workspace.Row {
	sum := sha256.Sum256([]byte(key))
	return idx.rows[hex.EncodeToString(sum[:])]
}

// suspect reports whether a request with this fingerprint was running when a target
// crashed.
func (idx *index) suspect(fingerprint []byte) bool {
	_, ok := idx.snapshot.Suspects[string(fingerprint)]
	return ok
}

// quarantined reports whether requests with this fingerprint must not run.
func (idx *index) quarantined(fingerprint []byte) bool {
	return idx.snapshot.Suspects[string(fingerprint)].Quarantined
}
