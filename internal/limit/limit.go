// Package limit holds the rate, the concurrency and the queue limits of each
// workspace over the whole fleet, decided in each process from its own figures
// and those that others reported.
//
// Problem: a caller of a workspace may enter through any router, and no process
// sees all requests at the moment at which it has to admit one.
//
// Admission keeps the rate and the queue at the routers, Concurrency the running
// requests at the agents. Routers report the requests that they admitted
// (Started) and that wait (Queued) under a pool of their own, Pool, so that
// nothing is counted twice where sums are added up.
//
// Invariants, for n members that decide, reports of age T up to window, and a
// limit of which F is free as far as is known:
//   - What is known counts in full: at a process whose own and reported figures
//     reach the limit, nothing is admitted.
//   - In one window a process takes at most its part of F: its share of the
//     workspace's recent requests, at least spread/n of it, and at least one
//     request. So the fleet takes at most (1+spread)·F + n requests in a window
//     and exceeds a limit by at most spread·F + n, for no longer than T (a
//     rate), until requests end (concurrency) or leave the queue (queue).
//   - A rate that was exceeded is paid back: over any time t the fleet admits at
//     most R·(t + burst) + spread·R·(T + burst) + n requests.
//   - What a router admitted before its first report stays unseen.
//   - With one member that decides, or up to spread of them, a caller is never
//     refused below the limit.
//
// Rejected: a fixed n-th of each limit per member, which refuses work below the
// limit whenever callers are uneven over members; tokens lent by a central
// server, which the fleet does not have; counting in the table service, whose
// writes are few and whose outages would refuse everything.
//
// The package takes no I/O and no clock. Its types are safe for concurrent use.
package limit

import (
	"math"
	"time"

	"github.com/mastichollow/mastichollow/internal/fairness/source"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

const (
	// window is the time over which a member's new requests count against its
	// part of a limit.
	window = time.Second
	// burst is how much of a rate may be saved up, in seconds.
	burst = 1.0
	// spread is how many times its even part of a limit a member may take
	// before its share is known.
	spread = 4.0
	// shareMemory is the time over which shares are averaged, in seconds.
	shareMemory = 5.0

	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Pool is the name under which routers report their sums.
const Pool = "routers"

// Limits of one workspace over the fleet. 0 means no limit.
type Limits struct {
	Rate        float64 // requests/s
	Concurrency int     // running requests per pool
	Queue       int     // waiting requests per pool
}

// LimitsOf returns the limits declared in row.
func LimitsOf(row *workspace.Row) Limits {
	return Limits{Rate: row.RateLimit, Concurrency: row.Concurrency, Queue: row.QueueLimit}
}

// Source names where sums come from: an agent, a router or a failure domain.
type Source struct {
	source.ID
	Sequence uint64 // orders the reports of an incarnation, 0: not ordered
	Full     bool   // the report has all workspaces with any requests
}

// report returns the sums of the workspaces that have limits.
func (s Source) report(sums []wire.Sum, limits map[workspace.RowID]Limits, now time.Time) source.Report {
	r := source.Report{ID: s.ID, Sequence: s.Sequence, Full: s.Full, At: now}
	for _, sum := range sums {
		if _, ok := limits[sum.Workspace]; !ok {
			continue
		}
		r.Sums = append(r.Sums, source.Sum{
			Workspace: sum.Workspace,
			Counter:   sum.Started,
			Gauges:    source.Gauges{Running: sum.Running, Queued: sum.Queued},
		})
	}
	return r
}

// floorShare is the least part of a limit that one of n members may take.
func floorShare(n int) float64 { return min(1, spread/float64(max(n, 1))) }

// share is one member's part of the recent requests of a workspace.
type share struct {
	at     time.Time
	own    float64
	others float64
}

// fade lets the past count less.
func (s *share) fade(now time.Time) {
	passed := now.Sub(s.at).Seconds()
	if passed <= 0 {
		return
	}
	s.at = now
	keep := fading(passed)
	s.own *= keep
	s.others *= keep
}

// of returns the share, at least floor.
func (s *share) of(floor float64) float64 {
	if s.own+s.others <= 0 {
		return floor
	}
	return max(floor, s.own/(s.own+s.others))
}

// allowance is what a member may still take of a limit in the present window.
type allowance struct {
	opened time.Time
	whole  bool // the member may take all that is left
	left   int
}

// advance opens a window at now if the last one is over. free is what is left
// of the limit as far as is known.
func (a *allowance) advance(now time.Time, free int, share float64) {
	if now.Sub(a.opened) < window {
		return
	}
	a.opened = now
	a.whole = share >= 1
	a.left = 0
	if free > 0 {
		a.left = max(1, int(math.Ceil(float64(free)*share)))
	}
}

// spent reports whether the member has to wait for the next window.
func (a *allowance) spent() bool { return !a.whole && a.left <= 0 }

// refuse returns the error of a request beyond a limit: it has not run.
func refuse(reason request.Reason, after time.Duration) *request.RefusedError {
	return &request.RefusedError{
		Reason:     reason,
		Outcome:    request.OutcomeNotRun,
		RetryAfter: min(max(after, minRetryAfter), maxRetryAfter),
	}
}

// fading is what is left of an average after the seconds passed.
func fading(passed float64) float64 { return math.Exp(-passed / shareMemory) }

// seconds returns s as a duration of at most maxRetryAfter.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}
