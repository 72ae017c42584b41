package admission

import (
	"math"
	"time"
)

const (
	// initialSpeed (prompt tokens per millisecond) and initialOverhead (milliseconds to
	// a first event without a prompt) are used until there are observations. They come
	// from the deployment specifications of the first two users.
	initialSpeed    = 48.2
	initialOverhead = 25.0
	// shortPromptTokens is the prompt length below which the time to a first event gives
	// the overhead: reading such a prompt takes one step or less.
	shortPromptTokens = 500
	// longPromptTokens is the prompt length from which the time to a first event gives
	// the speed.
	longPromptTokens = 3000
	// minEstimateStep is the relative change of an estimate per observation. An estimate
	// that is off by a factor of two is corrected after 35 observations.
	minEstimateStep = 0.02
	// initialEstimateStep is the relative change by the first observation. It falls with
	// the square root of the number of observations, down to minEstimateStep.
	initialEstimateStep = 0.3
	// maxObservationWeight is the number of observations from which a gate's estimates
	// have full weight in the fleet's.
	maxObservationWeight = 50
	// maxDeviationFactor bounds the ratio between an estimate and its initial value.
	maxDeviationFactor = 16
	// slowdownStep is the relative change of a target's slowdown factor per observation.
	// A gate sees about ten first events per second from each target, and callers wait
	// for about a second.
	slowdownStep = 0.1
	// slowdownThreshold is the slowdown factor above which a target counts as slow,
	// relative to its service's model. Healthy targets differ by their load.
	slowdownThreshold = 1.5
	// maxSlowdown bounds the slowdown factor, so that a target that recovers counts as
	// healthy after about thirty first events.
	maxSlowdown = 16
)

// estimate is a running median: an outlier moves it no further than any other
// observation.
type estimate struct {
	value, initial float64
	observations   int
}

// observe moves the estimate one step towards a sample.
func (e *estimate) observe(sample float64) {
	e.observations++
	step := max(minEstimateStep, initialEstimateStep/math.Sqrt(float64(e.observations)))
	if sample < e.value {
		step = -step
	}
	e.value = min(max(e.value*math.Exp(step), e.initial/maxDeviationFactor), e.initial*maxDeviationFactor)
}

// engineModel estimates how fast the engines of one service read prompts, queueing
// included, from the times to first events that this gate sees. Admission limits use the
// estimates of all gates, so that a gate that has just started, or that sees other
// requests, admits its callers by the same estimates.
type engineModel struct {
	localOverhead, localSpeed estimate
	// overhead (milliseconds) and speed (tokens per millisecond) combine the estimates
	// of all gates.
	overhead, speed float64
	// slowdownFactors holds, by target ID, the ratio of the observed to the modeled
	// time.
	slowdownFactors map[string]float64
}

func newEngineModel() *engineModel {
	return &engineModel{
		localOverhead: estimate{value: initialOverhead, initial: initialOverhead},
		localSpeed:    estimate{value: initialSpeed, initial: initialSpeed},
		overhead:      initialOverhead, speed: initialSpeed, slowdownFactors: make(map[string]float64),
	}
}

// observe records the time to the first event of a request, and the number of prompt
// tokens that the target had to read before it, the request's own included.
func (m *engineModel) observe(id string, promptTokens int, toFirstEvent time.Duration) {
	ms := toFirstEvent.Seconds() * 1000
	m.updateSlowdown(id, ms/(m.overhead+float64(promptTokens)/m.speed))
	switch {
	case promptTokens < shortPromptTokens:
		m.localOverhead.observe(ms)
	case promptTokens >= longPromptTokens:
		m.localSpeed.observe(float64(promptTokens) / max(ms-m.overhead, 1))
	}
}

// updateSlowdown moves the slowdown factor of a target one step towards a sample.
func (m *engineModel) updateSlowdown(id string, sample float64) {
	factor, known := m.slowdownFactors[id]
	if !known {
		factor = 1
	}
	step := slowdownStep
	if sample < factor {
		step = -slowdownStep
	}
	m.slowdownFactors[id] = min(max(factor*math.Exp(step), 1/slowdownThreshold), maxSlowdown)
}

// slowdown returns the slowdown factor of a target, or 1 if it is not slow.
func (m *engineModel) slowdown(id string) float64 {
	if factor := m.slowdownFactors[id]; factor > slowdownThreshold {
		return factor
	}
	return 1
}

// readableTokens returns the number of prompt tokens that a target reads in a fraction
// of a duration.
func (m *engineModel) readableTokens(id string, fraction float64, duration time.Duration) int {
	return int(fraction * duration.Seconds() * 1000 * m.speed / m.slowdown(id))
}

// tokensIn is the same for a target of mean speed.
func (m *engineModel) tokensIn(fraction float64, duration time.Duration) int {
	return int(fraction * duration.Seconds() * 1000 * m.speed)
}
