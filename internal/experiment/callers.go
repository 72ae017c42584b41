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

// floodFactor is the demand of a flooding workspace, as a multiple of its fair share.
const floodFactor = 100

// maxFloodWaiting bounds the outstanding requests of the flood.
const maxFloodWaiting = 2000

// workspaceCallers sends the requests of one workspace.
type workspaceCallers struct {
	sim       *simulation
	workspace workspace.RowID
	demand    Workspace
	waiting   int // outstanding requests of the flood
}

func newCallers(sim *simulation, ws workspace.RowID) *workspaceCallers {
	demand := sim.deployment.Workspaces[ws-1]
	if sim.scenario.LastWorkspaceStart > 0 && int(ws) == len(sim.deployment.Workspaces) {
		demand.Start = sim.scenario.LastWorkspaceStart
	}
	if sim.scenario.Flood && ws == 5 {
		share := sim.deployment.Capacity() / sim.totalWeight() * demand.Weight
		demand.OpenLoopRate = floodFactor * share / meanBatchCost
	}
	return &workspaceCallers{sim: sim, workspace: ws, demand: demand}
}

// meanBatchCost is the approximate mean cost of batch requests, in units.
const meanBatchCost = 1170

func (c *workspaceCallers) start() {
	for range c.demand.Callers {
		region := c.randomRegion()
		c.sim.After(c.demand.Start+c.sim.jitter(time.Second), func() { c.sendBatch(region) })
	}
	if c.demand.InteractiveRate > 0 {
		c.sim.After(c.demand.Start+c.interarrival(c.demand.InteractiveRate), c.sendInteractive)
	}
	if c.demand.OpenLoopRate > 0 {
		c.sim.After(c.demand.Start+c.interarrival(c.demand.OpenLoopRate), c.sendFlood)
	}
}

// sendBatch sends the batch requests of one caller in region, each when the previous one
// is complete or lost.
func (c *workspaceCallers) sendBatch(region int) {
	sendNext := func() { c.sendBatch(region) }
	c.send(request.ClassBatch, region, c.randomBatchCost(), sendNext, sendNext)
}

func (c *workspaceCallers) sendInteractive() {
	c.send(request.ClassInteractive, c.randomRegion(), meanInteractiveCost*(0.5+c.sim.rng.Float64()), func() {}, func() {})
	c.sim.After(c.interarrival(c.demand.InteractiveRate), c.sendInteractive)
}

// sendFlood sends requests at a rate, without waiting for answers, up to
// maxFloodWaiting.
func (c *workspaceCallers) sendFlood() {
	if c.waiting < maxFloodWaiting {
		c.waiting++
		finished := func() { c.waiting-- }
		c.send(request.ClassBatch, c.randomRegion(), c.randomBatchCost(), finished, finished)
	}
	c.sim.After(c.interarrival(c.demand.OpenLoopRate), c.sendFlood)
}

func (c *workspaceCallers) send(class request.Class, region int, cost float64, done, retry func()) {
	c.sim.requests++
	call := &call{
		id: c.sim.requests, workspace: c.workspace, class: class,
		remaining: cost, costHint: c.randomCostHint(cost), done: done, retry: retry,
	}
	c.randomRouter(region).accept(call)
}

// randomBatchCost draws a cost from a log-uniform distribution between minBatchCost and
// maxBatchCost.
func (c *workspaceCallers) randomBatchCost() float64 {
	return minBatchCost * math.Pow(maxBatchCost/minBatchCost, c.sim.rng.Float64())
}

// randomCostHint returns the router's estimate of a request's cost, with the error that
// the scenario sets.
func (c *workspaceCallers) randomCostHint(cost float64) int64 {
	factor := math.Exp2(2*c.sim.rng.Float64() - 1)
	switch c.sim.scenario.Hints {
	case HintHigh:
		factor = 10
	case HintLow:
		factor = 0.1
	case HintMixed:
		factor = []float64{10, 0.1}[c.sim.rng.IntN(2)]
	}
	return max(1, int64(cost*factor))
}

// randomRegion draws a region with the workspace's weights of regions.
func (c *workspaceCallers) randomRegion() int {
	total := 0.0
	for _, share := range c.demand.Regions {
		total += share
	}
	draw := c.sim.rng.Float64() * total
	region := 0
	for region < len(c.demand.Regions)-1 && draw >= c.demand.Regions[region] {
		draw -= c.demand.Regions[region]
		region++
	}
	return region
}

// randomRouter draws a router of region uniformly.
func (c *workspaceCallers) randomRouter(region int) *router {
	regions := c.sim.deployment.Regions
	count := (len(c.sim.routers) - region + regions - 1) / regions
	return c.sim.routers[region+c.sim.rng.IntN(count)*regions]
}

// interarrival draws the time between two Poisson arrivals at rate requests/s.
func (c *workspaceCallers) interarrival(rate float64) time.Duration {
	return time.Duration(c.sim.rng.ExpFloat64() / rate * float64(time.Second))
}

// jitter draws a duration uniformly below d.
func (sim *simulation) jitter(d time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(d)))
}

func (sim *simulation) weights() map[workspace.RowID]float64 {
	weights := make(map[workspace.RowID]float64)
	for i, ws := range sim.deployment.Workspaces {
		weights[workspace.RowID(i+1)] = ws.Weight
	}
	return weights
}

func (sim *simulation) totalWeight() float64 {
	total := 0.0
	for _, ws := range sim.deployment.Workspaces {
		total += ws.Weight
	}
	return total
}

func (sim *simulation) agentOf(vm target.VM) *agent {
	i := slices.IndexFunc(sim.agents, func(a *agent) bool { return a.vm.ID == vm.ID })
	return sim.agents[i]
}

func sortedCalls(calls map[uint64]*call) []*call {
	return slices.SortedFunc(maps.Values(calls), func(a, b *call) int { return cmp.Compare(a.id, b.id) })
}
