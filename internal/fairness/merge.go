package fairness

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/fairness/source"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// creditWindow is how long own service may take to come back in the sums of the
// source that contains it.
const creditWindow = 10 * time.Second

// Source is one origin of grow-only sums: an incarnation of an agent, or of a
// relay that adds up a failure domain. Name is what is summed up, the agent or
// the failure domain, whoever does it; sources of one name are not added up.
type Source = source.ID

// Total is what one workspace has got at one source. Service, in service units,
// only grows; Running and Queued are the latest figures.
type Total struct {
	Workspace workspace.RowID
	Service   uint64
	Running   uint32
	Queued    uint32
}

// Update is a report of a source.
type Update struct {
	Source
	// Sequence orders the reports of a source; the running and waiting
	// requests in one that comes late are ignored. 0: not ordered.
	Sequence uint64
	// Full says that Totals has all workspaces with any service.
	Full   bool
	Totals []Total
	At     time.Time
}

// Merge adds the growth in totals reported by source.
func (l *Ledger) Merge(source Source, totals []Total) {
	l.Apply(Update{Source: source, Totals: totals})
}

// Apply adds the growth in u. The first sum of a workspace from a source sets
// where its growth is counted from, unless a full report before had none.
func (l *Ledger) Apply(u Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u.At.After(l.now) {
		l.now = u.At
	}
	sums := make([]source.Sum, 0, len(u.Totals))
	for _, t := range u.Totals {
		if l.listed(t.Workspace) {
			sums = append(sums, t.sum())
		}
	}
	r := source.Report{ID: u.Source, Sequence: u.Sequence, Full: u.Full, Sums: sums, At: l.now}
	l.sources.Apply(r, l.change)
}

// Expire gives up the running and waiting requests of sources not heard for
// source.GaugeAge and the sums of those not heard for source.Retention. Call it
// about once a second.
func (l *Ledger) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.After(l.now) {
		l.now = now
	}
	l.turn(now)
	l.sources.Expire(now, l.change)
}

// Forget drops what is known of the sources of one name, such as an agent whose
// VM is gone. Its service stays counted.
func (l *Ledger) Forget(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sources.Forget(name, l.change)
}

// change takes in what changed at a source. l.mu is held.
func (l *Ledger) change(c source.Change) {
	e := l.entry(c.Workspace)
	growth := c.Growth
	if c.Name == l.settings.Own {
		growth = e.credit(growth)
		e.around = c.After
		e.around.Running -= min(e.around.Running, e.reported)
	} else {
		e.elsewhere.Running += c.After.Running - c.Before.Running
		e.elsewhere.Queued += c.After.Queued - c.Before.Queued
	}
	if c.After.Running < c.Before.Running {
		l.lowered++
	}
	if growth > 0 {
		l.grow(e, growth)
	}
	l.refresh(e)
}

// turn ages the uncredited service once in each creditWindow. l.mu is held.
func (l *Ledger) turn(now time.Time) {
	if now.Sub(l.turned) < creditWindow {
		return
	}
	l.turned = now
	for _, e := range l.rows {
		e.age()
	}
}

// listed reports whether ws is in the table, if one is known. l.mu is held.
func (l *Ledger) listed(ws workspace.RowID) bool {
	if l.weights == nil || l.rows[ws] != nil {
		return true
	}
	_, ok := l.weights[ws]
	return ok
}

func (t Total) sum() source.Sum {
	return source.Sum{
		Workspace: t.Workspace,
		Counter:   t.Service,
		Gauges:    source.Gauges{Running: t.Running, Queued: t.Queued},
	}
}
