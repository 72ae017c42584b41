package fairness

import (
	"container/heap"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/fairness/source"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Ledger keeps the weighted service of each workspace of one pool: what this
// agent produced and what others reported. It is safe for concurrent use.
//
// Its memory is bounded by the rows of the table, once SetWeights has named
// them, and by the sources heard within source.Retention.
type Ledger struct {
	mu       sync.Mutex
	settings Settings
	rows     map[workspace.RowID]*entry
	weights  map[workspace.RowID]float64 // nil: no table yet
	caps     map[workspace.RowID]int
	sources  source.Set
	active   activeHeap
	floor    float64   // least level of the backlogged, never falls
	now      time.Time // time of the newest update
	turned   time.Time // when uncredited service was aged last
	costs    costMean  // of the requests that ended here
	lowered  uint64    // counts falls of a key, see Queue
}

// Settings of a Ledger.
type Settings struct {
	// Own is the name of the source that contains this agent's own service,
	// such as its failure domain. Empty: no source does.
	Own string
	// Estimate says how the cost of running requests is foreseen.
	Estimate Estimate
}

// NewLedger returns an empty ledger with default settings.
func NewLedger() *Ledger { return NewLedgerWith(Settings{}) }

// NewLedgerWith returns an empty ledger.
func NewLedgerWith(s Settings) *Ledger {
	return &Ledger{
		settings: s,
		rows:     make(map[workspace.RowID]*entry),
		sources:  make(source.Set),
	}
}

// SetWeights replaces the weights. A workspace without one has weight 1, and
// its memory is given up once it has nothing waiting or running.
func (l *Ledger) SetWeights(weights map[workspace.RowID]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.weights = weights
	for _, e := range l.rows {
		e.weight = l.weightOf(e.ws)
	}
	l.lowered++
	l.prune()
}

// SetCaps replaces the limits of running requests over the fleet. A workspace
// without one, or with 0, has none.
func (l *Ledger) SetCaps(caps map[workspace.RowID]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.caps = caps
	for _, e := range l.rows {
		e.limit = caps[e.ws]
		l.refresh(e)
	}
}

// Charge adds service that this agent produced.
func (l *Ledger) Charge(ws workspace.RowID, units int64) {
	if units <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.charge(l.entry(ws), uint64(units))
}

// Own returns what this agent reports: the service that this agent produced, by workspace, and the
// requests that it runs. Waiting requests are the caller's to add, since one
// request may wait at several agents and has to be reported by one of them.
func (l *Ledger) Own() []Total {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := make([]Total, 0, len(l.rows))
	for ws, e := range l.rows {
		e.reported = e.running
		if e.own > 0 || e.running > 0 {
			totals = append(totals, Total{Workspace: ws, Service: e.own, Running: e.running})
		}
	}
	return totals
}

// Level returns the weighted service of ws, with what its running requests are
// foreseen to cost.
func (l *Ledger) Level(ws workspace.RowID) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.rows[ws]; e != nil {
		return l.key(e)
	}
	return 0
}

// Floor returns the least level among the workspaces backlogged in the fleet.
func (l *Ledger) Floor() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.raiseFloor()
	return l.floor
}

// Backlogged reports whether ws waits for slots anywhere in the fleet.
func (l *Ledger) Backlogged(ws workspace.RowID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.rows[ws]
	return e != nil && e.index >= 0
}

// Lift raises the level of ws to floor.
func (l *Ledger) Lift(ws workspace.RowID, floor float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lift(l.entry(ws), floor)
}

// key orders the waiting workspaces. l.mu is held.
func (l *Ledger) key(e *entry) float64 {
	switch l.settings.Estimate {
	case EstimateCount:
		return e.level + l.costs.value()*float64(e.fleetRunning())/e.weight
	case EstimateHint:
		return e.level + float64(e.expected)/e.weight
	default:
		return e.level
	}
}

// setQueued records that n offers of ws wait here and returns the entry with
// its key.
func (l *Ledger) setQueued(ws workspace.RowID, n int) (*entry, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(ws)
	e.queued = uint32(n)
	l.refresh(e)
	return e, l.key(e)
}

// charge adds own service. l.mu is held.
func (l *Ledger) charge(e *entry, units uint64) {
	e.own += units
	if l.settings.Own != "" {
		e.uncredited += units
	}
	l.grow(e, units)
}

// grow adds units to the level of e. l.mu is held.
func (l *Ledger) grow(e *entry, units uint64) {
	e.level += float64(units) / e.weight
	l.reorder(e)
}

// lift raises the level of e to floor. l.mu is held.
func (l *Ledger) lift(e *entry, floor float64) {
	if e.level >= floor {
		return
	}
	e.level = floor
	l.reorder(e)
}

// reorder restores the order of the backlogged after a change of e's level.
// l.mu is held.
func (l *Ledger) reorder(e *entry) {
	if e.index >= 0 {
		heap.Fix(&l.active, e.index)
	}
}

// refresh notes whether e is backlogged and lifts it when it has become so.
// l.mu is held.
func (l *Ledger) refresh(e *entry) {
	backlogged := e.backlogged()
	if backlogged == (e.index >= 0) {
		return
	}
	l.raiseFloor()
	if !backlogged {
		heap.Remove(&l.active, e.index)
		return
	}
	l.lift(e, l.floor)
	heap.Push(&l.active, e)
}

// raiseFloor brings the floor up to date. l.mu is held.
func (l *Ledger) raiseFloor() {
	if len(l.active) > 0 {
		l.floor = max(l.floor, l.active[0].level)
	}
}

// entry returns the entry of ws and makes it if needed. l.mu is held.
func (l *Ledger) entry(ws workspace.RowID) *entry {
	e := l.rows[ws]
	if e == nil {
		e = &entry{ws: ws, weight: l.weightOf(ws), limit: l.caps[ws], index: -1}
		l.rows[ws] = e
	}
	return e
}

// weightOf returns the weight of ws. l.mu is held.
func (l *Ledger) weightOf(ws workspace.RowID) float64 {
	if w := l.weights[ws]; w > 0 {
		return w
	}
	return 1
}

// prune forgets the workspaces that are not in the table and have nothing
// waiting or running. l.mu is held.
func (l *Ledger) prune() {
	for ws, e := range l.rows {
		if _, listed := l.weights[ws]; listed || e.index >= 0 || e.running > 0 || e.queued > 0 {
			continue
		}
		delete(l.rows, ws)
		l.sources.ForgetRow(ws)
	}
}
