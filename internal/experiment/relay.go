package experiment

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mastichollow/mastichollow/internal/fleet"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// relay is a fake relay of one region. Sums of members that have gone stay.
type relay struct {
	w       *world
	region  int
	members map[string]*wire.Report // the latest
	digests uint64
	known   []digest               // latest of each region
	near    []*fleet.DigestEncoder // to each member, by region of the sums
	far     *fleet.DigestEncoder
	loads   []*fleet.DigestEncoder // to each router, by region of the loads
}

// digest is the sums of one region.
type digest struct {
	sequence     uint64
	free, queued uint32
	sums         []wire.Sum
}

func newRelay(w *world, region int) *relay {
	r := &relay{
		w: w, region: region,
		members: make(map[string]*wire.Report),
		known:   make([]digest, w.deployment.Regions),
		far:     fleet.NewDigestEncoder(""),
	}
	for source := range w.deployment.Regions {
		name := ""
		if source != region {
			name = regionName(source)
		}
		r.near = append(r.near, fleet.NewDigestEncoder(name))
		r.loads = append(r.loads, fleet.NewDigestEncoder(name))
	}
	return r
}

func (r *relay) start() {
	p := &r.w.policy
	r.w.Every(r.w.jitter(p.Digest), p.Digest, r.send)
	r.w.Every(r.w.jitter(p.FarDigest), p.FarDigest, r.sendFar)
	if !p.RouterSums {
		r.w.Every(p.Heartbeat, p.Heartbeat, func() { r.w.meter.beat(r.region) })
	}
}

// take notes a member's report.
func (r *relay) take(report *wire.Report) {
	if old := r.members[report.Member]; old == nil || old.Sequence < report.Sequence {
		r.members[report.Member] = report
	}
}

// sumUp adds up the reports of the members.
func (r *relay) sumUp() {
	r.digests++
	d := digest{sequence: r.digests}
	total := make(map[workspace.RowID]wire.Sum)
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		p := r.members[name].Pools[0]
		d.free += p.Free
		d.queued += p.Queued
		for _, s := range p.Sums {
			t := total[s.Workspace]
			t.Workspace = s.Workspace
			t.Service += s.Service
			t.Running += s.Running
			t.Queued += s.Queued
			total[s.Workspace] = t
		}
	}
	d.sums = sortedSums(total)
	r.known[r.region] = d
}

// send gives the members what the relay knows of all regions.
func (r *relay) send() {
	r.sumUp()
	var messages, loads []wire.Message
	for source, d := range r.known {
		if m := r.loads[source].Encode(d.load()); m != nil {
			loads = append(loads, m)
		}
		if m := r.near[source].Encode(d.pools()); m != nil {
			messages = append(messages, m)
		}
		for _, a := range r.w.agents {
			if a.region == r.region {
				r.w.net.control(r.region, r.region, func() { a.applyDigest(source, 1, d.sequence, d.sums) })
			}
		}
	}
	r.w.meter.sentToAgents(messages, r.region)
	if r.w.policy.RouterSums {
		loads = messages
	}
	r.w.meter.sentToRouters(loads, r.region)
}

// sendFar gives the relays of the other regions the sums of this one.
func (r *relay) sendFar() {
	r.sumUp()
	d := r.known[r.region]
	m := r.far.Encode(d.pools())
	for _, other := range r.w.relays {
		if other == r {
			continue
		}
		if m != nil {
			r.w.meter.sent(m, r.region, other.region)
		}
		r.w.net.control(r.region, other.region, func() { other.takeFar(r.region, d) })
	}
}

func (r *relay) takeFar(region int, d digest) {
	if d.sequence > r.known[region].sequence {
		r.known[region] = d
	}
}

func (d *digest) pools() []wire.PoolSums {
	return []wire.PoolSums{{Pool: pool, Free: d.free, Queued: d.queued, Sums: d.sums}}
}

// load says whether slots are free and whether offers wait.
func (d *digest) load() []wire.PoolSums {
	return []wire.PoolSums{{Pool: pool, Free: min(d.free, 1), Queued: min(d.queued, 1)}}
}

// free reports whether a region was last heard of with free slots and nothing
// waiting.
func (r *relay) free(region int) bool {
	d := &r.known[region]
	return d.free > 0 && d.queued == 0
}

func sortedSums(figures map[workspace.RowID]wire.Sum) []wire.Sum {
	sums := slices.Collect(maps.Values(figures))
	slices.SortFunc(sums, func(a, b wire.Sum) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return sums
}
