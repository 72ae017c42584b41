// Package intake decides which requests a gate works on at once, and in which order they
// get processor time.
//
// Problem: the Go runtime runs goroutines without priorities. A gate that gets more
// requests than it can process has a run queue of thousands of goroutines, behind which
// its watchers, reports and readiness checks wait as long as each request does.
//
// Invariants:
//   - At most Config.MaxInFlight requests are in flight.
//   - While the current bound is reached, a request is accepted only if its workspace then
//     holds at most an even portion of the bound, so that a workspace cannot take the
//     place of others.
//   - While the scheduling delay is high, at most Config.Turns requests are decoded,
//     admitted and prepared at once, and at most Config.MaxWaiting wait for a turn, each
//     for at most Config.MaxWait and one interval of Tick.
//   - Workspaces get turns in rotation.
//   - While the scheduling delay is not high and the bound is not reached, every request
//     is accepted without waiting.
//   - Requests in flight are never ended by this package.
//
// Rejected alternatives: a bound on requests per second, which would have to be known for
// each machine and mix of requests; a pool of worker goroutines, since net/http reads each
// head in a goroutine of its own in any case; threads of their own for the duties
// (runtime.LockOSThread), which still wait for the runtime to be scheduled.
package intake

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Config configures a Control.
type Config struct {
	// MaxInFlight is the most requests in flight at once, from the machine's memory and
	// descriptors; 0: unlimited.
	MaxInFlight int
	// MinInFlight is the value below which a high delay does not lower the bound.
	MinInFlight int
	// Turns is the number of requests that may be decoded, admitted and prepared at once
	// while the scheduling delay is high.
	Turns int
	// MaxWaiting and MaxWait bound the requests that wait for a turn, and the time.
	MaxWaiting int
	MaxWait    time.Duration
	// MaxHold is the time after which a turn no longer counts: its request waits for the
	// network, for instance for the rest of a body, and uses no processor time.
	MaxHold time.Duration
	// HighDelay is the scheduling delay above which turns are limited, OverloadDelay that
	// above which the bound of requests in flight is lowered.
	HighDelay, OverloadDelay time.Duration
}

const (
	// adaptInterval is the time between two changes of the bound, half of the time in which
	// the moving average of the scheduling delay follows a change.
	adaptInterval = 250 * time.Millisecond
	// lowerFraction is the fraction by which the bound falls in each: it halves in 1.7 s,
	// before the load balancer has reacted (2.5 s). raiseFraction is that by which it rises:
	// it doubles in 0.8 s, since a gate that was late for want of processor time, not for its
	// load, should serve as before soon.
	lowerFraction = 0.1
	raiseFraction = 0.25
)

// Control decides which requests are in flight. It is safe for concurrent use.
type Control struct {
	config Config
	// crowded and limiting let an unloaded gate decide without the mutex.
	crowded, limiting atomic.Bool

	mu        sync.Mutex
	inFlight  map[string]int // by workspace, without zeros
	total     int
	bound     int // at most Config.MaxInFlight; 0: none
	adaptedAt time.Duration
	held      map[*Turn]struct{}
	waiting   map[string][]*Turn // by workspace, oldest first, without empty ones
	rotation  []string           // workspaces with waiting requests, the next one first
	queued    int                // requests that wait for a turn
}

// New returns a Control without requests.
func New(config Config) *Control {
	return &Control{
		config: config, bound: config.MaxInFlight, inFlight: make(map[string]int),
		held: make(map[*Turn]struct{}), waiting: make(map[string][]*Turn),
	}
}

// Crowded reports whether the bound of requests in flight is reached.
func (c *Control) Crowded() bool { return c.crowded.Load() }

// Full reports whether Config.MaxInFlight requests are in flight.
func (c *Control) Full() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.MaxInFlight > 0 && c.total >= c.config.MaxInFlight
}

// Allows reports whether Enter would accept a request of the workspace.
func (c *Control) Allows(workspace string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.allows(workspace)
}

func (c *Control) allows(workspace string) bool {
	if c.bound <= 0 || c.total < c.bound {
		return true
	}
	if c.config.MaxInFlight > 0 && c.total >= c.config.MaxInFlight {
		return false
	}
	holds, workspaces := c.inFlight[workspace], len(c.inFlight)
	if holds == 0 {
		workspaces++
	}
	return (holds+1)*workspaces <= c.bound
}

// Enter counts a request of a workspace as in flight, or reports false if it must be
// refused. Leave must follow each Enter that reported true.
func (c *Control) Enter(workspace string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.allows(workspace) {
		return false
	}
	c.inFlight[workspace]++
	c.total++
	c.updateCrowded()
	return true
}

// Leave ends the time in flight of a request.
func (c *Control) Leave(workspace string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[workspace]--; c.inFlight[workspace] == 0 {
		delete(c.inFlight, workspace)
	}
	c.total--
	c.updateCrowded()
}

func (c *Control) updateCrowded() { c.crowded.Store(c.bound > 0 && c.total >= c.bound) }

// Tick applies the scheduling delay that was measured, which includes OldestWait, and ends
// what has exceeded its time. It is meant to be called some ten times a second.
func (c *Control) Tick(now, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reclaim(now)
	c.expire(now)
	c.adapt(now, delay)
	switch {
	case delay > c.config.HighDelay:
		c.limiting.Store(true)
	case delay < c.config.HighDelay/2 && c.queued == 0:
		c.limiting.Store(false)
		clear(c.held)
	}
	c.grant(now)
}

