package admission

import (
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/target"
)

const (
	// minEjection and maxEjection bound how long a target that is unreachable or fails
	// too often is ejected. The duration doubles each time. The maximum is about the
	// time until the platform drops an unresponsive target (3 report intervals of 1.2 s).
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// failureRateWeight is the weight of the newest result in the failure rate, an
	// exponential moving average over about the last 16 results.
	failureRateWeight = 1.0 / 16
	// outlierFailureRate is the failure rate from which a target may be ejected. A
	// healthy target stays far below: plain services by themselves fail up to 14 in 100
	// requests.
	outlierFailureRate = 0.35
	// outlierFactor is the minimum ratio of an outlier's failure rate to its service's
	// mean. When all targets of a service fail alike, ejecting some helps nobody.
	outlierFactor = 2.0
	// maxEjectedFraction is the fraction of a service's targets up to which ejections
	// are respected.
	maxEjectedFraction = 0.5
)

// health tracks which targets fail, from the results of requests alone. Health probes
// are billed, and may pass on a failing target or fail on a healthy one.
type health struct {
	targets map[string]*targetHealth // by target ID
}

type targetHealth struct {
	failureRate  float64       // moving average, 0 to 1
	lastEjection time.Duration // how long the last ejection was; 0: none, or healthy since
	ejectedUntil time.Duration
}

func newHealth() *health { return &health{targets: make(map[string]*targetHealth)} }

func (h *health) stateOf(id string) *targetHealth {
	t := h.targets[id]
	if t == nil {
		t = &targetHealth{}
		h.targets[id] = t
	}
	return t
}

// usable reports whether the target is not ejected.
func (h *health) usable(now time.Duration, id string) bool {
	t := h.targets[id]
	return t == nil || now >= t.ejectedUntil
}

// countEjected returns how many of the targets in regions are ejected.
func (h *health) countEjected(now time.Duration, regions target.RegionSet, targets []target.Instance) int {
	ejected := 0
	for id, t := range h.targets {
		if now < t.ejectedUntil && slices.ContainsFunc(targets, func(instance target.Instance) bool { return instance.ID == id && regions.Contains(instance.Region) }) {
			ejected++
		}
	}
	return ejected
}

// recordSuccess records a response that is not a failure of the target.
func (h *health) recordSuccess(id string) {
	t := h.targets[id]
	if t == nil {
		return // no failure recorded for the target
	}
	t.failureRate *= 1 - failureRateWeight
	if t.failureRate < outlierFailureRate/2 {
		t.lastEjection = 0
	}
}

// recordUnreachable ejects a target to which no connection could be made.
func (h *health) recordUnreachable(now time.Duration, id string) {
	h.eject(now, h.stateOf(id))
}

// recordMisdirected ejects a target whose address now belongs to another target, for
// maxEjection since the platform's list does not show the change yet.
func (h *health) recordMisdirected(now time.Duration, id string) {
	t := h.stateOf(id)
	t.lastEjection = maxEjection
	t.ejectedUntil = now + maxEjection
}

// recordFailure records a lost or corrupt response or a failure of the target itself. The
// argument meanRate is the mean failure rate of the target's service. It reports whether
// the target is now ejected.
func (h *health) recordFailure(now time.Duration, id string, meanRate float64) bool {
	t := h.stateOf(id)
	t.failureRate += (1 - t.failureRate) * failureRateWeight
	if t.failureRate < outlierFailureRate || t.failureRate < outlierFactor*meanRate || now < t.ejectedUntil {
		return false
	}
	h.eject(now, t)
	return true
}

func (h *health) eject(now time.Duration, t *targetHealth) {
	if now < t.ejectedUntil {
		return
	}
	t.lastEjection = min(max(minEjection, 2*t.lastEjection), maxEjection)
	t.ejectedUntil = now + t.lastEjection
}

// meanFailureRate returns the mean failure rate of targets.
func (h *health) meanFailureRate(targets []target.Instance) float64 {
	if len(targets) == 0 {
		return 0
	}
	total := 0.0
	for i := range targets {
		if t := h.targets[targets[i].ID]; t != nil {
			total += t.failureRate
		}
	}
	return total / float64(len(targets))
}

// retain removes the state of targets for which live returns false.
func (h *health) retain(live func(id string) bool) {
	for id := range h.targets {
		if !live(id) {
			delete(h.targets, id)
		}
	}
}
