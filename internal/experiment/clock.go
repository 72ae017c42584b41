package experiment

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which each run starts.
var epoch = time.Unix(1_700_000_000, 0).UTC()

// clock runs events in the order of their time, and of their making where the
// times are equal.
type clock struct {
	now    time.Duration
	made   uint64
	events eventHeap
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// time returns the present moment.
func (c *clock) time() time.Time { return epoch.Add(c.now) }

// after runs f once d has passed.
func (c *clock) after(d time.Duration, f func()) {
	c.made++
	heap.Push(&c.events, event{at: c.now + max(d, 0), order: c.made, run: f})
}

// every runs f in each period, first after offset.
func (c *clock) every(offset, period time.Duration, f func()) {
	var step func()
	step = func() {
		f()
		c.after(period, step)
	}
	c.after(offset, step)
}

// run runs the events up to end.
func (c *clock) run(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
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
