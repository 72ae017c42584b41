package admission

import (
	"maps"
	"math"
	"slices"
	"time"
)

// EngineEstimate is one gate's estimate of the engines of a service, as reported to its
// peers.
type EngineEstimate struct {
	Speed    float64 // prompt tokens per millisecond
	Overhead float64 // milliseconds to a first event without a prompt
	// SpeedObservations and OverheadObservations are the numbers of observations behind
	// the estimates, up to maxObservationWeight.
	SpeedObservations, OverheadObservations int
}

func (m *engineModel) localEstimate() EngineEstimate {
	return EngineEstimate{
		Speed: m.localSpeed.value, Overhead: m.localOverhead.value,
		SpeedObservations: min(m.localSpeed.observations, maxObservationWeight), OverheadObservations: min(m.localOverhead.observations, maxObservationWeight),
	}
}

// combineEstimates computes the fleet's estimates from the local one and those of peers.
func (m *engineModel) combineEstimates(peers []EngineEstimate) {
	speed, overhead := newWeightedGeometricMean(initialSpeed), newWeightedGeometricMean(initialOverhead)
	for _, reported := range append(peers, m.localEstimate()) {
		speed.add(reported.Speed, reported.SpeedObservations)
		overhead.add(reported.Overhead, reported.OverheadObservations)
	}
	m.speed, m.overhead = speed.value(), overhead.value()
}

// weightedGeometricMean averages estimates that started at initial, weighted by their
// numbers of observations. Values outside of the bounds of an estimate are invalid and
// ignored.
type weightedGeometricMean struct{ initial, weightedLogs, weight float64 }

func newWeightedGeometricMean(initial float64) weightedGeometricMean {
	return weightedGeometricMean{initial: initial}
}

func (m *weightedGeometricMean) add(value float64, observations int) {
	if value >= m.initial/maxDeviationFactor && value <= m.initial*maxDeviationFactor && observations > 0 {
		weight := float64(min(observations, maxObservationWeight))
		m.weightedLogs += weight * math.Log(value)
		m.weight += weight
	}
}

func (m *weightedGeometricMean) value() float64 {
	if m.weight == 0 {
		return m.initial
	}
	return math.Exp(m.weightedLogs / m.weight)
}

// peerEstimates holds the engine estimates that one peer reported, by service.
type peerEstimates struct {
	receivedAt time.Duration
	byService  map[string]EngineEstimate
}

// localEstimates returns the estimates of this gate, by service.
func (c *Controller) localEstimates() map[string]EngineEstimate {
	if len(c.models) == 0 {
		return nil
	}
	estimates := make(map[string]EngineEstimate, len(c.models))
	for service, model := range c.models {
		estimates[service] = model.localEstimate()
	}
	return estimates
}

// combineEstimates updates the models with the estimates of peers and removes peers
// whose reports have expired.
func (c *Controller) combineEstimates(now time.Duration) {
	maps.DeleteFunc(c.peerEstimates, func(_ string, peer peerEstimates) bool { return now-peer.receivedAt > c.peerReportLifetime })
	for service, model := range c.models {
		var estimates []EngineEstimate
		for _, peer := range c.peerEstimates {
			if reported, found := peer.byService[service]; found {
				estimates = append(estimates, reported)
			}
		}
		model.combineEstimates(estimates)
	}
}

// EngineSummary is the fleet's estimate for the engines of one service.
type EngineSummary struct {
	Service  string
	Speed    float64       // prompt tokens read per millisecond, queueing included
	Overhead time.Duration // time to a first event without a prompt
	Slow     []string      // IDs of targets that are slow by slowdownThreshold, sorted
}

// Engines returns the learned estimates for the engines of each service.
func (c *Controller) Engines() []EngineSummary {
	c.mu.Lock()
	defer c.mu.Unlock()
	engines := make([]EngineSummary, 0, len(c.models))
	for service, model := range c.models {
		engine := EngineSummary{Service: service, Speed: model.speed, Overhead: time.Duration(model.overhead * float64(time.Millisecond))}
		for id := range model.slowdownFactors {
			if model.slowdown(id) > 1 {
				engine.Slow = append(engine.Slow, id)
			}
		}
		slices.Sort(engine.Slow)
		engines = append(engines, engine)
	}
	return engines
}
