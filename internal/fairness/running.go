package fairness

import (
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Running is the account of one granted request.
type Running struct {
	ledger   *Ledger
	ws       workspace.RowID
	class    request.Class
	hint     int64
	expected int64 // service units foreseen and not yet charged
	charged  int64
	closed   bool
}

// Start opens the account of a request that was granted: until it ends, what
// it is expected to cost counts in the order of the queue. hint is in service
// units, 0: none.
func (l *Ledger) Start(ws workspace.RowID, class request.Class, hint int64) *Running {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(ws)
	r := &Running{ledger: l, ws: ws, class: class, hint: hint}
	r.expected = e.costs.expect(l.settings.Estimate, class, hint)
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

// Finish closes the account of a request that ran.
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
	if whole {
		e.costs.learn(r.class, r.hint, r.charged)
	}
	if r.expected > 0 {
		e.expected -= r.expected
		l.lowered++
	}
	l.refresh(e)
}
