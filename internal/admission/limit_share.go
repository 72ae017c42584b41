package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/target"
)

const (
	// minLimitRate is the lowest rate, in requests per second over all gates, at which a
	// limited target gets requests. A target that gets none cannot say that it accepts
	// requests again.
	minLimitRate = 0.25
	// limitBurst is how much unused rate the bucket of a gate holds beside one request, as
	// time at its rate.
	limitBurst = 250 * time.Millisecond
	// ownerRate is the rate, in requests per second, for each further owner of a target that
	// has fewOwners already: the buckets of all owners may be full at the same time.
	ownerRate = 2
	fewOwners = 8
	// limitDemandFloor is the demand, in requests over the share window, that each owner of
	// a limited target counts with at least, so that the first request of a gate need not
	// wait for a report of the others.
	limitDemandFloor = 1
	// limitEndReportAge is for how long a gate reports that a response named no limit.
	limitEndReportAge = 5 * time.Second
	// maxReportDelay bounds the time that a report takes to a peer, by which the times in it
	// appear too late there.
	maxReportDelay = 500 * time.Millisecond
	// ownersInterval is how long the owners of a target are kept: they follow from reports,
	// which come every 200 ms or more rarely.
	ownersInterval = 100 * time.Millisecond
)

// FleetGate is a gate that may send requests to targets.
type FleetGate struct {
	Node   string
	Region string // empty: unknown
	Hash   uint64 // of Node, for rendezvous hashing
}

// NewFleetGate returns a gate of the fleet.
func NewFleetGate(node, region string) FleetGate {
	return FleetGate{Node: node, Region: region, Hash: target.HashID(node)}
}

// Fleet is the fleet as one gate knows it.
type Fleet struct {
	Node  string      // this gate
	Alive []FleetGate // this gate and the peers that it heard of
	Known int         // gates that may be alive, heard of or not
}

// LimitReport is what a gate reports about a limited target.
type LimitReport struct {
	TargetStarted int64 // start of the target, Unix milliseconds
	PerSecond     float64
	// NamedAge is the time since a response to the gate named the limit, EndedAge the time
	// since the gate sent a request whose response named none; negative: never.
	NamedAge, EndedAge time.Duration
	// Demand is the number of requests that the gate would have sent over the share window.
	Demand float64
}

// exhausted reports whether this gate must not send to the target now. A request above the
// fair share of its workspace may only use rate that nobody else used.
func (l *requestLimits) exhausted(now time.Duration, instance *target.Instance, withinShare bool) bool {
	state := l.limitOf(instance)
	if state == nil {
		return false
	}
	rate := l.refill(now, instance, state)
	if state.tokens < 1 {
		return true
	}
	return !withinShare && (now-state.fullSince).Seconds()*rate < 1
}

// consume counts a request that this gate sends to the target.
func (l *requestLimits) consume(now time.Duration, instance *target.Instance) {
	if state := l.limitOf(instance); state != nil {
		l.refill(now, instance, state)
		state.tokens--
		state.fullSince = now
		state.demand.add(now, Usage{Requested: 1})
	}
}

// countDemand counts a request that this gate would have sent to the target.
func (l *requestLimits) countDemand(now time.Duration, instance *target.Instance) {
	if state := l.limitOf(instance); state != nil {
		state.demand.add(now, Usage{Requested: 1})
	}
}

// refill adds the tokens accrued since the last call and returns the rate of the bucket.
func (l *requestLimits) refill(now time.Duration, instance *target.Instance, state *requestLimit) float64 {
	rate := l.localRate(now, instance, state)
	depth := 1 + rate*limitBurst.Seconds()
	tokens := state.tokens + rate*(now-state.refilledAt).Seconds()
	switch {
	case rate == 0:
		tokens = min(tokens, 0) // a gate that becomes an owner starts with an empty bucket
		state.fullSince = now
	case tokens < depth:
		state.fullSince = now
	}
	state.tokens, state.refilledAt = min(tokens, depth), now
	return rate
}

