package fairness

import (
	"sync"

	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Source is one origin of grow-only sums: an incarnation of an agent, or of a
// relay that adds up a failure domain.
type Source struct {
	Name        string
	Incarnation uint64
}

// Total is the grow-only service of one workspace at one source, in service
// units.
type Total struct {
	Workspace workspace.RowID
	Service   uint64
}

// Ledger keeps the weighted service of each workspace of one pool: what this
// agent produced and what others reported. It is safe for concurrent use.
//
// Reports carry sums since the start of their source, so a lost, late or
// repeated report does no harm: only the growth since the highest sum seen is
// added. The first report of a source sets where its growth is counted from.
type Ledger struct {
	mu      sync.Mutex
	weights map[workspace.RowID]float64
	level   map[workspace.RowID]float64 // weighted service
	own     map[workspace.RowID]uint64
	seen    map[Source]map[workspace.RowID]uint64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		weights: make(map[workspace.RowID]float64),
		level:   make(map[workspace.RowID]float64),
		own:     make(map[workspace.RowID]uint64),
		seen:    make(map[Source]map[workspace.RowID]uint64),
	}
}

// SetWeights replaces the weights. A workspace without one has weight 1.
func (l *Ledger) SetWeights(weights map[workspace.RowID]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.weights = weights
}

// Charge adds service that this agent produced.
func (l *Ledger) Charge(ws workspace.RowID, units int64) {
	if units <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own[ws] += uint64(units)
	l.add(ws, uint64(units))
}

// Merge adds the growth in totals reported by source.
func (l *Ledger) Merge(source Source, totals []Total) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen, known := l.seen[source]
	if !known {
		seen = make(map[workspace.RowID]uint64, len(totals))
		l.seen[source] = seen
	}
	for _, t := range totals {
		before := seen[t.Workspace]
		if t.Service <= before {
			continue
		}
		seen[t.Workspace] = t.Service
		if known {
			l.add(t.Workspace, t.Service-before)
		}
	}
}

// Own returns the service that this agent produced, by workspace.
func (l *Ledger) Own() []Total {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := make([]Total, 0, len(l.own))
	for ws, service := range l.own {
		totals = append(totals, Total{Workspace: ws, Service: service})
	}
	return totals
}

// Level returns the weighted service of ws.
func (l *Ledger) Level(ws workspace.RowID) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.level[ws]
}

// Lift raises the level of ws to floor, so that a workspace brings no savings
// from the time in which it asked for nothing.
func (l *Ledger) Lift(ws workspace.RowID, floor float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.level[ws] = max(l.level[ws], floor)
}

// add adds units to the level of ws. l.mu is held.
func (l *Ledger) add(ws workspace.RowID, units uint64) {
	weight := l.weights[ws]
	if weight <= 0 {
		weight = 1
	}
	l.level[ws] += float64(units) / weight
}
