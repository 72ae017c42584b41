package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// rowKey identifies a workspace in a pool.
type rowKey struct {
	pool      string
	workspace workspace.RowID
}

// poolTotals holds the usage totals and loads of the pools of one source, such
// as a process or a failure domain.
type poolTotals struct {
	rows  map[rowKey]wire.Total
	loads map[string]Load // by pool
}

func newPoolTotals() *poolTotals {
	return &poolTotals{rows: make(map[rowKey]wire.Total), loads: make(map[string]Load)}
}

// forPool returns the totals of pool, or t itself when pool is empty.
func (t *poolTotals) forPool(pool string) *poolTotals {
	if pool == "" {
		return t
	}
	filtered := newPoolTotals()
	if load, ok := t.loads[pool]; ok {
		filtered.loads[pool] = load
	}
	for key, row := range t.rows {
		if key.pool == pool {
			filtered.rows[key] = row
		}
	}
	return filtered
}

// set stores the loads and rows of pools, replacing earlier values of the same
// pools and rows.
func (t *poolTotals) set(pools []wire.PoolTotals) {
	for _, p := range pools {
		t.loads[p.Pool] = Load{Free: int(p.Free), Queued: int(p.Queued)}
		for _, row := range p.Totals {
			t.rows[rowKey{p.Pool, row.Workspace}] = row
		}
	}
}

// changedPools returns the pools and rows of after that are new or differ from
// before, sorted by pool name and row ID. A nil before means no totals.
func changedPools(before, after *poolTotals) []wire.PoolTotals {
	if before == nil {
		before = newPoolTotals()
	}
	changed := make(map[string][]wire.Total)
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
	pools := make([]wire.PoolTotals, 0, len(changed))
	for _, pool := range slices.Sorted(maps.Keys(changed)) {
		rows := changed[pool]
		slices.SortFunc(rows, func(a, b wire.Total) int { return cmp.Compare(a.Workspace, b.Workspace) })
		load := after.loads[pool]
		pools = append(pools, wire.PoolTotals{
			Pool:   pool,
			Free:   uint32(load.Free),
			Queued: uint32(load.Queued),
			Totals: rows,
		})
	}
	return pools
}

// maxOriginsPerDomain is the number of origins retained per failure domain.
const maxOriginsPerDomain = 4

// origin identifies the relay process that aggregated the totals of a failure
// domain, by VM ID and incarnation.
type origin struct {
	relay       string
	incarnation uint64
}

// domainTotals merges the totals that several relays report for one failure
// domain.
//
// Each relay counts from its start, so its totals differ from another relay's by
// a constant offset. When a row of a relay is first seen, it is aligned with the
// merged row; after that, the merged row is the maximum of the aligned rows.
// Growth that two relays report counts once, and a relay that restarts with
// lower totals neither lowers the merged total nor hides later growth. If a
// relay lags when its totals are first seen, the growth within that lag is
// counted twice, but only that one time.
//
// Relays pass on the totals of each origin unchanged and never the merged ones:
// a merged total that returned late to the relay that produced it would grow on
// each round.
type domainTotals struct {
	merged  *poolTotals
	origins []*originTotals // from the least to the most recently updated
}

// originTotals holds the totals of one origin and, for each row, the offset
// (modulo 2^64) that aligns them with the merged totals.
type originTotals struct {
	origin
	sequence      uint64 // of the last digest
	totals        *poolTotals
	serviceOffset map[rowKey]uint64
	startedOffset map[rowKey]uint64
}

func newDomainTotals() *domainTotals { return &domainTotals{merged: newPoolTotals()} }

// acceptDigest returns the totals of the origin of d and marks the origin as
// the most recently updated; it drops the least recently updated one if there
// are more than maxOriginsPerDomain. It returns nil when d is not newer than
// the last digest of its origin. A sequence of 0 counts as newer.
func (t *domainTotals) acceptDigest(d *wire.Digest) *originTotals {
	o := origin{d.Relay, d.Incarnation}
	i := slices.IndexFunc(t.origins, func(src *originTotals) bool { return src.origin == o })
	if i < 0 {
		t.origins = append(t.origins, &originTotals{
			origin:        o,
			totals:        newPoolTotals(),
			serviceOffset: make(map[rowKey]uint64),
			startedOffset: make(map[rowKey]uint64),
		})
		i = len(t.origins) - 1
	}
	src := t.origins[i]
	if d.Sequence != 0 && d.Sequence <= src.sequence {
		return nil
	}
	src.sequence = d.Sequence
	t.origins = append(slices.Delete(t.origins, i, i+1), src)
	if len(t.origins) > maxOriginsPerDomain {
		t.origins = slices.Delete(t.origins, 0, 1)
	}
	return src
}

// merge merges d and returns its pools with the merged rows. It returns nil and
// changes no totals when d is not newer than the last digest of its origin.
func (t *domainTotals) merge(d *wire.Digest) []wire.PoolTotals {
	src := t.acceptDigest(d)
	if src == nil {
		return nil
	}
	src.totals.set(d.Pools)
	pools := make([]wire.PoolTotals, 0, len(d.Pools))
	for _, p := range d.Pools {
		t.merged.loads[p.Pool] = Load{Free: int(p.Free), Queued: int(p.Queued)}
		mergedPool := wire.PoolTotals{Pool: p.Pool, Free: p.Free, Queued: p.Queued}
		for _, row := range p.Totals {
			mergedPool.Totals = append(mergedPool.Totals, t.mergeRow(src, rowKey{p.Pool, row.Workspace}, row))
		}
		pools = append(pools, mergedPool)
	}
	return pools
}

// mergeRow merges one row of an origin and returns the merged row.
func (t *domainTotals) mergeRow(src *originTotals, key rowKey, row wire.Total) wire.Total {
	previous, exists := t.merged.rows[key]
	if _, aligned := src.serviceOffset[key]; !aligned {
		src.serviceOffset[key], src.startedOffset[key] = 0, 0
		if exists {
			src.serviceOffset[key] = previous.Service - row.Service
			src.startedOffset[key] = previous.Started - row.Started
		}
	}
	row.Service = max(previous.Service, row.Service+src.serviceOffset[key])
	row.Started = max(previous.Started, row.Started+src.startedOffset[key])
	t.merged.rows[key] = row
	return row
}
