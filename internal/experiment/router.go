package experiment

import (
	"encoding/binary"
	"time"

	"github.com/mastichollow/mastichollow/internal/fairness"
	"github.com/mastichollow/mastichollow/internal/placement"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Bounds and timing of a router's offers. Only the home agent has an offer during
// homeOnlyTime.
const (
	queueLimit    = 1000 // waiting offers of a workspace at one agent
	homeOnlyTime  = 50 * time.Millisecond
	widenInterval = 100 * time.Millisecond
	spillAfter    = time.Second
	offersPerStep = 3 // in the first step, doubled by each further one
	maxDoublings  = 8
)

// call is one request.
type call struct {
	id            uint64
	workspace     workspace.RowID
	class         request.Class
	costHint      int64
	remaining     float64 // units still to produce
	produced      float64
	charged       int64
	arrivedAt     time.Duration
	startedAt     time.Duration
	router        *router
	running       *fairness.RunningRequest
	granted       bool // the router has accepted a grant
	lost          bool // by a restart of its router
	offeredTo     map[int]bool
	steps         int
	spilledOffers int // offers to remote regions without free slots
	plan          placement.Plan
	plannedAt     time.Duration // when plan was computed
	done          func()
	retry         func()
}

// router is a fake router. It offers requests in the order of the real placement.
type router struct {
	sim       *simulation
	region    int
	nextAgent int // round-robin counter
	calls     map[uint64]*call
}

func newRouter(sim *simulation, region int) *router {
	return &router{sim: sim, region: region, nextAgent: sim.rng.IntN(1000), calls: make(map[uint64]*call)}
}

// accept starts to place a new request.
func (r *router) accept(c *call) {
	c.router = r
	c.arrivedAt = r.sim.Now()
	c.offeredTo = make(map[int]bool)
	r.calls[c.id] = c
	if r.sim.policy.RoundRobin {
		r.pushToNext(c)
		return
	}
	if home := r.plan(c).Home; home != nil {
		r.sendOffer(c, *home, true)
	}
	r.sim.After(homeOnlyTime, func() { r.widenOffers(c) })
}

// pushToNext sends c to the next reachable agent in round-robin order.
func (r *router) pushToNext(c *call) {
	var reachable []*agent
	for _, a := range r.sim.agents {
		if !a.draining && !r.sim.net.partitioned(r.region, a.region) {
			reachable = append(reachable, a)
		}
	}
	r.nextAgent++
	a := reachable[r.nextAgent%len(reachable)]
	r.sim.net.send(r.region, a.region, func() { a.enqueue(c, true) })
}

// widenOffers offers c to more agents while it waits. Each step doubles the number of
// offers and the delay of the previous step.
func (r *router) widenOffers(c *call) {
	if c.granted || c.lost {
		return
	}
	plan := r.plan(c)
	maxOffers := offersPerStep << min(c.steps, maxDoublings)
	maxOffers -= r.offerAll(c, plan.LocalRegion, maxOffers)
	r.offerRemote(c, plan.RemoteRegions, maxOffers)
	c.steps++
	r.sim.After(r.stepDelay(c), func() { r.widenOffers(c) })
}

// stepDelay returns the time until the next step. There is a step at each multiple of
// spillAfter after arrival.
func (r *router) stepDelay(c *call) time.Duration {
	toSpill := spillAfter - (r.sim.Now()-c.arrivedAt)%spillAfter
	return min(widenInterval<<min(c.steps-1, maxDoublings), toSpill)
}

// offerRemote offers c to agents in remote regions with free slots, and to one agent in a
// region without free slots for each spillAfter that c has waited.
func (r *router) offerRemote(c *call, agents []target.VM, maxOffers int) {
	if r.sim.scenario.NoSpill {
		return
	}
	free := 0
	for free < len(agents) && r.hasFreeSlots(agents[free].Domain) {
		free++
	}
	sent := r.offerAll(c, agents[:free], maxOffers)
	spillsDue := int((r.sim.Now() - c.arrivedAt) / spillAfter)
	maxOffers = min(maxOffers-sent, spillsDue-c.spilledOffers)
	c.spilledOffers += r.offerAll(c, agents[free:], maxOffers)
}

func (r *router) offerAll(c *call, vms []target.VM, maxOffers int) int {
	sent := 0
	for _, vm := range vms {
		a := r.sim.agentOf(vm)
		if sent >= maxOffers {
			return sent
		}
		if !c.offeredTo[a.index] && !r.sim.net.partitioned(r.region, a.region) {
			r.sendOffer(c, vm, false)
			sent++
		}
	}
	return sent
}

func (r *router) sendOffer(c *call, vm target.VM, home bool) {
	a := r.sim.agentOf(vm)
	c.offeredTo[a.index] = true
	r.sim.net.send(r.region, a.region, func() { a.enqueue(c, home) })
}

// plan returns the order of the agents for c. It is computed again when the VMs have
// changed or the order is older than spillAfter.
func (r *router) plan(c *call) placement.Plan {
	if c.plan.Home == nil || c.plannedAt < r.sim.vmsChangedAt || c.plannedAt+spillAfter <= r.sim.Now() {
		c.plannedAt = r.sim.Now()
		c.plan = r.newPlan(c)
	}
	return c.plan
}

func (r *router) newPlan(c *call) placement.Plan {
	site := placement.Site{Region: regionName(r.region), Domain: regionName(r.region)}
	content := placement.RequestHashes{Fingerprint: binary.BigEndian.AppendUint64(nil, c.id)}
	return placement.NewPlan(r.sim.liveVMs(), site, content, r.hasFreeSlots)
}

func (r *router) hasFreeSlots(domain string) bool {
	for region, relay := range r.sim.relays {
		if regionName(region) == domain {
			return relay != nil && r.sim.relays[r.region].hasFreeSlots(region)
		}
	}
	return false
}

// acceptGrant reports whether a grant of c is accepted: the first grant is, and the
// offers to other agents are withdrawn.
func (r *router) acceptGrant(c *call, winner *agent) bool {
	if c.granted || c.lost {
		return false
	}
	c.granted = true
	delete(r.calls, c.id)
	for index := range c.offeredTo {
		if a := r.sim.agents[index]; a != winner {
			r.sim.net.send(r.region, a.region, func() { a.withdraw(c) })
		}
	}
	return true
}

// offerDropped handles an offer that agent a dropped or could not grant.
func (r *router) offerDropped(c *call, a *agent) {
	delete(c.offeredTo, a.index)
	if r.sim.policy.RoundRobin && !c.granted {
		r.pushToNext(c)
	}
}

// restart loses all waiting requests; their callers retry within a second.
func (r *router) restart() {
	for _, c := range sortedCalls(r.calls) {
		c.lost = true
		delete(r.calls, c.id)
		for _, a := range r.sim.agents {
			a.withdraw(c)
		}
		r.sim.After(r.sim.jitter(time.Second), c.retry)
	}
}
