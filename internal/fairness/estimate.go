package fairness

// CostEstimate selects how the cost of running requests is estimated. The estimate
// counts in the order of the queue, but not in the totals. Without it, a workspace
// that is behind would get every slot that becomes free until its first requests have
// produced output, and would then be ahead for as long as they run.
type CostEstimate uint8

// Estimates of the cost of running requests.
const (
	// EstimateMeanCost assumes the mean cost of the pool's running requests for
	// each running request in the fleet, regardless of its hint and of what it
	// has produced.
	EstimateMeanCost CostEstimate = iota
	// EstimateHints uses the cost hints of the requests that run at this agent,
	// less what they were charged.
	EstimateHints
	// EstimateNone assumes no cost.
	EstimateNone
)

// costSmoothingFactor is the weight of the latest request in the moving averages.
const costSmoothingFactor = 0.02

// costEstimator estimates the mean cost of the requests that run at a given time.
// A request that costs more runs longer, so each ended request is weighted by its cost.
type costEstimator struct {
	meanCost, meanSquaredCost float64 // moving averages of cost and of cost squared
}

// observe records the cost of a request that has ended, in service units.
func (c *costEstimator) observe(cost float64) {
	if c.meanCost == 0 {
		c.meanCost, c.meanSquaredCost = cost, cost*cost
		return
	}
	c.meanCost += costSmoothingFactor * (cost - c.meanCost)
	c.meanSquaredCost += costSmoothingFactor * (cost*cost - c.meanSquaredCost)
}

// estimate returns the mean in service units. It is 1 before the first observation, so
// that workspaces with equal virtual times share the first slots by weight.
func (c *costEstimator) estimate() float64 {
	if c.meanCost == 0 {
		return 1
	}
	return c.meanSquaredCost / c.meanCost
}
