package fairness

import (
	"github.com/mastichollow/mastichollow/internal/fairness/source"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// entry is what a ledger knows of one workspace.
type entry struct {
	ws     workspace.RowID
	weight float64
	limit  int     // running requests over the fleet, 0: none
	level  float64 // weighted service, this agent's and the others'

	own      uint64 // service units produced here
	running  uint32 // requests running here
	reported uint32 // requests running here at the last report
	queued   uint32 // offers waiting here
	expected int64  // service units hinted and not yet charged

	// uncredited is own service that has not come back yet in the sums of
	// the source that contains it; aging is the part from before the last
	// turn of creditWindow.
	uncredited, aging uint64

	elsewhere source.Gauges // sums over the sources without this agent
	around    source.Gauges // of the source that contains this agent, others' running

	index int // in the heap of the backlogged, -1: not backlogged
}

// fleetRunning returns the requests known to run in the fleet.
func (e *entry) fleetRunning() uint32 {
	return e.elsewhere.Running + e.around.Running + e.running
}

// backlogged reports whether offers wait anywhere that may be granted.
func (e *entry) backlogged() bool {
	if e.queued == 0 && e.around.Queued == 0 && e.elsewhere.Queued == 0 {
		return false
	}
	return e.limit <= 0 || e.fleetRunning() < uint32(e.limit)
}

// credit takes from growth what this agent has counted already and returns the
// rest.
func (e *entry) credit(growth uint64) uint64 {
	own := min(growth, e.uncredited)
	e.uncredited -= own
	e.aging -= min(e.aging, own)
	return growth - own
}

// age gives up own service that should have come back long ago.
func (e *entry) age() {
	e.uncredited -= e.aging
	e.aging = e.uncredited
}

// activeHeap is a heap of the backlogged workspaces by level.
type activeHeap []*entry

func (h activeHeap) Len() int { return len(h) }

func (h activeHeap) Less(i, j int) bool { return h[i].level < h[j].level }

func (h activeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *activeHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *activeHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	e.index = -1
	return e
}
