package experiment

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// floodFactor is how many times its share a flooding workspace asks for.
const floodFactor = 100

// floodRoom is how many requests of the flood may wait in all.
const floodRoom = 2000

// callers are those of one workspace.
type callers struct {
	w       *world
	ws      workspace.RowID
	demand  Workspace
	waiting int // of the flood
}

func newCallers(w *world, ws workspace.RowID) *callers {
	demand := w.deployment.Workspaces[ws-1]
	if w.scenario.Late > 0 && int(ws) == len(w.deployment.Workspaces) {
		demand.From = w.scenario.Late
	}
	if w.scenario.Flood && ws == 5 {
		share := w.deployment.Capacity() / w.totalWeight() * demand.Weight
		demand.Flood = floodFactor * share / meanCost
	}
	return &callers{w: w, ws: ws, demand: demand}
}

// meanCost is about the mean cost of batch requests, in units.
const meanCost = 1170

func (c *callers) start() {
	for range c.demand.Callers {
		region := c.region()
		c.w.After(c.demand.From+c.w.jitter(time.Second), func() { c.sendBatch(region) })
	}
	if c.demand.Quick > 0 {
		c.w.After(c.demand.From+c.pause(c.demand.Quick), c.sendQuick)
	}
	if c.demand.Flood > 0 {
		c.w.After(c.demand.From+c.pause(c.demand.Flood), c.sendFlood)
	}
}

// sendBatch sends a request and the next one when it is answered, for a caller
// near region.
func (c *callers) sendBatch(region int) {
	again := func() { c.sendBatch(region) }
	c.send(request.ClassBatch, region, c.batchCost(), again, again)
}

func (c *callers) sendQuick() {
	c.send(request.ClassInteractive, c.region(), quickCost*(0.5+c.w.rng.Float64()), func() {}, func() {})
	c.w.After(c.pause(c.demand.Quick), c.sendQuick)
}

// sendFlood sends a request without waiting, unless the queue is full.
func (c *callers) sendFlood() {
	if c.waiting < floodRoom {
		c.waiting++
		over := func() { c.waiting-- }
		c.send(request.ClassBatch, c.region(), c.batchCost(), over, over)
	}
	c.w.After(c.pause(c.demand.Flood), c.sendFlood)
}

func (c *callers) send(class request.Class, region int, cost float64, done, retry func()) {
	c.w.requests++
	call := &call{
		id: c.w.requests, ws: c.ws, class: class,
		left: cost, hint: c.hint(cost), done: done, retry: retry,
	}
	c.router(region).accept(call)
}

// batchCost draws a cost between minCost and maxCost, evenly by its logarithm.
func (c *callers) batchCost() float64 {
	return minCost * math.Pow(maxCost/minCost, c.w.rng.Float64())
}

// hint returns what the router believes that a request costs.
func (c *callers) hint(cost float64) int64 {
	factor := math.Exp2(2*c.w.rng.Float64() - 1)
	switch c.w.scenario.Hints {
	case HintHigh:
		factor = 10
	case HintLow:
		factor = 0.1
	case HintMixed:
		factor = []float64{10, 0.1}[c.w.rng.IntN(2)]
	}
	return max(1, int64(cost*factor))
}

// region draws a region by the workspace's shares.
func (c *callers) region() int {
	total := 0.0
	for _, share := range c.demand.Regions {
		total += share
	}
	draw := c.w.rng.Float64() * total
	region := 0
	for region < len(c.demand.Regions)-1 && draw >= c.demand.Regions[region] {
		draw -= c.demand.Regions[region]
		region++
	}
	return region
}

// router draws a router of region.
func (c *callers) router(region int) *router {
	regions := c.w.deployment.Regions
	count := (len(c.w.routers) - region + regions - 1) / regions
	return c.w.routers[region+c.w.rng.IntN(count)*regions]
}

// pause draws the time between two requests of a rate.
func (c *callers) pause(rate float64) time.Duration {
	return time.Duration(c.w.rng.ExpFloat64() / rate * float64(time.Second))
}

// jitter draws a time below d.
func (w *world) jitter(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)))
}

func (w *world) weights() map[workspace.RowID]float64 {
	weights := make(map[workspace.RowID]float64)
	for i, ws := range w.deployment.Workspaces {
		weights[workspace.RowID(i+1)] = ws.Weight
	}
	return weights
}

func (w *world) totalWeight() float64 {
	total := 0.0
	for _, ws := range w.deployment.Workspaces {
		total += ws.Weight
	}
	return total
}

func (w *world) agentOf(vm target.VM) *agent {
	i := slices.IndexFunc(w.agents, func(a *agent) bool { return a.vm.ID == vm.ID })
	return w.agents[i]
}

func sortedCalls(calls map[uint64]*call) []*call {
	return slices.SortedFunc(maps.Values(calls), func(a, b *call) int { return cmp.Compare(a.id, b.id) })
}
