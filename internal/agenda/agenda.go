// Package agenda schedules events in virtual time for discrete-event simulations. The
// order of events is deterministic.
package agenda

import (
	"container/heap"
	"time"
)

// Scheduler runs events in the order of their time, and events of equal time in the order
// of their creation. The zero value has no events and is at time 0.
type Scheduler struct {
	now     time.Duration
	created uint64
	events  eventHeap
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// Now returns the current virtual time.
func (s *Scheduler) Now() time.Duration { return s.now }

// After schedules f to run after d; a negative d counts as 0.
func (s *Scheduler) After(d time.Duration, f func()) {
	s.created++
	heap.Push(&s.events, event{at: s.now + max(d, 0), sequence: s.created, run: f})
}

// Every schedules f to run after offset and then every period.
func (s *Scheduler) Every(offset, period time.Duration, f func()) {
	var step func()
	step = func() {
		f()
		s.After(period, step)
	}
	s.After(offset, step)
}

// Run runs the events up to and including time end and sets the time to end.
func (s *Scheduler) Run(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		s.next()
	}
	s.now = end
}

// Drain runs events until none is left. It does not return if there are events of Every.
func (s *Scheduler) Drain() {
	for len(s.events) > 0 {
		s.next()
	}
}

func (s *Scheduler) next() {
	e := heap.Pop(&s.events).(event)
	s.now = e.at
	e.run()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
