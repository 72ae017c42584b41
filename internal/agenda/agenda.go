// Package agenda runs events in virtual time for models: the same events run in the
// same order on each run.
package agenda

import (
	"container/heap"
	"time"
)

// Agenda runs events in the order of their time, and of their making where the
// times are equal. The zero value is empty, at moment 0.
type Agenda struct {
	now    time.Duration
	made   uint64
	events eventHeap
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// Now returns the present moment.
func (a *Agenda) Now() time.Duration { return a.now }

// After runs f once d has passed.
func (a *Agenda) After(d time.Duration, f func()) {
	a.made++
	heap.Push(&a.events, event{at: a.now + max(d, 0), order: a.made, run: f})
}

// Every runs f in each period, first after offset.
func (a *Agenda) Every(offset, period time.Duration, f func()) {
	var step func()
	step = func() {
		f()
		a.After(period, step)
	}
	a.After(offset, step)
}

// Run runs the events up to end.
func (a *Agenda) Run(end time.Duration) {
	for len(a.events) > 0 && a.events[0].at <= end {
		a.next()
	}
	a.now = end
}

// Drain runs events until none is left.
func (a *Agenda) Drain() {
	for len(a.events) > 0 {
		a.next()
	}
}

func (a *Agenda) next() {
	e := heap.Pop(&a.events).(event)
	a.now = e.at
	e.run()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
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
