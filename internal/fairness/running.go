package fairness

import "github.com/mastichollow/mastichollow/internal/workspace"

// RunningRequest tracks the cost of one granted request.
type RunningRequest struct {
	ledger        *Ledger
	workspace     workspace.RowID
	unchargedHint int64 // service units of the hint that are not charged yet
	charged       int64
	ended         bool
}

// Start records that a request was granted. Until it ends, its estimated cost counts
// in the order of the queue. hint is the expected cost in service units, 0 if unknown.
func (l *Ledger) Start(ws workspace.RowID, hint int64) *RunningRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	account := l.account(ws)
	r := &RunningRequest{ledger: l, workspace: ws, unchargedHint: max(hint, 0)}
	account.unchargedHints += r.unchargedHint
	account.running++
	l.updateBacklogged(account)
	return r
}

// Charge adds service units that the request has produced.
func (r *RunningRequest) Charge(units int64) {
	if units <= 0 {
		return
	}
	r.ledger.mu.Lock()
	defer r.ledger.mu.Unlock()
	account := r.ledger.account(r.workspace)
	hinted := min(units, r.unchargedHint)
	r.unchargedHint -= hinted
	account.unchargedHints -= hinted
	r.charged += units
	r.ledger.charge(account, uint64(units))
}

// Finish ends a request that ran to completion. Its cost enters the estimate of the
// mean cost.
func (r *RunningRequest) Finish() { r.end(true) }

// Cancel ends a request that did not run, or not to completion.
func (r *RunningRequest) Cancel() { r.end(false) }

func (r *RunningRequest) end(completed bool) {
	l := r.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	account := l.account(r.workspace)
	account.running--
	account.unchargedHints -= r.unchargedHint
	if completed && r.charged > 0 {
		l.costEstimator.observe(float64(r.charged))
	}
	l.keyDecreases++
	l.updateBacklogged(account)
}
