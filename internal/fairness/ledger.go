package fairness

import (
	"container/heap"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/fairness/source"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Ledger tracks the virtual time of each workspace of one pool, from the service that
// this agent produced and that other sources reported. It is safe for concurrent use.
//
// Its memory is bounded by the workspaces of the table, once SetWeights was called,
// and by the sources that reported within source.Retention.
type Ledger struct {
	mu                sync.Mutex
	settings          Settings
	accounts          map[workspace.RowID]*workspaceAccount
	weights           map[workspace.RowID]float64 // nil before the first table
	concurrencyLimits map[workspace.RowID]int
	sources           source.Set
	backlogged        backloggedHeap
	minVirtualTime    float64       // of the backlogged workspaces, never decreases
	lastUpdate        time.Time     // newest time seen in an update or Expire
	overdueDroppedAt  time.Time     // time of the last dropOverdue
	costEstimator     costEstimator // from requests that ended at this agent
	keyDecreases      uint64        // how often a key of Queue may have decreased
}

// Settings of a Ledger.
type Settings struct {
	// LocalSource is the name of the source whose totals include this agent's
	// service, such as its failure domain. Empty if there is none.
	LocalSource string
	// Estimate selects how the cost of running requests is estimated.
	Estimate CostEstimate
}

// NewLedger returns an empty ledger with default settings.
func NewLedger() *Ledger { return NewLedgerWith(Settings{}) }

// NewLedgerWith returns an empty ledger.
func NewLedgerWith(s Settings) *Ledger {
	return &Ledger{
		settings: s,
		accounts: make(map[workspace.RowID]*workspaceAccount),
		sources:  make(source.Set),
	}
}

// SetWeights replaces the weights. A workspace without a weight has weight 1, and its
// account is removed unless it has requests waiting or running.
func (l *Ledger) SetWeights(weights map[workspace.RowID]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.weights = weights
	for _, account := range l.accounts {
		account.weight = l.weightOf(account.workspace)
	}
	l.keyDecreases++
	l.prune()
}

// SetConcurrencyLimits replaces the limits of running requests in the fleet. A
// workspace without a limit, or with 0, is unlimited.
func (l *Ledger) SetConcurrencyLimits(limits map[workspace.RowID]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.concurrencyLimits = limits
	for _, account := range l.accounts {
		account.concurrencyLimit = limits[account.workspace]
		l.updateBacklogged(account)
	}
}

// Charge adds service units that this agent produced for ws.
func (l *Ledger) Charge(ws workspace.RowID, units int64) {
	if units <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.charge(l.account(ws), uint64(units))
}

// LocalTotals returns what this agent has to report by workspace: the service that it
// produced and the requests that it runs. It also records these running requests as
// reported. The caller adds the waiting requests, since one request may wait at
// several agents and must be reported by only one of them.
func (l *Ledger) LocalTotals() []Total {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := make([]Total, 0, len(l.accounts))
	for ws, account := range l.accounts {
		account.reportedRunning = account.running
		if account.localService > 0 || account.running > 0 {
			totals = append(totals, Total{Workspace: ws, Service: account.localService, Running: account.running})
		}
	}
	return totals
}

// ExpectedVirtualTime returns the virtual time of ws, in service units divided by
// weight, including the estimated cost of its running requests.
func (l *Ledger) ExpectedVirtualTime(ws workspace.RowID) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if account := l.accounts[ws]; account != nil {
		return l.expectedVirtualTime(account)
	}
	return 0
}

// MinVirtualTime returns the minimum virtual time of the workspaces backlogged in the
// fleet. It never decreases and remains when no workspace is backlogged.
func (l *Ledger) MinVirtualTime() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateMinVirtualTime()
	return l.minVirtualTime
}

// Backlogged reports whether ws is backlogged anywhere in the fleet.
func (l *Ledger) Backlogged(ws workspace.RowID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	account := l.accounts[ws]
	return account != nil && account.heapIndex >= 0
}

