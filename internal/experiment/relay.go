package experiment

import (
	"cmp"
	"maps"
	"slices"

	"github.com/mastichollow/mastichollow/internal/fleet"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// relay is a fake relay of one region. It retains the totals of members that have left.
type relay struct {
	sim            *simulation
	region         int
	memberReports  map[string]*wire.Report // latest report, by member
	digestSequence uint64
	regionDigests  []digest               // latest digest, by region
	memberEncoders []*fleet.DigestEncoder // of digests to members, by source region
	remoteEncoder  *fleet.DigestEncoder
	routerEncoders []*fleet.DigestEncoder // of load summaries to routers, by source region
}

// digest holds the totals of one region.
type digest struct {
	sequence     uint64
	free, queued uint32
	totals       []wire.Total
}

func newRelay(sim *simulation, region int) *relay {
	r := &relay{
		sim: sim, region: region,
		memberReports: make(map[string]*wire.Report),
		regionDigests: make([]digest, sim.deployment.Regions),
		remoteEncoder: fleet.NewDigestEncoder(""),
	}
	for source := range sim.deployment.Regions {
		name := ""
		if source != region {
			name = regionName(source)
		}
		r.memberEncoders = append(r.memberEncoders, fleet.NewDigestEncoder(name))
		r.routerEncoders = append(r.routerEncoders, fleet.NewDigestEncoder(name))
	}
	return r
}

func (r *relay) start() {
	p := &r.sim.policy
	r.sim.Every(r.sim.jitter(p.DigestPeriod), p.DigestPeriod, r.sendDigests)
	r.sim.Every(r.sim.jitter(p.RemoteDigestPeriod), p.RemoteDigestPeriod, r.sendRemoteDigests)
	if !p.RouterTotals {
		r.sim.Every(p.HeartbeatPeriod, p.HeartbeatPeriod, func() { r.sim.meter.countHeartbeat(r.region) })
	}
}

// storeReport stores a member's report unless a newer one has arrived.
func (r *relay) storeReport(report *wire.Report) {
	if previous := r.memberReports[report.Member]; previous == nil || previous.Sequence < report.Sequence {
		r.memberReports[report.Member] = report
	}
}

// aggregate updates the digest of the local region from the members' reports.
func (r *relay) aggregate() {
	r.digestSequence++
	d := digest{sequence: r.digestSequence}
	totals := make(map[workspace.RowID]wire.Total)
	for _, name := range slices.Sorted(maps.Keys(r.memberReports)) {
		p := r.memberReports[name].Pools[0]
		d.free += p.Free
		d.queued += p.Queued
		for _, s := range p.Totals {
			total := totals[s.Workspace]
			total.Workspace = s.Workspace
			total.Service += s.Service
			total.Running += s.Running
			total.Queued += s.Queued
			totals[s.Workspace] = total
		}
	}
	d.totals = sortTotals(totals)
	r.regionDigests[r.region] = d
}

// sendDigests sends the latest digests of all regions to the members and the routers.
func (r *relay) sendDigests() {
	r.aggregate()
	var memberMessages, routerMessages []wire.Message
	for source, d := range r.regionDigests {
		if m := r.routerEncoders[source].Encode(d.loadSummary()); m != nil {
			routerMessages = append(routerMessages, m)
		}
		if m := r.memberEncoders[source].Encode(d.poolTotals()); m != nil {
			memberMessages = append(memberMessages, m)
		}
		for _, a := range r.sim.agents {
			if a.region == r.region {
				r.sim.net.sendControl(r.region, r.region, func() { a.applyDigest(source, 1, d.sequence, d.totals) })
			}
		}
	}
	r.sim.meter.countToAgents(memberMessages, r.region)
	if r.sim.policy.RouterTotals {
		routerMessages = memberMessages
	}
	r.sim.meter.countToRouters(routerMessages, r.region)
}

// sendRemoteDigests sends the digest of the local region to the other relays.
func (r *relay) sendRemoteDigests() {
	r.aggregate()
	d := r.regionDigests[r.region]
	m := r.remoteEncoder.Encode(d.poolTotals())
	for _, other := range r.sim.relays {
		if other == r {
			continue
		}
		if m != nil {
			r.sim.meter.countMessage(m, r.region, other.region)
		}
		r.sim.net.sendControl(r.region, other.region, func() { other.storeRemoteDigest(r.region, d) })
	}
}

func (r *relay) storeRemoteDigest(region int, d digest) {
	if d.sequence > r.regionDigests[region].sequence {
		r.regionDigests[region] = d
	}
}

func (d *digest) poolTotals() []wire.PoolTotals {
	return []wire.PoolTotals{{Pool: pool, Free: d.free, Queued: d.queued, Totals: d.totals}}
}

// loadSummary returns, in place of numbers, only whether slots are free and offers wait.
func (d *digest) loadSummary() []wire.PoolTotals {
	return []wire.PoolTotals{{Pool: pool, Free: min(d.free, 1), Queued: min(d.queued, 1)}}
}

// hasFreeSlots reports whether the latest digest of a region has free slots and no
// waiting offers.
func (r *relay) hasFreeSlots(region int) bool {
	d := &r.regionDigests[region]
	return d.free > 0 && d.queued == 0
}

func sortTotals(totals map[workspace.RowID]wire.Total) []wire.Total {
	list := slices.Collect(maps.Values(totals))
	slices.SortFunc(list, func(a, b wire.Total) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return list
}
