package limit

import (
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/fairness/source"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// ConcurrencyLimiter enforces, at one agent, the limits of running requests of the
// workspaces of one pool. A request above the limit waits.
type ConcurrencyLimiter struct {
	mu          sync.Mutex
	localSource string
	minPortion  float64
	limits      map[workspace.RowID]Limits
	states      map[workspace.RowID]*concurrencyState
	sources     source.Set
}

// NewConcurrencyLimiter returns a ConcurrencyLimiter without limits. localSource is the
// name of the source whose totals include those of this agent; empty if there is none.
func NewConcurrencyLimiter(localSource string) *ConcurrencyLimiter {
	return &ConcurrencyLimiter{
		localSource: localSource,
		minPortion:  1,
		states:      make(map[workspace.RowID]*concurrencyState),
		sources:     make(source.Set),
	}
}

// SetLimits replaces the limits. The state of workspaces without limits is removed
// unless they have requests running at this agent.
func (c *ConcurrencyLimiter) SetLimits(limits map[workspace.RowID]Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
	for ws, state := range c.states {
		state.limit = limits[ws].Concurrency
		if _, ok := limits[ws]; !ok && state.running == 0 {
			delete(c.states, ws)
			c.sources.ForgetRow(ws)
		}
	}
}

// SetAgentCount sets how many agents the pool has, including this one.
func (c *ConcurrencyLimiter) SetAgentCount(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.minPortion = minPortionOf(n)
}

// MayStart reports whether a request of ws may start now.
func (c *ConcurrencyLimiter) MayStart(ws workspace.RowID, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.state(ws)
	if state.limit <= 0 {
		return true
	}
	state.advance(now, c.minPortion)
	return state.fleetRunning() < state.limit && !state.allowance.exhausted()
}

// Start records that a request of ws runs at this agent.
func (c *ConcurrencyLimiter) Start(ws workspace.RowID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.state(ws)
	state.advance(now, c.minPortion)
	state.running++
	state.allowance.remaining--
}

// Done records that a running request of ws has ended.
func (c *ConcurrencyLimiter) Done(ws workspace.RowID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.state(ws)
	state.running = max(state.running-1, 0)
	state.allowance.remaining++
}

// Merge applies the totals that a source reported.
func (c *ConcurrencyLimiter) Merge(header ReportHeader, totals []wire.Total, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources.Apply(header.sourceReport(totals, c.limits, now), c.applyChange)
}

// Expire removes the running requests of sources that have not reported for
// source.GaugeLifetime. It should be called about once a second.
func (c *ConcurrencyLimiter) Expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources.Expire(now, c.applyChange)
}

// applyChange applies what a report or an expiry changed at a source. c.mu is held.
func (c *ConcurrencyLimiter) applyChange(change source.Change) {
	c.state(change.Workspace).merge(change, change.Name == c.localSource)
}

// state returns the state of ws and creates it if needed. c.mu is held.
func (c *ConcurrencyLimiter) state(ws workspace.RowID) *concurrencyState {
	state := c.states[ws]
	if state == nil {
		state = &concurrencyState{limit: c.limits[ws].Concurrency}
		c.states[ws] = state
	}
	return state
}

// concurrencyState is the state of one workspace at one agent.
type concurrencyState struct {
	limit              int
	running            int // at this agent
	remoteRunning      int // at the sources that do not contain this agent
	localSourceRunning int // at the source that contains this agent
	allowance          allowance
}

// fleetRunning returns the running requests in the fleet, as far as reported.
func (s *concurrencyState) fleetRunning() int {
	return s.remoteRunning + max(s.running, s.localSourceRunning)
}

// advance starts a window if the previous one has ended. This agent's portion of the
// limit is its portion of the running requests.
func (s *concurrencyState) advance(now time.Time, minPortion float64) {
	portion := minPortion
	if running := s.fleetRunning(); running > 0 {
		portion = max(minPortion, float64(s.running)/float64(running))
	}
	s.allowance.advance(now, s.limit-s.fleetRunning(), portion)
}

// merge applies what changed at a source.
func (s *concurrencyState) merge(change source.Change, isLocalSource bool) {
	if isLocalSource {
		s.localSourceRunning = int(change.After.Running)
		return
	}
	s.remoteRunning += int(change.After.Running) - int(change.Before.Running)
}
