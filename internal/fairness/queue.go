package fairness

import (
	"container/heap"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// ErrQueueFull marks an offer beyond its workspace's queue limit.
var ErrQueueFull = errors.New("queue of the workspace is full")

// Entry is a waiting offer.
type Entry struct {
	Attempt   request.AttemptID
	Workspace workspace.RowID
	Class     request.Class
	CostHint  int64 // service units, 0: none
}

// Queue holds the waiting offers of one pool at one agent and picks the one of
// the workspace with the least weighted service. Interactive offers go before
// batch offers of the same workspace; offers of one class go in the order of
// their arrival. It is not safe for concurrent use, and a ledger serves one
// queue.
//
// The lines stand in a heap by keys that may lag behind the ledger. Keys grow,
// so that the first line is the least once its own key is up to date; when the
// ledger counts a fall of a key, the heap is built anew.
type Queue struct {
	ledger  *Ledger
	waiting map[workspace.RowID]*line
	heap    lineHeap
	lowered uint64
	size    int
}

// NewQueue returns an empty queue over ledger.
func NewQueue(ledger *Ledger) *Queue {
	return &Queue{ledger: ledger, waiting: make(map[workspace.RowID]*line)}
}

// Push adds e. limit is the workspace's queue limit at this agent.
func (q *Queue) Push(e Entry, limit int) error {
	n := q.LenOf(e.Workspace)
	if n >= limit {
		return errors.Wrapf(ErrQueueFull, "workspace %d has %d offers waiting", e.Workspace, n)
	}
	entry, key := q.ledger.setQueued(e.Workspace, n+1)
	l := q.waiting[e.Workspace]
	if l == nil {
		l = &line{ws: e.Workspace, entry: entry, key: key}
		q.waiting[e.Workspace] = l
		heap.Push(&q.heap, l)
	}
	l.offers[e.Class] = append(l.offers[e.Class], e)
	q.size++
	return nil
}

// Pop removes and returns the next offer for which eligible holds. A nil
// eligible takes any; eligible must not change the queue.
func (q *Queue) Pop(eligible func(Entry) bool) (Entry, bool) {
	e, ok := q.next(eligible)
	if ok {
		q.Remove(e)
	}
	return e, ok
}

// Remove takes e out of the queue and reports whether it was there.
func (q *Queue) Remove(e Entry) bool {
	l := q.waiting[e.Workspace]
	if l == nil || !l.remove(e) {
		return false
	}
	q.size--
	if l.len() == 0 {
		heap.Remove(&q.heap, l.index)
		delete(q.waiting, e.Workspace)
	}
	q.ledger.setQueued(e.Workspace, l.len())
	return true
}

// Len returns the number of waiting offers.
func (q *Queue) Len() int { return q.size }

// LenOf returns the number of waiting offers of ws.
func (q *Queue) LenOf(ws workspace.RowID) int {
	if l := q.waiting[ws]; l != nil {
		return l.len()
	}
	return 0
}

// next returns the offer that Pop takes.
func (q *Queue) next(eligible func(Entry) bool) (Entry, bool) {
	if q.size == 0 {
		return Entry{}, false
	}
	q.settle()
	if e, ok := q.heap[0].first(eligible); ok {
		return e, true
	}
	return q.scan(eligible)
}

// settle brings the least line to the front.
func (q *Queue) settle() {
	q.ledger.mu.Lock()
	defer q.ledger.mu.Unlock()
	if q.lowered != q.ledger.lowered {
		q.rebuild()
		return
	}
	for {
		l := q.heap[0]
		key := q.ledger.key(l.entry)
		if key == l.key {
			return
		}
		l.key = key
		heap.Fix(&q.heap, 0)
	}
}

// rebuild brings all keys up to date. q.ledger.mu is held.
func (q *Queue) rebuild() {
	q.lowered = q.ledger.lowered
	for _, l := range q.heap {
		l.key = q.ledger.key(l.entry)
	}
	heap.Init(&q.heap)
}

// scan looks through all lines.
func (q *Queue) scan(eligible func(Entry) bool) (Entry, bool) {
	q.ledger.mu.Lock()
	q.rebuild()
	q.ledger.mu.Unlock()
	var best *line
	var found Entry
	for _, l := range q.heap {
		if best != nil && !l.before(best) {
			continue
		}
		if e, ok := l.first(eligible); ok {
			best, found = l, e
		}
	}
	return found, best != nil
}

// line is the queue of one workspace, one list per class.
type line struct {
	ws     workspace.RowID
	entry  *entry // of the ledger, which keeps it while offers wait
	offers [2][]Entry
	key    float64 // level when last looked at
	index  int     // in the heap
}

func (l *line) len() int { return len(l.offers[0]) + len(l.offers[1]) }

// before orders lines by level, and by row where levels are equal.
func (l *line) before(other *line) bool {
	if l.key != other.key {
		return l.key < other.key
	}
	return l.ws < other.ws
}

// first returns the first offer for which eligible holds.
func (l *line) first(eligible func(Entry) bool) (Entry, bool) {
	for _, list := range l.offers {
		for _, e := range list {
			if eligible == nil || eligible(e) {
				return e, true
			}
		}
	}
	return Entry{}, false
}

func (l *line) remove(e Entry) bool {
	list := l.offers[e.Class]
	i := slices.IndexFunc(list, func(x Entry) bool { return x.Attempt == e.Attempt })
	if i < 0 {
		return false
	}
	l.offers[e.Class] = slices.Delete(list, i, i+1)
	return true
}

// lineHeap is a heap of lines by key.
type lineHeap []*line

func (h lineHeap) Len() int { return len(h) }

func (h lineHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h lineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *lineHeap) Push(x any) {
	l := x.(*line)
	l.index = len(*h)
	*h = append(*h, l)
}

// Pop implements heap.Interface.
func (h *lineHeap) Pop() any {
	last := len(*h) - 1
	l := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return l
}
