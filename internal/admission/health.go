package admission

import (
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/target"
)

const (
	// firstEjection and longestEjection bound how long a target that cannot be
	// reached or fails too often is left out; it doubles each time. The longest
	// is about the time until the platform drops a silent target (3 reports of
	// 1.2 s).
	firstEjection   = 500 * time.Millisecond
	longestEjection = 4 * time.Second
	// failureMemory is the weight of the newest result in the failure rate:
	// about the last 16 results count.
	failureMemory = 1.0 / 16
	// outlierRate is the failure rate from which a target may be left out. A
	// sound one stays far below: plain services fail up to 14 in 100 requests
	// of their own accord.
	outlierRate = 0.35
	// outlierFactor is how much worse than its service's mean an outlier must
	// be; when all copies fail alike, leaving some out helps nobody.
	outlierFactor = 2.0
	// maxEjectedShare of a service's targets are left out at once.
	maxEjectedShare = 0.5
)

// health knows which targets fail, from the results of requests alone: health
// probes are paid for, and their answers may be wrong either way.
type health struct {
	targets map[string]*targetHealth
}

type targetHealth struct {
	failures float64 // rate, 0 to 1
	ejected  time.Duration
	until    time.Duration
}

func newHealth() *health { return &health{targets: make(map[string]*targetHealth)} }

func (h *health) of(id string) *targetHealth {
	t := h.targets[id]
	if t == nil {
		t = &targetHealth{}
		h.targets[id] = t
	}
	return t
}

// usable reports whether the target may be given a request.
func (h *health) usable(now time.Duration, id string) bool {
	t := h.targets[id]
	return t == nil || now >= t.until
}

// leftOut returns how many of targets are left out.
func (h *health) leftOut(now time.Duration, targets []target.Instance) int {
	out := 0
	for id, t := range h.targets {
		if now < t.until && slices.ContainsFunc(targets, func(in target.Instance) bool { return in.ID == id }) {
			out++
		}
	}
	return out
}

// succeeded notes an answer of any kind that the target meant to give.
func (h *health) succeeded(id string) {
	t := h.targets[id]
	if t == nil {
		return // nothing ever failed there
	}
	t.failures *= 1 - failureMemory
	if t.failures < outlierRate/2 {
		t.ejected = 0
	}
}

// unreachable notes that no connection could be made.
func (h *health) unreachable(now time.Duration, id string) {
	h.eject(now, h.of(id))
}

// gone notes that another target has the address. Until the platform's list says
// so too, the one meant is left out as long as may be.
func (h *health) gone(now time.Duration, id string) {
	t := h.of(id)
	t.ejected = longestEjection
	t.until = now + longestEjection
}

// failed notes a lost or spoilt answer, or a failure of the target's own. mean
// is the failure rate of its service. It reports whether the target is left out
// from now on.
func (h *health) failed(now time.Duration, id string, mean float64) bool {
	t := h.of(id)
	t.failures += (1 - t.failures) * failureMemory
	if t.failures < outlierRate || t.failures < outlierFactor*mean || now < t.until {
		return false
	}
	h.eject(now, t)
	return true
}

func (h *health) eject(now time.Duration, t *targetHealth) {
	if now < t.until {
		return
	}
	t.ejected = min(max(firstEjection, 2*t.ejected), longestEjection)
	t.until = now + t.ejected
}

// mean returns the mean failure rate of targets.
func (h *health) mean(targets []target.Instance) float64 {
	if len(targets) == 0 {
		return 0
	}
	sum := 0.0
	for i := range targets {
		if t := h.targets[targets[i].ID]; t != nil {
			sum += t.failures
		}
	}
	return sum / float64(len(targets))
}

// keep forgets all targets but those that live.
func (h *health) keep(live func(id string) bool) {
	for id := range h.targets {
		if !live(id) {
			delete(h.targets, id)
		}
	}
}
