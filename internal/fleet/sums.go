package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// rowKey names one workspace in one pool.
type rowKey struct {
	pool string
	ws   workspace.RowID
}

// poolSums holds the sums and loads of the pools of one failure domain.
type poolSums struct {
	rows  map[rowKey]wire.Sum
	loads map[string]Load
}

func newPoolSums() *poolSums {
	return &poolSums{rows: make(map[rowKey]wire.Sum), loads: make(map[string]Load)}
}

// set adds the figures of pools.
func (s *poolSums) set(pools []wire.PoolSums) {
	for _, p := range pools {
		s.loads[p.Pool] = Load{Free: int(p.Free), Queued: int(p.Queued)}
		for _, row := range p.Sums {
			s.rows[rowKey{p.Pool, row.Workspace}] = row
		}
	}
}

// clone returns a copy of s.
func (s *poolSums) clone() *poolSums {
	return &poolSums{rows: maps.Clone(s.rows), loads: maps.Clone(s.loads)}
}

// diff returns the pools and rows of after that differ from before, by name
// and ID. A nil before stands for nothing.
func diff(before, after *poolSums) []wire.PoolSums {
	if before == nil {
		before = newPoolSums()
	}
	changed := make(map[string][]wire.Sum)
	for pool, load := range after.loads {
		if old, ok := before.loads[pool]; !ok || old != load {
			changed[pool] = nil
		}
	}
	for key, row := range after.rows {
		if old, ok := before.rows[key]; !ok || old != row {
			changed[key.pool] = append(changed[key.pool], row)
		}
	}
	pools := make([]wire.PoolSums, 0, len(changed))
	for _, pool := range slices.Sorted(maps.Keys(changed)) {
		rows := changed[pool]
		slices.SortFunc(rows, func(a, b wire.Sum) int { return cmp.Compare(a.Workspace, b.Workspace) })
		load := after.loads[pool]
		pools = append(pools, wire.PoolSums{
			Pool:   pool,
			Free:   uint32(load.Free),
			Queued: uint32(load.Queued),
			Sums:   rows,
		})
	}
	return pools
}

// domainSums merges what several relays say about one failure domain.
//
// Each relay counts from the moment it started, so that its sums differ from
// another's by a constant. A row of a relay is aligned with what is known when
// it is first seen; from then on the highest aligned sum counts. Growth that
// two relays report counts once, and a relay that restarts with lower sums
// neither lowers the merged sum nor hides later growth.
type domainSums struct {
	merged  *poolSums
	sources map[string]*relaySums // by VM ID of the relay
}

// relaySums holds the offsets of one relay's sums to the merged ones.
type relaySums struct {
	incarnation uint64
	service     map[rowKey]uint64 // modulo 2^64
	started     map[rowKey]uint64
}

func newDomainSums() *domainSums {
	return &domainSums{merged: newPoolSums(), sources: make(map[string]*relaySums)}
}

// source returns the offsets of the relay that sent d.
func (s *domainSums) source(d *wire.Digest) *relaySums {
	src := s.sources[d.Relay]
	if src == nil || src.incarnation != d.Incarnation {
		src = &relaySums{
			incarnation: d.Incarnation,
			service:     make(map[rowKey]uint64),
			started:     make(map[rowKey]uint64),
		}
		s.sources[d.Relay] = src
	}
	return src
}

// merge merges d and returns the pools with the merged rows of d.
func (s *domainSums) merge(d *wire.Digest) []wire.PoolSums {
	src := s.source(d)
	pools := make([]wire.PoolSums, 0, len(d.Pools))
	for _, p := range d.Pools {
		s.merged.loads[p.Pool] = Load{Free: int(p.Free), Queued: int(p.Queued)}
		out := wire.PoolSums{Pool: p.Pool, Free: p.Free, Queued: p.Queued}
		for _, row := range p.Sums {
			out.Sums = append(out.Sums, s.mergeRow(src, p.Pool, row))
		}
		pools = append(pools, out)
	}
	return pools
}

// mergeRow merges one row of a relay and returns the merged row.
func (s *domainSums) mergeRow(src *relaySums, pool string, row wire.Sum) wire.Sum {
	key := rowKey{pool, row.Workspace}
	before, known := s.merged.rows[key]
	if _, aligned := src.service[key]; !aligned {
		src.service[key], src.started[key] = 0, 0
		if known {
			src.service[key] = before.Service - row.Service
			src.started[key] = before.Started - row.Started
		}
	}
	row.Service = max(before.Service, row.Service+src.service[key])
	row.Started = max(before.Started, row.Started+src.started[key])
	s.merged.rows[key] = row
	return row
}