// AdvanceTo raises the virtual time of ws to at least virtualTime.
func (l *Ledger) AdvanceTo(ws workspace.RowID, virtualTime float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceTo(l.account(ws), virtualTime)
}

// expectedVirtualTime returns the key by which the queue orders workspaces. l.mu is
// held.
func (l *Ledger) expectedVirtualTime(account *workspaceAccount) float64 {
	switch l.settings.Estimate {
	case EstimateMeanCost:
		return account.virtualTime + l.costEstimator.estimate()*float64(account.fleetRunning())/account.weight
	case EstimateHints:
		return account.virtualTime + float64(account.unchargedHints)/account.weight
	default:
		return account.virtualTime
	}
}

// setQueued records that n offers of ws wait at this agent. It returns the account and
// its key in the queue.
func (l *Ledger) setQueued(ws workspace.RowID, n int) (*workspaceAccount, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	account := l.account(ws)
	account.queued = uint32(n)
	l.updateBacklogged(account)
	return account, l.expectedVirtualTime(account)
}

// charge adds local service. l.mu is held.
func (l *Ledger) charge(account *workspaceAccount, units uint64) {
	account.localService += units
	if l.settings.LocalSource != "" {
		account.unacknowledged += units
	}
	l.addService(account, units)
}

// addService adds units of local or remote service. l.mu is held.
func (l *Ledger) addService(account *workspaceAccount, units uint64) {
	account.virtualTime += float64(units) / account.weight
	l.reorder(account)
}

// advanceTo raises the account's virtual time to at least virtualTime. l.mu is held.
func (l *Ledger) advanceTo(account *workspaceAccount, virtualTime float64) {
	if account.virtualTime >= virtualTime {
		return
	}
	account.virtualTime = virtualTime
	l.reorder(account)
}

// reorder restores the heap order after a change of the account's virtual time. l.mu
// is held.
func (l *Ledger) reorder(account *workspaceAccount) {
	if account.heapIndex >= 0 {
		heap.Fix(&l.backlogged, account.heapIndex)
	}
}

// updateBacklogged adds the account to the backlogged ones or removes it. An account
// that becomes backlogged is advanced to the minimum virtual time. l.mu is held.
func (l *Ledger) updateBacklogged(account *workspaceAccount) {
	backlogged := account.backlogged()
	if backlogged == (account.heapIndex >= 0) {
		return
	}
	l.updateMinVirtualTime()
	if !backlogged {
		heap.Remove(&l.backlogged, account.heapIndex)
		return
	}
	l.advanceTo(account, l.minVirtualTime)
	heap.Push(&l.backlogged, account)
}

// updateMinVirtualTime raises the minimum virtual time to that of the backlogged
// workspaces. l.mu is held.
func (l *Ledger) updateMinVirtualTime() {
	if len(l.backlogged) > 0 {
		l.minVirtualTime = max(l.minVirtualTime, l.backlogged[0].virtualTime)
	}
}

// account returns the account of ws and creates it if needed. l.mu is held.
func (l *Ledger) account(ws workspace.RowID) *workspaceAccount {
	account := l.accounts[ws]
	if account == nil {
		account = &workspaceAccount{workspace: ws, weight: l.weightOf(ws), concurrencyLimit: l.concurrencyLimits[ws], heapIndex: -1}
		l.accounts[ws] = account
	}
	return account
}

// weightOf returns the weight of ws. l.mu is held.
func (l *Ledger) weightOf(ws workspace.RowID) float64 {
	if w := l.weights[ws]; w > 0 {
		return w
	}
	return 1
}

// prune removes the workspaces that are not in the table and have no requests waiting
// or running. l.mu is held.
func (l *Ledger) prune() {
	for ws, account := range l.accounts {
		if _, listed := l.weights[ws]; listed || account.heapIndex >= 0 || account.running > 0 || account.queued > 0 {
			continue
		}
		delete(l.accounts, ws)
		l.sources.ForgetRow(ws)
	}
}
