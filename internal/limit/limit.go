// Package limit enforces the rate, concurrency and queue limits of each workspace over
// the whole fleet. Each process decides from its local totals and from those that other
// processes reported.
//
// Problem: a caller of a workspace may use any router, and no process sees all
// requests when it has to admit one.
//
// AdmissionLimiter enforces the rate and queue limits at the routers, and
// ConcurrencyLimiter the limit of running requests at the agents. Routers report the
// requests that they admitted (Started) and that wait (Queued) under a separate pool,
// RouterPool, so that nothing is counted twice where totals are added up.
//
// Invariants, for n processes that decide, reports of age T up to allowanceWindow, a
// rate limit of R requests/s, and a limit of which F is free according to the totals
// that the process has:
//   - Local and reported totals count in full: a process at which they reach the
//     limit admits nothing.
//   - In one window a process admits at most its portion of F: its portion of the
//     workspace's recent requests, at least minPortionFactor/n, and at least one
//     request. So the fleet admits at most (1+minPortionFactor)·F + n requests in a
//     window and exceeds a limit by at most minPortionFactor·F + n, for no longer than
//     T (rate), until requests end (concurrency) or until they leave the queue (queue).
//   - After a rate was exceeded, less is admitted: over any time t the fleet admits at
//     most R·(t + burstSeconds) + minPortionFactor·R·(T + burstSeconds) + n requests.
//   - Requests that a router admitted before its first report are not counted by
//     other processes.
//   - With at most minPortionFactor processes that decide, a caller is never refused
//     below the limit.
//
// Rejected alternatives:
//   - A fixed n-th of each limit per process: it refuses work below the limit whenever
//     callers are spread unevenly over the processes.
//   - Tokens leased from a central server: the fleet has no such server.
//   - Counters in the table service: it allows few writes, and an outage would refuse
//     everything.
//
// The package does no I/O and reads no clock: callers pass the time. Its types are safe
// for concurrent use.
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
	// allowanceWindow is the time over which the requests that a process admits count
	// against its portion of a limit.
	allowanceWindow = time.Second
	// burstSeconds is the capacity of a token bucket, in seconds of its rate.
	burstSeconds = 1.0
	// minPortionFactor is the minimum portion of a limit that each of n processes may
	// use, in multiples of an even split (1/n). It lets a process start before its
	// portion of the requests is known.
	minPortionFactor = 4.0
	// decayTimeConstantSeconds is the time constant of the exponential decay of recent
	// requests.
	decayTimeConstantSeconds = 5.0

	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// RouterPool is the pool name under which routers report their totals.
const RouterPool = "routers"

// Limits are the limits of one workspace in the fleet. 0 means unlimited.
type Limits struct {
	Rate        float64 // requests/s
	Concurrency int     // running requests per pool
	Queue       int     // waiting requests per pool
}

// LimitsOf returns the limits declared in row.
func LimitsOf(row *workspace.Row) Limits {
	return Limits{Rate: row.RateLimit, Concurrency: row.Concurrency, Queue: row.QueueLimit}
}

// ReportHeader identifies a report of totals by an agent, a router or a failure domain.
type ReportHeader struct {
	source.ID
	Sequence uint64 // orders the reports of an incarnation, 0: not ordered
	Full     bool   // the report contains all workspaces with any requests
}

// sourceReport returns the report with the totals of the workspaces that have limits.
func (h ReportHeader) sourceReport(totals []wire.Total, limits map[workspace.RowID]Limits, now time.Time) source.Report {
	report := source.Report{ID: h.ID, Sequence: h.Sequence, Full: h.Full, At: now}
	for _, total := range totals {
		if _, ok := limits[total.Workspace]; !ok {
			continue
		}
		report.Totals = append(report.Totals, source.Total{
			Workspace: total.Workspace,
			Counter:   total.Started,
			Gauges:    source.Gauges{Running: total.Running, Queued: total.Queued},
		})
	}
	return report
}

// minPortionOf returns the minimum portion of a limit that one of several processes may
// use.
func minPortionOf(processes int) float64 { return min(1, minPortionFactor/float64(max(processes, 1))) }

// recentRequests counts the recent requests of a workspace at this process and at
// others, with exponential decay.
type recentRequests struct {
	decayedAt time.Time
	local     float64
	remote    float64
}

// decay reduces the weight of earlier requests.
func (r *recentRequests) decay(now time.Time) {
	elapsed := now.Sub(r.decayedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	r.decayedAt = now
	factor := decayFactor(elapsed)
	r.local *= factor
	r.remote *= factor
}

// localPortion returns this process's portion of the requests, at least minPortion.
func (r *recentRequests) localPortion(minPortion float64) float64 {
	if r.local+r.remote <= 0 {
		return minPortion
	}
	return max(minPortion, r.local/(r.local+r.remote))
}

// allowance is the number of requests that a process may still admit in the current
// window.
type allowance struct {
	openedAt  time.Time
	unlimited bool // the process may use all that is free
	remaining int
}

// advance starts a window at now if the previous one has ended. free is how much of the
// limit is free according to the local and reported totals.
func (a *allowance) advance(now time.Time, free int, portion float64) {
	if now.Sub(a.openedAt) < allowanceWindow {
		return
	}
	a.openedAt = now
	a.unlimited = portion >= 1
	a.remaining = 0
	if free > 0 {
		a.remaining = max(1, int(math.Ceil(float64(free)*portion)))
	}
}

// exhausted reports whether the process has to wait for the next window.
func (a *allowance) exhausted() bool { return !a.unlimited && a.remaining <= 0 }

// newRefusal returns the error for a request that exceeds a limit and has not run.
func newRefusal(reason request.Reason, after time.Duration) *request.RefusedError {
	return &request.RefusedError{
		Reason:     reason,
		Outcome:    request.OutcomeNotRun,
		RetryAfter: min(max(after, minRetryAfter), maxRetryAfter),
	}
}

// decayFactor returns the remaining weight of a count after elapsed seconds.
func decayFactor(elapsed float64) float64 { return math.Exp(-elapsed / decayTimeConstantSeconds) }

// retryDelay returns seconds as a duration of at most maxRetryAfter.
func retryDelay(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
