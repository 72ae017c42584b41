package limit

import (
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/fairness/source"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Concurrency keeps the limits of running requests of the workspaces of one
// pool at one agent. A request beyond the limit waits.
type Concurrency struct {
	mu      sync.Mutex
	own     string
	floor   float64
	limits  map[workspace.RowID]Limits
	rows    map[workspace.RowID]*concurrencyRow
	sources source.Set
}

// NewConcurrency returns a Concurrency without limits. own is the name of the
// source whose sums contain those of this agent; empty: none.
func NewConcurrency(own string) *Concurrency {
	return &Concurrency{
		own:     own,
		floor:   1,
		rows:    make(map[workspace.RowID]*concurrencyRow),
		sources: make(source.Set),
	}
}

// SetLimits replaces the limits. Workspaces that are not in it are forgotten
// once nothing of them runs here.
func (c *Concurrency) SetLimits(limits map[workspace.RowID]Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
	for ws, r := range c.rows {
		r.limit = limits[ws].Concurrency
		if _, ok := limits[ws]; !ok && r.running == 0 {
			delete(c.rows, ws)
			c.sources.ForgetRow(ws)
		}
	}
}

// SetMembers sets how many agents the pool has, this one included.
func (c *Concurrency) SetMembers(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.floor = floorShare(n)
}

// MayStart reports whether a request of ws may start now.
func (c *Concurrency) MayStart(ws workspace.RowID, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.row(ws)
	if r.limit <= 0 {
		return true
	}
	r.advance(now, c.floor)
	return r.inFleet() < r.limit && !r.left.spent()
}

// Start counts a request of ws as running.
func (c *Concurrency) Start(ws workspace.RowID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.row(ws)
	r.advance(now, c.floor)
	r.running++
	r.left.left--
}

// Done ends a running request of ws.
func (c *Concurrency) Done(ws workspace.RowID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.row(ws)
	r.running = max(r.running-1, 0)
	r.left.left++
}

// Merge takes in the sums that a source reported.
func (c *Concurrency) Merge(from Source, sums []wire.Sum, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources.Apply(from.report(sums, c.limits, now), c.change)
}

// Expire gives up the running requests of sources that fell silent. Call it
// about once a second.
func (c *Concurrency) Expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources.Expire(now, c.change)
}

// change takes in what changed at a source. c.mu is held.
func (c *Concurrency) change(s source.Change) {
	c.row(s.Workspace).merge(s, s.Name == c.own)
}

// row returns the row of ws and makes it if needed. c.mu is held.
func (c *Concurrency) row(ws workspace.RowID) *concurrencyRow {
	r := c.rows[ws]
	if r == nil {
		r = &concurrencyRow{limit: c.limits[ws].Concurrency}
		c.rows[ws] = r
	}
	return r
}

// concurrencyRow is one workspace at one agent.
type concurrencyRow struct {
	limit     int
	running   int // here
	elsewhere int // at the sources without this agent
	around    int // at the source that contains this agent
	left      allowance
}

// inFleet returns the requests known to run in the fleet.
func (r *concurrencyRow) inFleet() int { return r.elsewhere + max(r.running, r.around) }

// advance opens a window. This agent's share is its part of what runs.
func (r *concurrencyRow) advance(now time.Time, floor float64) {
	part := floor
	if known := r.inFleet(); known > 0 {
		part = max(floor, float64(r.running)/float64(known))
	}
	r.left.advance(now, r.limit-r.inFleet(), part)
}

// merge takes in what changed at a source.
func (r *concurrencyRow) merge(c source.Change, own bool) {
	if own {
		r.around = int(c.After.Running)
		return
	}
	r.elsewhere += int(c.After.Running) - int(c.Before.Running)
}
