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

// Errors of a snapshot from which requests cannot be served yet.
var (
	errNoTable = errors.New("no workspace table is known yet")
	errNoVMs   = errors.New("no VM list is known yet")
)

// notReady returns why requests cannot be served from snapshot, or nil.
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

// index holds what the router looks up per request in one snapshot. It is
// immutable.
type index struct {
	snapshot *fleet.Snapshot
	rows     map[string]*workspace.Row // by hex SHA-256 of an API key
	pools    map[string]*pool
}

// pool is a model or service.
type pool struct {
	name   string
	kind   target.Kind // empty: no VM of the pool is listed
	agents []target.VM // live ones, by ID
}

// indexCache keeps the index of the newest snapshot.
type indexCache struct {
	store   *fleet.Store
	changed func(*fleet.Snapshot) // gets each new snapshot
	current atomic.Pointer[index]
}

// get returns the index of the newest snapshot.
func (c *indexCache) get() *index {
	snapshot := c.store.Snapshot()
	if idx := c.current.Load(); idx != nil && idx.snapshot == snapshot {
		return idx
	}
	idx := newIndex(snapshot)
	c.current.Store(idx)
	c.changed(snapshot)
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

// addPools enters the pools that VMs serve, with their live agents.
func (x *index) addPools() {
	for _, vm := range x.snapshot.VMs {
		if vm.Role != target.RoleAgent {
			continue
		}
		p := x.pool(vm.Pool)
		p.kind = vm.Kind
		if x.snapshot.State(vm) == target.StateLive {
			p.agents = append(p.agents, vm)
		}
	}
	for _, p := range x.pools {
		slices.SortFunc(p.agents, func(a, b target.VM) int { return strings.Compare(a.ID, b.ID) })
	}
}

// addRows enters the keys of the table and the pools that its rows name.
func (x *index) addRows(table *workspace.Table) {
	for i := range table.Rows {
		row := &table.Rows[i]
		for _, hash := range row.KeyHashes {
			x.rows[strings.ToLower(hash)] = row
		}
		for _, name := range row.Pools {
			if name != "*" {
				x.pool(name)
			}
		}
	}
}

func (x *index) pool(name string) *pool {
	p := x.pools[name]
	if p == nil {
		p = &pool{name: name}
		x.pools[name] = p
	}
	return p
}

// row returns the workspace of an API key, or nil.
func (x *index) row(key string) *workspace.Row {
	sum := sha256.Sum256([]byte(key))
	return x.rows[hex.EncodeToString(sum[:])]
}

// suspect reports whether a request with this fingerprint ran at a crash of a
// target.
func (x *index) suspect(fingerprint []byte) bool {
	_, ok := x.snapshot.Suspects[string(fingerprint)]
	return ok
}

// quarantined reports whether requests with this fingerprint may not run.
func (x *index) quarantined(fingerprint []byte) bool {
	return x.snapshot.Suspects[string(fingerprint)].Quarantined
}
