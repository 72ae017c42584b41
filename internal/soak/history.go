package soak

import (
	"sync"
	"time"
)

// Subject is what an entry of the history is about. Index is a gate or a target;
// it is 0 where there is only one.
type Subject struct {
	What  Part
	Index int
}

// Part is a part of the deployment that can be in trouble.
type Part string

// Parts. A gate that stops as planned is no trouble of PartGate.
const (
	PartGate       Part = "gate" // killed, paused, not up
	PartStop       Part = "stop" // from SIGTERM to the end
	PartCallerLink Part = "caller-link"
	PartStoreLink  Part = "store-link"
	PartTarget     Part = "target" // or its link
	PartStore      Part = "store"
	PartTable      Part = "table" // a change that not all gates may know yet
)

// span is a time in which a subject was in trouble; to is zero while it is.
type span struct {
	from, to time.Time
}

// History is when what was in trouble.
type History struct {
	mu    sync.Mutex
	spans map[Subject][]*span
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{spans: make(map[Subject][]*span)} }

// Begin notes the begin of a trouble; the function that it returns ends it.
func (h *History) Begin(s Subject) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	one := &span{from: time.Now()}
	h.spans[s] = append(h.spans[s], one)
	return sync.OnceFunc(func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		one.to = time.Now()
	})
}

// Calm reports whether a subject had no trouble between from and to.
func (h *History) Calm(s Subject, from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, one := range h.spans[s] {
		if one.from.Before(to) && (one.to.IsZero() || one.to.After(from)) {
			return false
		}
	}
	return true
}

// AllCalm reports whether no subject of a part had trouble between from and to.
func (h *History) AllCalm(what Part, from, to time.Time) bool {
	h.mu.Lock()
	subjects := make([]Subject, 0, len(h.spans))
	for s := range h.spans {
		subjects = append(subjects, s)
	}
	h.mu.Unlock()
	for _, s := range subjects {
		if s.What == what && !h.Calm(s, from, to) {
			return false
		}
	}
	return true
}
