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

// of returns the sums of pool, or s itself when pool is empty.
func (s *poolSums) of(pool string) *poolSums {
	if pool == "" {
		return s
	}
	only := newPoolSums()
	if load, ok := s.loads[pool]; ok {
		only.loads[pool] = load
	}
	for key, row := range s.rows {
		if key.pool == pool {
			only.rows[key] = row
		}
	}
	return only
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

// maxOrigins is how many origins of one failure domain are remembered.
const maxOrigins = 4

// origin names the relay that added up a failure domain's sums, and its start.
type origin struct {
	relay       string
	incarnation uint64
}

// domainSums merges what several relays say about one failure domain.
//
// Each relay counts from the moment it started, so that its sums differ from
// another's by a constant. A row of a relay is aligned with what is known when
// it is first seen; from then on the highest aligned sum counts. Growth that
// two relays report counts once, and a relay that restarts with lower sums
// neither lowers the merged sum nor hides later growth. If the sums of a relay
// lag when they are first seen, the growth within that lag counts twice, once.
//
// Relays pass on the sums of each origin as they got them and never the merged
// ones: a merged sum that came back to its maker late would grow on each round.
type domainSums struct {
	merged  *poolSums
	origins []*originSums // the one that changed last is the last
}

// originSums holds the sums of one origin and their offsets, modulo 2^64, to
// the merged ones.
type originSums struct {
	origin
	sequence uint64 // of the last digest
	sums     *poolSums
	service  map[rowKey]uint64
	started  map[rowKey]uint64
}

func newDomainSums() *domainSums { return &domainSums{merged: newPoolSums()} }

// fresh returns the sums of the origin of d and makes them the last of the
// origins, or returns nil when d is not newer than the last digest of its
// origin. A sequence of 0 counts as newer.
func (s *domainSums) fresh(d *wire.Digest) *originSums {
	o := origin{d.Relay, d.Incarnation}
	i := slices.IndexFunc(s.origins, func(src *originSums) bool { return src.origin == o })
	if i < 0 {
		s.origins = append(s.origins, &originSums{
			origin:  o,
			sums:    newPoolSums(),
			service: make(map[rowKey]uint64),
			started: make(map[rowKey]uint64),
		})
		i = len(s.origins) - 1
	}
	src := s.origins[i]
	if d.Sequence != 0 && d.Sequence <= src.sequence {
		return nil
	}
	src.sequence = d.Sequence
	s.origins = append(slices.Delete(s.origins, i, i+1), src)
	if len(s.origins) > maxOrigins {
		s.origins = slices.Delete(s.origins, 0, 1)
	}
	return src
}

// merge merges d and returns the pools with the merged rows of d. A digest that
// is not newer than the last one of its origin changes nothing.
func (s *domainSums) merge(d *wire.Digest) []wire.PoolSums {
	src := s.fresh(d)
	if src == nil {
		return nil
	}
	src.sums.set(d.Pools)
	pools := make([]wire.PoolSums, 0, len(d.Pools))
	for _, p := range d.Pools {
		s.merged.loads[p.Pool] = Load{Free: int(p.Free), Queued: int(p.Queued)}
		out := wire.PoolSums{Pool: p.Pool, Free: p.Free, Queued: p.Queued}
		for _, row := range p.Sums {
			out.Sums = append(out.Sums, s.mergeRow(src, rowKey{p.Pool, row.Workspace}, row))
		}
		pools = append(pools, out)
	}
	return pools
}

// mergeRow merges one row of an origin and returns the merged row.
func (s *domainSums) mergeRow(src *originSums, key rowKey, row wire.Sum) wire.Sum {
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
