package fairness

import (
	"container/heap"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// ErrQueueFull marks an offer that exceeds its workspace's queue limit.
var ErrQueueFull = errors.New("queue of the workspace is full")

// WaitingOffer is an offer of a request that waits for a slot.
type WaitingOffer struct {
	Attempt   request.AttemptID
	Workspace workspace.RowID
	Class     request.Class
	CostHint  int64 // expected cost in service units, 0: unknown
}

// Queue holds the waiting offers of one pool at one agent and selects the offer of
// the workspace with the lowest expected virtual time. Interactive offers precede
// batch offers of the same workspace; offers of one class are selected in order of
// arrival. A Queue is not safe for concurrent use, and a ledger serves only one queue.
//
// The queues of the workspaces are in a heap, with keys that may lag behind the ledger.
// As keys normally only increase, the head of the heap is the minimum once its own key
// is up to date. When the ledger counts a possible decrease of a key, the heap is
// rebuilt.
type Queue struct {
	ledger       *Ledger
	queues       map[workspace.RowID]*workspaceQueue
	heap         workspaceQueueHeap
	keyDecreases uint64 // Ledger.keyDecreases when the heap was last rebuilt
	size         int
}

// NewQueue returns an empty queue over ledger.
func NewQueue(ledger *Ledger) *Queue {
	return &Queue{ledger: ledger, queues: make(map[workspace.RowID]*workspaceQueue)}
}

// Push adds an offer. limit is the maximum number of offers of the workspace that may
// wait at this agent; above it, Push returns an error marked ErrQueueFull.
func (q *Queue) Push(offer WaitingOffer, limit int) error {
	n := q.LenOf(offer.Workspace)
	if n >= limit {
		return errors.Wrapf(ErrQueueFull, "workspace %d has %d offers waiting", offer.Workspace, n)
	}
	account, key := q.ledger.setQueued(offer.Workspace, n+1)
	w := q.queues[offer.Workspace]
	if w == nil {
		w = &workspaceQueue{workspace: offer.Workspace, account: account, key: key}
		q.queues[offer.Workspace] = w
		heap.Push(&q.heap, w)
	}
	w.offers[offer.Class] = append(w.offers[offer.Class], offer)
	q.size++
	return nil
}

// Pop removes and returns the next offer for which eligible returns true, and whether
// there is one. With a nil eligible, every offer is eligible. The function eligible
// must not change the queue.
func (q *Queue) Pop(eligible func(WaitingOffer) bool) (WaitingOffer, bool) {
	offer, ok := q.findNext(eligible)
	if ok {
		q.Remove(offer)
	}
	return offer, ok
}

// Remove removes an offer, identified by its attempt, and reports whether it was
// present.
func (q *Queue) Remove(offer WaitingOffer) bool {
	w := q.queues[offer.Workspace]
	if w == nil || !w.remove(offer) {
		return false
	}
	q.size--
	if w.len() == 0 {
		heap.Remove(&q.heap, w.heapIndex)
		delete(q.queues, offer.Workspace)
	}
	q.ledger.setQueued(offer.Workspace, w.len())
	return true
}

// Len returns the number of waiting offers.
func (q *Queue) Len() int { return q.size }

// LenOf returns the number of waiting offers of ws.
func (q *Queue) LenOf(ws workspace.RowID) int {
	if w := q.queues[ws]; w != nil {
		return w.len()
	}
	return 0
}

// findNext returns the offer that Pop removes.
func (q *Queue) findNext(eligible func(WaitingOffer) bool) (WaitingOffer, bool) {
	if q.size == 0 {
		return WaitingOffer{}, false
	}
	q.refreshHead()
	if offer, ok := q.heap[0].firstEligible(eligible); ok {
		return offer, true
	}
	return q.findEligible(eligible)
}

// refreshHead updates keys until the workspace with the lowest key is at the head.
func (q *Queue) refreshHead() {
	q.ledger.mu.Lock()
	defer q.ledger.mu.Unlock()
	if q.keyDecreases != q.ledger.keyDecreases {
		q.rebuildHeap()
		return
	}
	for {
		w := q.heap[0]
		key := q.ledger.expectedVirtualTime(w.account)
		if key == w.key {
			return
		}
		w.key = key
		heap.Fix(&q.heap, 0)
	}
}

// rebuildHeap updates all keys and restores the heap order. q.ledger.mu is held.
func (q *Queue) rebuildHeap() {
	q.keyDecreases = q.ledger.keyDecreases
	for _, w := range q.heap {
		w.key = q.ledger.expectedVirtualTime(w.account)
	}
	heap.Init(&q.heap)
}

// findEligible searches the queues of all workspaces, for when the head of the heap
// has no eligible offer.
func (q *Queue) findEligible(eligible func(WaitingOffer) bool) (WaitingOffer, bool) {
	q.ledger.mu.Lock()
	q.rebuildHeap()
	q.ledger.mu.Unlock()
	var first *workspaceQueue
	var found WaitingOffer
	for _, w := range q.heap {
		if first != nil && !w.less(first) {
			continue
		}
		if offer, ok := w.firstEligible(eligible); ok {
			first, found = w, offer
		}
	}
	return found, first != nil
}

// workspaceQueue holds the waiting offers of one workspace, one list per class.
type workspaceQueue struct {
	workspace workspace.RowID
	account   *workspaceAccount // in the ledger, which retains it while offers wait
	offers    [2][]WaitingOffer
	key       float64 // expected virtual time when last updated
	heapIndex int     // in Queue.heap
}

func (w *workspaceQueue) len() int { return len(w.offers[0]) + len(w.offers[1]) }

// less orders queues by key, and by workspace if keys are equal.
func (w *workspaceQueue) less(other *workspaceQueue) bool {
	if w.key != other.key {
		return w.key < other.key
	}
	return w.workspace < other.workspace
}

// firstEligible returns the first offer for which eligible returns true.
func (w *workspaceQueue) firstEligible(eligible func(WaitingOffer) bool) (WaitingOffer, bool) {
	for _, offers := range w.offers {
		for _, offer := range offers {
			if eligible == nil || eligible(offer) {
				return offer, true
			}
		}
	}
	return WaitingOffer{}, false
}

func (w *workspaceQueue) remove(offer WaitingOffer) bool {
	offers := w.offers[offer.Class]
	i := slices.IndexFunc(offers, func(other WaitingOffer) bool { return other.Attempt == offer.Attempt })
	if i < 0 {
		return false
	}
	w.offers[offer.Class] = slices.Delete(offers, i, i+1)
	return true
}

// workspaceQueueHeap is a heap of queues by key.
type workspaceQueueHeap []*workspaceQueue

func (h workspaceQueueHeap) Len() int { return len(h) }

func (h workspaceQueueHeap) Less(i, j int) bool { return h[i].less(h[j]) }

func (h workspaceQueueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *workspaceQueueHeap) Push(x any) {
	w := x.(*workspaceQueue)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *workspaceQueueHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return w
}
