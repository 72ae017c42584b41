package fairness

import "github.com/mastichollow/mastichollow/internal/workspace"

// Running is the account of one granted request.
type Running struct {
	ledger   *Ledger
	ws       workspace.RowID
	expected int64 // service units hinted and not yet charged
	charged  int64
	closed   bool
}

// Start opens the account of a request that was granted: until it ends, what
// it is foreseen to cost counts in the order of the queue. hint is in service
// units, 0: none.
func (l *Ledger) Start(ws workspace.RowID, hint int64) *Running {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(ws)
	r := &Running{ledger: l, ws: ws, expected: max(hint, 0)}
	e.expected += r.expected
	e.running++
	l.refresh(e)
	return r
}

// Charge adds service that the request has produced.
func (r *Running) Charge(units int64) {
	if units <= 0 {
		return
	}
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	e := r.ledger.entry(r.ws)
	foreseen := min(units, r.expected)
	r.expected -= foreseen
	e.expected -= foreseen
	r.charged += units
	r.ledger.charge(e, uint64(units))
}

// Finish closes the account of a request that ran to its end.
func (r *Running) Finish() { r.close(true) }

// Cancel closes the account of a request that did not run, or not to its end.
func (r *Running) Cancel() { r.close(false) }

func (r *Running) close(whole bool) {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	e := l.entry(r.ws)
	e.running--
	e.expected -= r.expected
	if whole && r.charged > 0 {
		l.costs.learn(float64(r.charged))
	}
	l.lowered++
	l.refresh(e)
}
