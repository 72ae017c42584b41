package soak

import (
	"sync"
	"time"
)

// Subject is a component of the deployment. Index selects a gate or a target; it is 0
// where there is only one.
type Subject struct {
	Part  Part
	Index int
}

// Part is a kind of component or operation that can disrupt calls.
type Part string

// Parts. A planned stop of a gate is not a disruption of PartGate.
const (
	PartGate        Part = "gate" // killed, paused or down
	PartPlannedStop Part = "stop" // from SIGTERM to the exit
	PartCallerLink  Part = "caller-link"
	PartStoreLink   Part = "store-link"
	PartTarget      Part = "target" // the target or its link
	PartStore       Part = "store"
	// PartRequestLimit is a target that names a request limit.
	PartRequestLimit Part = "request-limit"
	// PartEvacuation is an evacuated failure domain.
	PartEvacuation  Part = "evacuation"
	PartTableChange Part = "table" // a change that some gates may not have applied yet
)

// interval is a time in which a subject was disrupted; to is zero while it lasts.
type interval struct {
	from, to time.Time
}

// History records when each subject was disrupted: by faults, planned stops or table
// changes.
type History struct {
	mu        sync.Mutex
	intervals map[Subject][]*interval
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{intervals: make(map[Subject][]*interval)} }

// BeginDisruption records the start of a disruption. The returned function ends it.
func (h *History) BeginDisruption(s Subject) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	iv := &interval{from: time.Now()}
	h.intervals[s] = append(h.intervals[s], iv)
	return sync.OnceFunc(func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		iv.to = time.Now()
	})
}

// Undisrupted reports whether a subject had no disruption between from and to.
func (h *History) Undisrupted(s Subject, from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, iv := range h.intervals[s] {
		if iv.from.Before(to) && (iv.to.IsZero() || iv.to.After(from)) {
			return false
		}
	}
	return true
}

// AllUndisrupted reports whether no subject of a part had a disruption between from
// and to.
func (h *History) AllUndisrupted(part Part, from, to time.Time) bool {
	h.mu.Lock()
	subjects := make([]Subject, 0, len(h.intervals))
	for s := range h.intervals {
		subjects = append(subjects, s)
	}
	h.mu.Unlock()
	for _, s := range subjects {
		if s.Part == part && !h.Undisrupted(s, from, to) {
			return false
		}
	}
	return true
}
