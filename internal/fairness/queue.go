package fairness

import (
	"math"
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
// their arrival. It is not safe for concurrent use.
type Queue struct {
	ledger  *Ledger
	waiting map[workspace.RowID]*line
	size    int
}

// line is the queue of one workspace, one list per class.
type line [2][]Entry

// NewQueue returns an empty queue over ledger.
func NewQueue(ledger *Ledger) *Queue {
	return &Queue{ledger: ledger, waiting: make(map[workspace.RowID]*line)}
}

// Push adds e. limit is the workspace's queue limit at this agent.
func (q *Queue) Push(e Entry, limit int) error {
	l := q.waiting[e.Workspace]
	if l == nil {
		q.ledger.Lift(e.Workspace, q.floor())
		l = new(line)
		q.waiting[e.Workspace] = l
	}
	if l.len() >= limit {
		if l.len() == 0 {
			delete(q.waiting, e.Workspace)
		}
		return errors.Wrapf(ErrQueueFull, "workspace %d has %d offers waiting", e.Workspace, l.len())
	}
	l[e.Class] = append(l[e.Class], e)
	q.size++
	return nil
}

// Pop removes and returns the next offer for which eligible holds. A nil
// eligible takes any.
func (q *Queue) Pop(eligible func(Entry) bool) (Entry, bool) {
	best, found := Entry{}, false
	bestLevel := math.Inf(1)
	for ws, l := range q.waiting {
		e, ok := l.first(eligible)
		if !ok {
			continue
		}
		level := q.ledger.Level(ws)
		if level < bestLevel || (level == bestLevel && ws < best.Workspace) {
			best, bestLevel, found = e, level, true
		}
	}
	if found {
		q.Remove(best)
	}
	return best, found
}

// Remove takes e out of the queue and reports whether it was there.
func (q *Queue) Remove(e Entry) bool {
	l := q.waiting[e.Workspace]
	if l == nil {
		return false
	}
	i := slices.IndexFunc(l[e.Class], func(x Entry) bool { return x.Attempt == e.Attempt })
	if i < 0 {
		return false
	}
	l[e.Class] = slices.Delete(l[e.Class], i, i+1)
	q.size--
	if l.len() == 0 {
		delete(q.waiting, e.Workspace)
	}
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

// floor returns the least level among the workspaces that wait, or 0.
func (q *Queue) floor() float64 {
	least := math.Inf(1)
	for ws := range q.waiting {
		least = min(least, q.ledger.Level(ws))
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

func (l *line) len() int { return len(l[request.ClassInteractive]) + len(l[request.ClassBatch]) }

// first returns the first offer for which eligible holds.
func (l *line) first(eligible func(Entry) bool) (Entry, bool) {
	for _, list := range l {
		for _, e := range list {
			if eligible == nil || eligible(e) {
				return e, true
			}
		}
	}
	return Entry{}, false
}