// adapt lowers the bound while the delay is above OverloadDelay and raises it while the
// delay is not high.
func (c *Control) adapt(now, delay time.Duration) {
	if c.config.MaxInFlight <= 0 || now-c.adaptedAt < adaptInterval {
		return
	}
	c.adaptedAt = now
	switch {
	case delay > c.config.OverloadDelay:
		from := min(c.bound, max(c.total, 1))
		c.bound = min(c.bound, max(c.config.MinInFlight, from-max(1, int(lowerFraction*float64(from)))))
	case delay < c.config.HighDelay:
		c.bound = min(c.config.MaxInFlight, c.bound+max(1, int(raiseFraction*float64(c.bound))))
	}
	c.updateCrowded()
}

// Stats are the numbers of requests.
type Stats struct {
	InFlight, Bound int // Bound 0: none
	Workspaces      int // with requests in flight
	Turns           int // held
	Waiting         int // for a turn
}

// Stats returns the current numbers.
func (c *Control) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Stats{InFlight: c.total, Bound: c.bound, Workspaces: len(c.inFlight), Turns: len(c.held), Waiting: c.queued}
}

// Turn is the permission to decode, admit and prepare a request.
type Turn struct {
	workspace string
	since     time.Duration // of the wait, then of the turn
	decided   chan struct{}
	waiting   bool
	refused   bool
}

// Decided is closed when the turn is granted or refused.
func (t *Turn) Decided() <-chan struct{} { return t.decided }

// Refused reports, once Decided is closed, whether the request must be refused.
func (t *Turn) Refused() bool { return t.refused }

// Acquire asks for a turn. It returns nil if turns are not limited. A turn that is no
// longer used, or no longer waited for, must be released.
func (c *Control) Acquire(now time.Duration, workspace string) *Turn {
	if !c.limiting.Load() {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &Turn{workspace: workspace, since: now, decided: make(chan struct{})}
	if len(c.held) < c.config.Turns && c.queued == 0 {
		c.held[t] = struct{}{}
		close(t.decided)
		return t
	}
	if c.queued >= c.config.MaxWaiting && !c.displace(workspace) {
		c.refuse(t)
		return t
	}
	t.waiting = true
	if len(c.waiting[workspace]) == 0 {
		c.rotation = append(c.rotation, workspace)
	}
	c.waiting[workspace] = append(c.waiting[workspace], t)
	c.queued++
	return t
}

// displace refuses the newest waiting request of the workspace with the most, unless that
// is the given one, which then makes no room.
func (c *Control) displace(workspace string) bool {
	longest := workspace
	for other, turns := range c.waiting {
		if len(turns) > len(c.waiting[longest])+1 || other < longest && longest != workspace && len(turns) == len(c.waiting[longest]) {
			longest = other
		}
	}
	if longest == workspace {
		return false
	}
	turns := c.waiting[longest]
	newest := turns[len(turns)-1]
	c.remove(newest)
	c.refuse(newest)
	return true
}

// Release gives the turn back, or ends the wait for it. t may be nil.
func (c *Control) Release(now time.Duration, t *Turn) {
	if t == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.waiting {
		c.remove(t)
		return
	}
	delete(c.held, t)
	c.grant(now)
}

// OldestWait returns for how long the request that waits longest has waited for its turn.
func (c *Control) OldestWait(now time.Duration) time.Duration {
	if !c.limiting.Load() {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := time.Duration(0)
	for _, turns := range c.waiting {
		oldest = max(oldest, now-turns[0].since)
	}
	return oldest
}

// grant gives free turns to waiting requests, in rotation over the workspaces.
func (c *Control) grant(now time.Duration) {
	for c.queued > 0 && (len(c.held) < c.config.Turns || !c.limiting.Load()) {
		t := c.waiting[c.rotation[0]][0]
		c.remove(t)
		if _, more := c.waiting[t.workspace]; more {
			c.rotation = append(c.rotation[1:], t.workspace)
		}
		t.since = now
		c.held[t] = struct{}{}
		close(t.decided)
	}
}

// remove takes a request out of the queue of its workspace.
func (c *Control) remove(t *Turn) {
	t.waiting = false
	c.queued--
	turns := c.waiting[t.workspace]
	if i := slices.Index(turns, t); i == 0 {
		turns = turns[1:] // the usual case; a deletion would move the whole queue
	} else {
		turns = slices.Delete(turns, i, i+1)
	}
	if len(turns) > 0 {
		c.waiting[t.workspace] = turns
		return
	}
	delete(c.waiting, t.workspace)
	c.rotation = slices.DeleteFunc(c.rotation, func(w string) bool { return w == t.workspace })
}

func (c *Control) refuse(t *Turn) {
	t.refused = true
	close(t.decided)
}

// reclaim no longer counts turns that are held for longer than MaxHold.
func (c *Control) reclaim(now time.Duration) {
	for t := range c.held {
		if now-t.since > c.config.MaxHold {
			delete(c.held, t)
		}
	}
}

// expire refuses the requests that have waited for longer than MaxWait.
func (c *Control) expire(now time.Duration) {
	for _, turns := range c.waiting {
		for _, t := range turns {
			if now-t.since <= c.config.MaxWait {
				break
			}
			c.remove(t)
			c.refuse(t)
		}
	}
}
