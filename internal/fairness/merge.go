package fairness

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/fairness/source"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// acknowledgmentTimeout is how long local service may take to appear in the totals of
// the source that contains it.
const acknowledgmentTimeout = 10 * time.Second

// Source identifies a reporter of grow-only totals: an incarnation of an agent, or of
// a relay that adds up a failure domain. Name is what the totals cover, the agent or
// the failure domain, whichever process reports them. Sources of one name are not
// added up.
type Source = source.ID

// Total is the service that one workspace received at one source. Service, in service
// units, only grows; Running and Queued are the current numbers of requests.
type Total struct {
	Workspace workspace.RowID
	Service   uint64
	Running   uint32
	Queued    uint32
}

// Update is a report of a source.
type Update struct {
	Source
	// Sequence orders the reports of a source. The running and waiting requests
	// in a report that arrives late are ignored. 0: not ordered.
	Sequence uint64
	// Full is set when Totals contains all workspaces with any service.
	Full   bool
	Totals []Total
	At     time.Time
}

// Merge adds the growth in totals reported by from, without a time or sequence.
func (l *Ledger) Merge(from Source, totals []Total) {
	l.Apply(Update{Source: from, Totals: totals})
}

// Apply adds the growth of the totals in u. The first total of a workspace from a
// source is the baseline of its growth, unless an earlier full report did not contain
// the workspace.
func (l *Ledger) Apply(u Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u.At.After(l.lastUpdate) {
		l.lastUpdate = u.At
	}
	totals := make([]source.Total, 0, len(u.Totals))
	for _, t := range u.Totals {
		if l.inTable(t.Workspace) {
			totals = append(totals, t.sourceTotal())
		}
	}
	report := source.Report{ID: u.Source, Sequence: u.Sequence, Full: u.Full, Totals: totals, At: l.lastUpdate}
	l.sources.Apply(report, l.applyChange)
}

// Expire removes the running and waiting requests of sources that have not reported
// for source.GaugeLifetime, and the totals of those that have not reported for
// source.Retention. It should be called about once a second.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.After(l.lastUpdate) {
		l.lastUpdate = now
	}
	l.dropOverdue(now)
	l.sources.Expire(now, l.applyChange)
}

// Forget removes the state of the sources of one name, such as an agent whose VM no
// longer exists. Their service remains counted.
func (l *Ledger) Forget(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sources.Forget(name, l.applyChange)
}

// applyChange applies what a report or an expiry changed at a source. l.mu is held.
func (l *Ledger) applyChange(c source.Change) {
	account := l.account(c.Workspace)
	growth := c.Growth
	if c.Name == l.settings.LocalSource {
		growth = account.subtractAcknowledged(growth)
		account.localSource = c.After
		account.localSource.Running -= min(account.localSource.Running, account.reportedRunning)
	} else {
		account.remote.Running += c.After.Running - c.Before.Running
		account.remote.Queued += c.After.Queued - c.Before.Queued
	}
	if c.After.Running < c.Before.Running {
		l.keyDecreases++
	}
	if growth > 0 {
		l.addService(account, growth)
	}
	l.updateBacklogged(account)
}

// dropOverdue drops overdue unacknowledged service once per acknowledgmentTimeout.
// l.mu is held.
func (l *Ledger) dropOverdue(now time.Time) {
	if now.Sub(l.overdueDroppedAt) < acknowledgmentTimeout {
		return
	}
	l.overdueDroppedAt = now
	for _, account := range l.accounts {
		account.dropOverdue()
	}
}

// inTable reports whether ws is in the table or has an account. It is true for all
// workspaces before the first table. l.mu is held.
func (l *Ledger) inTable(ws workspace.RowID) bool {
	if l.weights == nil || l.accounts[ws] != nil {
		return true
	}
	_, listed := l.weights[ws]
	return listed
}

func (t Total) sourceTotal() source.Total {
	return source.Total{
		Workspace: t.Workspace,
		Counter:   t.Service,
		Gauges:    source.Gauges{Running: t.Running, Queued: t.Queued},
	}
}