// localRate returns the requests per second that this gate may send to the target; 0 if it
// is not one of its owners.
func (l *requestLimits) localRate(now time.Duration, instance *target.Instance, state *requestLimit) float64 {
	rate := max(state.perSecond, minLimitRate)
	if len(l.fleet.Alive) == 0 {
		return rate
	}
	rate *= l.fleet.usableFraction()
	local, total := 0.0, 0.0
	for _, gate := range l.owners(now, instance, state, rate) {
		weight := limitDemandFloor + l.demandOf(now, state, gate.Node)
		total += weight
		if gate.Node == l.fleet.Node {
			local = weight
		}
	}
	return rate * local / total
}

// demandOf returns the demand of a gate for a limited target as its last report says, so
// that all gates compare the same figures.
func (l *requestLimits) demandOf(now time.Duration, state *requestLimit, node string) float64 {
	if node == l.fleet.Node {
		return state.reportedDemand
	}
	demand, found := state.peers[node]
	if !found || now-demand.receivedAt > l.reportLifetime {
		return 0
	}
	return demand.requests
}

// usableFraction returns the fraction of a limit that the alive gates may use together. If
// fewer than half of the known gates are heard of, the others may be alive on the other
// side of a partition and use the limit too.
func (f *Fleet) usableFraction() float64 {
	switch alive := len(f.Alive); {
	case 2*alive > f.Known:
		return 1
	case 2*alive == f.Known:
		return 1.0 / 2
	default:
		return float64(alive) / float64(2*f.Known)
	}
}

// ownerCount returns the number of gates that share a rate.
func ownerCount(rate float64, alive int) int {
	count := min(rate, max(rate/ownerRate, fewOwners), float64(alive))
	return max(1, int(count))
}

// owners returns the gates that send to a limited target.
func (l *requestLimits) owners(now time.Duration, instance *target.Instance, state *requestLimit, rate float64) []FleetGate {
	count := ownerCount(rate, len(l.fleet.Alive))
	if count == len(l.fleet.Alive) {
		return l.fleet.Alive
	}
	if len(state.owners) != count || now-state.ownersAt >= ownersInterval {
		state.owners, state.ownersAt = l.rankGates(now, instance, state)[:count], now
	}
	return state.owners
}

// rankGates returns the alive gates by their demand for a limited target, by powers of two
// so that small changes do not change the order, and of these the ones in its region first.
func (l *requestLimits) rankGates(now time.Duration, instance *target.Instance, state *requestLimit) []FleetGate {
	type ranked struct {
		FleetGate
		demand int // logarithm
		remote bool
		score  uint64
	}
	region := l.site.Regions[instance.Domain]
	gates := make([]ranked, 0, len(l.fleet.Alive))
	for _, gate := range l.fleet.Alive {
		gates = append(gates, ranked{gate, math.Ilogb(1 + l.demandOf(now, state, gate.Node)), gate.Region != region, mixBits(gate.Hash ^ instance.Hash)})
	}
	slices.SortFunc(gates, func(a, b ranked) int {
		switch {
		case a.demand != b.demand:
			return cmp.Compare(b.demand, a.demand)
		case a.remote != b.remote && b.remote:
			return -1
		case a.remote != b.remote:
			return 1
		default:
			return cmp.Compare(b.score, a.score)
		}
	})
	ordered := make([]FleetGate, len(gates))
	for i := range gates {
		ordered[i] = gates[i].FleetGate
	}
	return ordered
}

