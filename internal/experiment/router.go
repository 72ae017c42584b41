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

// Timing of a router's offers.
const (
	queueLimit    = 1000
	homePatience  = 50 * time.Millisecond
	widen         = 100 * time.Millisecond
	spillAfter    = time.Second
	offersPerStep = 3
	maxDoublings  = 8
)

// call is one request.
type call struct {
	id       uint64
	ws       workspace.RowID
	class    request.Class
	hint     int64
	left     float64 // units still to produce
	produced float64
	charged  int64
	arrived  time.Duration
	started  time.Duration
	router   *router
	account  *fairness.RunningRequest
	bound    bool // granted, or given up
	lost     bool // its router restarted
	asked    map[int]bool
	steps    int
	spilled  int // agents asked in other regions without free slots
	order    placement.Plan
	planned  time.Duration // when order was made
	done     func()
	retry    func()
}

// router is a fake router: it offers requests by the real placement.
type router struct {
	w      *world
	region int
	turn   int // next agent of round robin
	calls  map[uint64]*call
}

func newRouter(w *world, region int) *router {
	return &router{w: w, region: region, turn: w.rng.IntN(1000), calls: make(map[uint64]*call)}
}

// accept takes a request in.
func (r *router) accept(c *call) {
	c.router = r
	c.arrived = r.w.Now()
	c.asked = make(map[int]bool)
	r.calls[c.id] = c
	if r.w.policy.Push {
		r.hand(c)
		return
	}
	if home := r.plan(c).Home; home != nil {
		r.ask(c, *home, true)
	}
	r.w.After(homePatience, func() { r.step(c) })
}

// hand gives c to the next agent that is reached, in turn.
func (r *router) hand(c *call) {
	var reached []*agent
	for _, a := range r.w.agents {
		if !a.leaving && !r.w.net.cut(r.region, a.region) {
			reached = append(reached, a)
		}
	}
	r.turn++
	a := reached[r.turn%len(reached)]
	r.w.net.send(r.region, a.region, func() { a.push(c, true) })
}

// step offers c to more agents while it waits. Each step asks twice as many as
// the one before, after twice the pause.
func (r *router) step(c *call) {
	if c.bound || c.lost {
		return
	}
	plan := r.plan(c)
	room := offersPerStep << min(c.steps, maxDoublings)
	room -= r.askAll(c, plan.LocalRegion, room)
	r.askFar(c, plan.RemoteRegions, room)
	c.steps++
	r.w.After(r.pause(c), func() { r.step(c) })
}

// pause is the time until the next step; no multiple of spillAfter is missed.
func (r *router) pause(c *call) time.Duration {
	toSpill := spillAfter - (r.w.Now()-c.arrived)%spillAfter
	return min(widen<<min(c.steps-1, maxDoublings), toSpill)
}

// askFar offers c in other regions: where slots are free, and otherwise to one
// agent for each spillAfter that it has waited.
func (r *router) askFar(c *call, agents []target.VM, room int) {
	if r.w.scenario.NoSpill {
		return
	}
	n := 0
	for n < len(agents) && r.hasFree(agents[n].Domain) {
		n++
	}
	added := r.askAll(c, agents[:n], room)
	waited := int((r.w.Now() - c.arrived) / spillAfter)
	room = min(room-added, waited-c.spilled)
	c.spilled += r.askAll(c, agents[n:], room)
}

func (r *router) askAll(c *call, vms []target.VM, room int) int {
	added := 0
	for _, vm := range vms {
		a := r.w.agentOf(vm)
		if added >= room {
			return added
		}
		if !c.asked[a.index] && !r.w.net.cut(r.region, a.region) {
			r.ask(c, vm, false)
			added++
		}
	}
	return added
}

func (r *router) ask(c *call, vm target.VM, home bool) {
	a := r.w.agentOf(vm)
	c.asked[a.index] = true
	r.w.net.send(r.region, a.region, func() { a.push(c, home) })
}

// plan orders the agents for c, anew when the VMs have changed or the order is
// old.
func (r *router) plan(c *call) placement.Plan {
	if c.order.Home == nil || c.planned < r.w.changed || c.planned+spillAfter <= r.w.Now() {
		c.planned = r.w.Now()
		c.order = r.make(c)
	}
	return c.order
}

func (r *router) make(c *call) placement.Plan {
	site := placement.Site{Region: regionName(r.region), Domain: regionName(r.region)}
	content := placement.RequestHashes{Fingerprint: binary.BigEndian.AppendUint64(nil, c.id)}
	return placement.NewPlan(r.w.live(), site, content, r.hasFree)
}

func (r *router) hasFree(domain string) bool {
	for region, relay := range r.w.relays {
		if regionName(region) == domain {
			return relay != nil && r.w.relays[r.region].free(region)
		}
	}
	return false
}

// take answers a grant: the first one wins.
func (r *router) take(c *call, winner *agent) bool {
	if c.bound || c.lost {
		return false
	}
	c.bound = true
	delete(r.calls, c.id)
	for index := range c.asked {
		if a := r.w.agents[index]; a != winner {
			r.w.net.send(r.region, a.region, func() { a.withdraw(c) })
		}
	}
	return true
}

// handBack takes back an offer that an agent has dropped.
func (r *router) handBack(c *call, a *agent) {
	delete(c.asked, a.index)
	if r.w.policy.Push && !c.bound {
		r.hand(c)
	}
}

// restart loses all requests that wait; their callers come again.
func (r *router) restart() {
	for _, c := range sortedCalls(r.calls) {
		c.lost = true
		delete(r.calls, c.id)
		for _, a := range r.w.agents {
			a.withdraw(c)
		}
		r.w.After(r.w.jitter(time.Second), c.retry)
	}
}
