package fairness

import "github.com/mastichollow/mastichollow/internal/request"

// Estimate says how the cost of a running request is foreseen.
type Estimate uint8

// Ways to foresee a cost.
const (
	// EstimateLearned corrects the hint by the ratio of cost to hint, or
	// takes the mean cost when there is no hint, both of the workspace's
	// latest requests of the class.
	EstimateLearned Estimate = iota
	// EstimateHint takes the hint as it is.
	EstimateHint
	// EstimateNone foresees nothing.
	EstimateNone
)

// learnRate is the weight of the latest request in the running means.
const learnRate = 0.2

// estimator holds the running means of one workspace, by class.
type estimator [2]means

type means struct {
	cost, ratio   float32
	costs, ratios bool // a first figure is known
}

// expect returns the cost foreseen for a request, in service units.
func (s *estimator) expect(by Estimate, class request.Class, hint int64) int64 {
	m := &s[class]
	switch {
	case by == EstimateNone:
		return 0
	case by == EstimateHint:
		return max(hint, 0)
	case hint > 0 && m.ratios:
		return int64(float64(hint) * float64(m.ratio))
	case m.costs:
		return int64(m.cost)
	default:
		return max(hint, 0)
	}
}

// learn takes in the cost of a request that has ended.
func (s *estimator) learn(class request.Class, hint, cost int64) {
	m := &s[class]
	m.cost = mix(m.cost, float32(cost), m.costs)
	m.costs = true
	if hint > 0 {
		m.ratio = mix(m.ratio, float32(float64(cost)/float64(hint)), m.ratios)
		m.ratios = true
	}
}

func mix(mean, next float32, known bool) float32 {
	if !known {
		return next
	}
	return mean + learnRate*(next-mean)
}