// report returns what this gate reports, and removes state that has expired.
func (l *requestLimits) report(now time.Duration) map[string]LimitReport {
	if len(l.targets) == 0 {
		return nil
	}
	reported := make(map[string]LimitReport)
	for id, state := range l.targets {
		if !state.named && now-state.changedAt > limitEndRetention || state.named && now-state.namedAt > limitRetention {
			delete(l.targets, id)
			continue
		}
		r := LimitReport{TargetStarted: state.targetStarted, PerSecond: state.perSecond, NamedAge: -1, EndedAge: -1}
		if state.localNamedAt != never && state.named {
			r.NamedAge = now - state.localNamedAt
		}
		if state.localEndedAt != never && now-state.localEndedAt <= limitEndReportAge {
			r.EndedAge = now - state.localEndedAt
		}
		state.reportedDemand = state.demand.weightedTotal(now).Requested
		r.Demand = state.reportedDemand
		if r.NamedAge >= 0 || r.EndedAge >= 0 || state.named && r.Demand > 0 {
			reported[id] = r
		}
	}
	return reported
}

// merge applies the report of a peer.
func (l *requestLimits) merge(now time.Duration, node string, reported map[string]LimitReport) {
	for id, r := range reported {
		if !r.valid() {
			continue
		}
		var state *requestLimit
		if r.NamedAge >= 0 {
			state = l.stateOf(now, id, r.TargetStarted, false)
		} else if known := l.targets[id]; known != nil && known.targetStarted == r.TargetStarted {
			state = known
		}
		if state == nil {
			continue
		}
		if r.NamedAge >= 0 {
			state.name(now, now-r.NamedAge, r.PerSecond)
		}
		if r.EndedAge >= 0 {
			state.end(now, now-r.EndedAge-maxReportDelay)
		}
		if _, known := state.peers[node]; known || len(state.peers) < len(l.fleet.Alive)+l.fleet.Known {
			state.peers[node] = limitDemand{receivedAt: now, requests: r.Demand}
		}
	}
}

func (r *LimitReport) valid() bool {
	return validLimit(r.PerSecond) && r.Demand >= 0 && !math.IsInf(r.Demand, 0)
}

// limited reports whether any of targets is limited.
func (l *requestLimits) limited(regions target.RegionSet, targets []target.Instance) bool {
	for i := range targets {
		if regions.Contains(targets[i].Region) && l.limitOf(&targets[i]) != nil {
			return true
		}
	}
	return false
}

// engineService is what share limits need to know of a service with engines.
type engineService struct {
	targets  int     // available ones
	meanWork float64 // of admitted requests, in tokens of work
}

// meanWorkWeight is the weight of the newest request in the mean work, a moving average.
const meanWorkWeight = 1.0 / 64

// minUsableCapacity is the fraction of the engines' capacity that shares are measured
// against at least, however low the request limits are.
const minUsableCapacity = 0.05

func (c *Controller) countEngines(service string, targets int) {
	known := c.engines[service]
	known.targets = targets
	c.engines[service] = known
}

func (c *Controller) recordMeanWork(service string, work float64) {
	known := c.engines[service]
	if known.meanWork == 0 {
		known.meanWork = work
	}
	known.meanWork += meanWorkWeight * (work - known.meanWork)
	c.engines[service] = known
}

// usableCapacity returns the capacity of all engines, in tokens of work per second, without
// what their request limits keep them from doing.
func (c *Controller) usableCapacity() float64 {
	if len(c.requestLimits.targets) == 0 {
		return c.capacity
	}
	engines := 0
	for _, service := range c.engines {
		engines += service.targets
	}
	nominal := c.capacity / float64(max(engines, 1))
	var lost int64 // a sum of whole numbers does not depend on the order
	for _, state := range c.requestLimits.targets {
		if service, known := c.engines[state.service]; known && state.named {
			lost += int64(max(0, nominal-max(state.perSecond, minLimitRate)*service.meanWork))
		}
	}
	return max(c.capacity-float64(lost), minUsableCapacity*c.capacity)
}

// SetFleet sets the fleet as the exchange of reports knows it.
func (c *Controller) SetFleet(fleet Fleet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestLimits.setFleet(fleet)
}
