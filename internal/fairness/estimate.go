package fairness

// Estimate says how the cost of running requests is foreseen. What is foreseen
// counts in the order of the queue, not in the sums: a workspace that is behind
// would otherwise get every slot that falls free until its first requests have
// produced, and then be ahead for as long as they run.
type Estimate uint8

// Ways to foresee a cost.
const (
	// EstimateCount takes for each request known to run in the fleet the mean
	// cost of the pool's running requests, whatever it has produced and
	// whatever its hint.
	EstimateCount Estimate = iota
	// EstimateHint takes what is left of the hints of the requests that run
	// here.
	EstimateHint
	// EstimateNone foresees nothing.
	EstimateNone
)

// learnRate is the weight of the latest request in the running means.
const learnRate = 0.02

// costMean tracks what a running request costs in the mean. A request that
// costs more runs longer, so that it counts by its cost.
type costMean struct {
	cost, square float64 // running means of cost and of cost squared
}

// learn takes in the cost of a request that has ended, in service units.
func (m *costMean) learn(cost float64) {
	if m.cost == 0 {
		m.cost, m.square = cost, cost*cost
		return
	}
	m.cost += learnRate * (cost - m.cost)
	m.square += learnRate * (cost*cost - m.square)
}

// value returns the mean in service units. While none is known it is 1, so that
// workspaces of one level share the first slots by weight.
func (m *costMean) value() float64 {
	if m.cost == 0 {
		return 1
	}
	return m.square / m.cost
}
