package pace

import (
	"math"
	"time"
)

const (
	// observationStep is the weight of an observation in the estimate of a target's own
	// speed. A gate sees about ten first events per second from each engine and seven
	// responses from each plain target, so that a lasting change is learned in two to three
	// seconds; one of 600 ms that no figure announces moves the estimate by a quarter.
	observationStep = 0.06
	// maxWeight is the number of observations from which an estimate has full weight: those
	// that a moving average with observationStep covers.
	maxWeight = 2 / observationStep
	// priorWeight is the weight of the service's mean in an estimate, in observations.
	priorWeight = 3.0
	// loadStep and loadPriorWeight are the same for the deviation in one range of load,
	// which gets a part of the observations only.
	loadStep        = 0.03
	loadPriorWeight = 20.0
	// weightRetention is for how long an estimate keeps its weight without observations;
	// then the weight falls with the time constant weightDecay.
	weightRetention = 2 * time.Second
	weightDecay     = 2 * time.Second
	// paceStep damps stated paces: one statement counts for little more than half.
	paceStep = 0.6
	// paceDecay and paceLifetime age a stated pace. A machine that slows down its targets
	// does so for about 600 ms, so that half of a slowdown is over after 300 ms.
	paceDecay    = 400 * time.Millisecond
	paceLifetime = time.Second
	// recentDecay and recentPriorWeight are for the pace without statements, from the
	// newest observations. A single slow response says little: work takes 15 to 60 ms.
	recentDecay       = 300 * time.Millisecond
	recentPriorWeight = 3.0
	// queueDecay ages a stated queue. Plain targets work off a full one in 100 to 200 ms; in
	// the simulation of shared machines that state their pace, at 0.7 of the capacity, 0.89
	// of the requests are in time with 300 ms and 0.75 with 150 ms.
	queueDecay = 300 * time.Millisecond
	// peerDecay is the time constant of what peers reported. They report each target about
	// once per second.
	peerDecay = 2 * time.Second
	// peerWeight is the weight of a peer's report, so that successive reports of the
	// same observations together count about once.
	peerWeight = 0.5
	// maxLogRatio bounds a single residual, so that an outlier, such as a response that the
	// gate itself read late, counts as a factor of four.
	maxLogRatio = 1.4
	// maxLogEstimate bounds all estimates of a target together, a factor of 16.
	maxLogEstimate = 2.8
	// loadRanges is the number of ranges of load, by quarters of the slots.
	loadRanges = 4
	// meanRanges is the number of ranges of load that have mean times of their own.
	meanRanges = 16
	// slowdownAtLoad is the logarithm of the slowdown, relative to the other targets at the
	// same load, from which a target counts as slowed down by its load: 1.25.
	slowdownAtLoad = 0.223
)

// estimate is a moving average of logarithms and its weight in observations.
type estimate struct{ log, weight float64 }

// add moves the estimate by a residual of a weight up to 1. Its weight is at most the number of observations that
// a moving average with minStep covers.
func (e *estimate) add(residual, minStep, weight float64) {
	e.weight = min(e.weight+weight, 2/minStep)
	e.log += weight * max(minStep, 1/(e.weight+1)) * residual
}

// targetState is what is known of one run of a target.
type targetState struct {
	started    int64 // of the target, Unix milliseconds
	own        estimate
	observedAt time.Duration
	byLoad     [loadRanges]estimate
	// recent is the weighted sum of the newest residuals, as of observedAt.
	recentSum, recentWeight float64
	// pace is the logarithm of the stated pace, damped, as of paceAt.
	pace    float64
	paceAt  time.Duration
	hasPace bool
	// stated is the newest statement, at statedAt, when this gate had localInFlight other
	// requests at the target.
	stated        Statement
	statedAt      time.Duration
	localInFlight int
	// peerSum and peerWeight are the sums of what peers reported, as of peersAt.
	peerSum, peerWeight float64
	peersAt             time.Duration
	// ratio is the combined logarithm of the relative service time, and weight the number
	// of observations of all gates behind it, as of the last refresh.
	ratio, weight float64
	// lasting is the average of ratio over lastingDecay.
	lasting float64
}

// ownWeight returns the weight of the gate's own observations.
func (t *targetState) ownWeight(now time.Duration) float64 {
	return t.own.weight * decayFactor(now-t.observedAt-weightRetention, weightDecay)
}

// decayFactor returns the fraction that is left after an age; 1 for a negative age.
func decayFactor(age, constant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(constant))
}

// observe moves the estimates by the residual of an observation, without the stated pace.
func (t *targetState) observe(now time.Duration, weight float64, loadRange int, residual float64) {
	t.own.weight = t.ownWeight(now)
	recentDecayed := decayFactor(now-t.observedAt, recentDecay)
	t.recentSum, t.recentWeight = t.recentSum*recentDecayed+weight*residual, t.recentWeight*recentDecayed+weight
	t.observedAt = now
	before := t.own.log
	t.own.add(residual, observationStep, weight)
	deviation := &t.byLoad[loadRange]
	deviation.add(residual-(t.own.log-before)-deviation.log, loadStep, weight)
}

// state records a statement.
func (t *targetState) state(now time.Duration, s Statement, localInFlight int) {
	t.stated, t.statedAt, t.localInFlight = s, now, localInFlight
	if s.Pace > 0 {
		current := t.statedPace(now)
		t.pace, t.paceAt, t.hasPace = current+paceStep*(math.Log(s.Pace)-current), now, true
	}
}

// statedPace returns the logarithm of the stated pace, aged.
func (t *targetState) statedPace(now time.Duration) float64 {
	age := now - t.paceAt
	if !t.hasPace || age > paceLifetime {
		return 0
	}
	return t.pace * decayFactor(age, paceDecay)
}

// present returns the logarithm of the present pace relative to the target's own speed.
func (t *targetState) present(now time.Duration) float64 {
	if t.hasPace && now-t.paceAt <= paceLifetime {
		return t.statedPace(now)
	}
	if age := now - t.observedAt; age <= paceLifetime {
		decayed := decayFactor(age, recentDecay)
		return t.recentSum * decayed / (t.recentWeight*decayed + recentPriorWeight)
	}
	return 0
}

// atLoad returns the logarithm of the deviation in a range of load.
func (t *targetState) atLoad(loadRange int) float64 {
	e := &t.byLoad[loadRange]
	return e.log * e.weight / (e.weight + loadPriorWeight) * min(1, t.weight/maxWeight)
}

// rangeOf returns which of n ranges a load, relative to the slots, falls into.
func rangeOf(load float64, n int) int { return min(max(int(load*float64(n)), 0), n-1) }
