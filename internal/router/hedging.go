package router

import (
	"context"
	"time"

	"github.com/mastichollow/mastichollow/internal/placement"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
)

const (
	// maxHedgeDoublings bounds the exponential growth of the steps.
	maxHedgeDoublings = 8
	// maxOrderAge is how long an order of agents is cached: less than the age of the
	// reported loads that it is based on.
	maxOrderAge = time.Second
)

// offerToHome offers the call to its home agent, if the pool has a live one.
func (o *offerRound) offerToHome(ctx context.Context) {
	home := placement.Home(o.agents(), o.execution.router.cfg.Site, o.execution.call.content)
	if home != nil {
		o.home = o.offerTo(ctx, *home, true)
	}
}

// hedge offers the call to more agents, unless it waits as a duplicate.
func (o *offerRound) hedge(ctx context.Context) {
	if !o.waitsAsDuplicate {
		o.offerToMore(ctx)
	}
	o.hedgeSteps++
}

// hedgeDelay returns the time until the next step. The delay and the number of agents
// per step double with each step. The delay never extends past a multiple of
// SpillAfter.
func (o *offerRound) hedgeDelay() time.Duration {
	timing := o.execution.router.cfg.Timing
	untilSpill := timing.SpillAfter - time.Since(o.execution.startedAt)%timing.SpillAfter
	return min(timing.HedgeInterval<<min(o.hedgeSteps-1, maxHedgeDoublings), untilSpill)
}

// offerToMore offers the call to the next agents in order and returns the number of
// offers.
func (o *offerRound) offerToMore(ctx context.Context) int {
	timing := o.execution.router.cfg.Timing
	plan := o.plan()
	limit := min(timing.OffersPerStep<<min(o.hedgeSteps, maxHedgeDoublings), timing.OffersPerRound-len(o.streams))
	added := o.offerToAll(ctx, plan.LocalRegion, limit)
	return added + o.offerToRemote(ctx, plan.RemoteRegions, limit-added)
}

// offerToRemote offers the call to agents of other regions. Agents in failure domains
// with free slots come first. Of the other agents, one is added for each SpillAfter
// that the call has waited, or as many as the limit allows if no offer is open.
func (o *offerRound) offerToRemote(ctx context.Context, agents []target.VM, limit int) int {
	withFreeSlots := 0
	for withFreeSlots < len(agents) && o.hasFreeSlots(agents[withFreeSlots].Domain) {
		withFreeSlots++
	}
	offered := o.offerToAll(ctx, agents[:withFreeSlots], limit)
	if o.openOffers > 0 {
		spillsAllowed := int(time.Since(o.execution.startedAt) / o.execution.router.cfg.Timing.SpillAfter)
		limit = min(limit, spillsAllowed-o.spilloverOffers+offered)
	}
	spilled := o.offerToAll(ctx, agents[withFreeSlots:], limit-offered)
	o.spilloverOffers += spilled
	return offered + spilled
}

// offerToAll offers the call to at most limit of the agents that have no offer yet.
// Agents at which an attempt of the call failed come last.
func (o *offerRound) offerToAll(ctx context.Context, agents []target.VM, limit int) int {
	offered := 0
	for _, failedBefore := range []bool{false, true} {
		for _, vm := range agents {
			if offered >= limit {
				return offered
			}
			if o.streams[vm.ID] != nil || o.execution.failedAgents[vm.ID] != failedBefore {
				continue
			}
			o.offerTo(ctx, vm, false)
			offered++
		}
	}
	return offered
}

// hasFreeSlots reports whether the last digest of the failure domain showed free slots
// and an empty queue for the pool.
func (o *offerRound) hasFreeSlots(domain string) bool {
	load, ok := o.execution.router.cfg.Store.Load(domain, o.execution.call.pool)
	return ok && load.Free > 0 && load.Queued == 0
}

// agents returns the live agents of the pool.
func (o *offerRound) agents() []target.VM {
	if p := o.execution.router.index.get().pools[o.execution.call.pool]; p != nil {
		return p.agents
	}
	return nil
}

// agentOrder caches the order of the agents of one snapshot for one call.
type agentOrder struct {
	plan   placement.Plan
	index  *index // nil: not computed yet
	madeAt time.Time
}

// plan returns the order of the live agents. It is cached for maxOrderAge: for a large
// pool, computing it costs more than the offers of a step.
func (o *offerRound) plan() placement.Plan {
	now, idx := time.Now(), o.execution.router.index.get()
	if o.order.index != idx || now.Sub(o.order.madeAt) >= maxOrderAge {
		plan := placement.NewPlan(o.agents(), o.execution.router.cfg.Site, o.execution.call.content, o.hasFreeSlots)
		o.order = agentOrder{plan: plan, index: idx, madeAt: now}
	}
	return o.order.plan
}

// offerTo opens a stream to vm that begins with an offer.
func (o *offerRound) offerTo(ctx context.Context, vm target.VM, isHome bool) *agentStream {
	c := o.execution.call
	stream := &agentStream{
		attempt: request.NewAttemptID(),
		agent:   vm,
		link:    o.execution.router.cfg.Site.LinkTo(vm),
		isHome:  isHome,
		round:   o.execution.round,
	}
	stream.firstMessage = &wire.Offer{
		Request:      c.id,
		Attempt:      stream.attempt,
		Workspace:    c.row.ID,
		Pool:         c.pool,
		Class:        c.class,
		CostHint:     c.costHint,
		Deadline:     time.Until(c.deadline),
		Claim:        c.claim,
		Fingerprint:  c.content.Fingerprint,
		TableVersion: c.tableVersion,
		Region:       o.execution.router.cfg.Site.Region,
		Suspect:      o.execution.suspect || o.execution.call.suspect,
		Home:         isHome,
	}
	o.streams[vm.ID] = stream
	o.openOffers++
	o.execution.router.metrics.countOffer(stream)
	o.execution.streams.start(ctx, stream)
	return stream
}
