package limit

import (
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/fairness/source"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// AdmissionLimiter enforces, at one router, the rate and queue limits of the workspaces
// of one pool.
type AdmissionLimiter struct {
	mu          sync.Mutex
	localSource string
	routerCount int
	minPortion  float64
	limits      map[workspace.RowID]Limits
	states      map[workspace.RowID]*admissionState
	sources     source.Set
}

// NewAdmissionLimiter returns an AdmissionLimiter without limits. localSource is the
// name of the source whose totals include those of this router, such as its failure
// domain; empty if there is none.
func NewAdmissionLimiter(localSource string) *AdmissionLimiter {
	return &AdmissionLimiter{
		localSource: localSource,
		routerCount: 1,
		minPortion:  1,
		states:      make(map[workspace.RowID]*admissionState),
		sources:     make(source.Set),
	}
}

// SetLimits replaces the limits. The state of workspaces without limits is removed
// unless they have requests waiting at this router.
func (a *AdmissionLimiter) SetLimits(limits map[workspace.RowID]Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = limits
	for ws, state := range a.states {
		state.limits = limits[ws]
		if _, ok := limits[ws]; !ok && state.waiting == 0 {
			delete(a.states, ws)
			a.sources.ForgetRow(ws)
		}
	}
}

// SetRouterCount sets how many routers admit requests, including this one.
func (a *AdmissionLimiter) SetRouterCount(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.routerCount = max(n, 1)
	a.minPortion = minPortionOf(n)
}

// Admit admits a request of ws, which counts as waiting until Done is called, or
// returns a *request.RefusedError with the exceeded limit and the time to retry.
func (a *AdmissionLimiter) Admit(ws workspace.RowID, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.state(ws, now)
	state.advance(now, a.minPortion)
	if refused := state.refusal(now); refused != nil {
		return refused
	}
	state.admit()
	return nil
}

// Done records that an admitted request of ws no longer waits: it was granted a slot or
// aborted.
func (a *AdmissionLimiter) Done(ws workspace.RowID, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.state(ws, now)
	state.advance(now, a.minPortion)
	state.waiting = max(state.waiting-1, 0)
	state.recentlyDrained++
	state.queueAllowance.remaining++
}

// LocalTotals returns the totals that this router has to report: admitted and waiting
// requests by workspace.
func (a *AdmissionLimiter) LocalTotals() []wire.Total {
	a.mu.Lock()
	defer a.mu.Unlock()
	totals := make([]wire.Total, 0, len(a.states))
	for ws, state := range a.states {
		if state.admitted == 0 {
			continue
		}
		totals = append(totals, wire.Total{Workspace: ws, Started: state.admitted, Queued: uint32(state.waiting)})
	}
	return totals
}

// Merge applies the totals that a source reported.
func (a *AdmissionLimiter) Merge(header ReportHeader, totals []wire.Total, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sources.Apply(header.sourceReport(totals, a.limits, now), func(c source.Change) { a.applyChange(c, now) })
}

// Expire removes the waiting requests of sources that have not reported for
// source.GaugeLifetime. It should be called about once a second.
func (a *AdmissionLimiter) Expire(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sources.Expire(now, func(c source.Change) { a.applyChange(c, now) })
}

// applyChange applies what a report or an expiry changed at a source. a.mu is held.
func (a *AdmissionLimiter) applyChange(c source.Change, now time.Time) {
	state := a.state(c.Workspace, now)
	state.advance(now, a.minPortion)
	state.merge(c, c.Name == a.localSource, a.routerCount)
}

// state returns the state of ws and creates it if needed. a.mu is held.
func (a *AdmissionLimiter) state(ws workspace.RowID, now time.Time) *admissionState {
	state := a.states[ws]
	if state == nil {
		limits := a.limits[ws]
		state = &admissionState{limits: limits, advancedAt: now}
		state.recentRequests.decayedAt = now
		state.localBucket.tokens = bucketCapacity(limits.Rate * a.minPortion)
		state.fleetBucket.tokens = bucketCapacity(limits.Rate)
		a.states[ws] = state
	}
	return state
}

// admissionState is the state of one workspace at one router.
type admissionState struct {
	limits     Limits
	advancedAt time.Time // time of the last advance
	admitted   uint64    // requests admitted by this router
	waiting    int       // requests waiting at this router

	remoteWaiting      int    // at the sources that do not contain this router
	localSourceWaiting int    // at the source that contains this router
	unacknowledged     uint64 // admitted by this router and not yet in the totals of its source

	localPortion    float64     // of each limit that this router may use
	localBucket     tokenBucket // this router's portion of the rate
	fleetBucket     tokenBucket // the full rate, for the requests that all routers admitted
	queueAllowance  allowance
	recentRequests  recentRequests
	recentlyDrained float64 // requests that left the queues of the fleet, with exponential decay
}

// fleetWaiting returns the waiting requests in the fleet, as far as reported.
func (s *admissionState) fleetWaiting() int {
	return s.remoteWaiting + max(s.waiting, s.localSourceWaiting)
}

// advance updates the state to the time now. minPortion is the minimum portion of each
// limit that this router may use.
func (s *admissionState) advance(now time.Time, minPortion float64) {
	elapsed := max(0, now.Sub(s.advancedAt).Seconds())
	s.advancedAt = now
	s.localPortion = s.recentRequests.localPortion(minPortion)
	s.localBucket.refill(s.limits.Rate*s.localPortion, elapsed)
	s.fleetBucket.refill(s.limits.Rate, elapsed)
	s.recentlyDrained *= decayFactor(elapsed)
	s.recentRequests.decay(now)
	s.queueAllowance.advance(now, s.limits.Queue-s.fleetWaiting(), s.localPortion)
}

// refusal returns why no request may be admitted, or nil.
func (s *admissionState) refusal(now time.Time) error {
	if s.limits.Rate > 0 && min(s.localBucket.tokens, s.fleetBucket.tokens) < 1 {
		return newRefusal(request.ReasonRateLimit, s.timeUntilToken())
	}
	if s.limits.Queue <= 0 {
		return nil
	}
	if s.fleetWaiting() >= s.limits.Queue {
		return newRefusal(request.ReasonQueueFull, s.timeUntilDrained())
	}
	if s.queueAllowance.exhausted() {
		return newRefusal(request.ReasonQueueFull, s.queueAllowance.openedAt.Add(allowanceWindow).Sub(now))
	}
	return nil
}

func (s *admissionState) admit() {
	s.localBucket.tokens--
	s.fleetBucket.tokens--
	s.queueAllowance.remaining--
	s.recentRequests.local++
	s.admitted++
	s.unacknowledged++
	s.waiting++
}

// merge applies what changed at a source.
func (s *admissionState) merge(change source.Change, isLocalSource bool, routerCount int) {
	growth := change.Growth
	if isLocalSource {
		acknowledged := min(growth, s.unacknowledged)
		s.unacknowledged -= acknowledged
		growth -= acknowledged
		s.localSourceWaiting = int(change.After.Queued)
	} else {
		s.remoteWaiting += int(change.After.Queued) - int(change.Before.Queued)
		s.recentlyDrained += max(0, float64(change.Growth)+float64(change.Before.Queued)-float64(change.After.Queued))
	}
	s.fleetBucket.consumeRemote(float64(growth), s.limits.Rate*maxDebtSeconds+float64(routerCount))
	s.recentRequests.remote += float64(growth)
}

// timeUntilToken returns the time until both token buckets have a token.
func (s *admissionState) timeUntilToken() time.Duration {
	return retryDelay(max(s.localBucket.secondsUntilToken(s.limits.Rate*s.localPortion), s.fleetBucket.secondsUntilToken(s.limits.Rate)))
}

// timeUntilDrained returns the time until the waiting requests fall to nine tenths of
// the limit, at the recent rate at which requests left the queues.
func (s *admissionState) timeUntilDrained() time.Duration {
	excess := max(1, float64(s.fleetWaiting())-0.9*float64(s.limits.Queue))
	if s.recentlyDrained <= 0 {
		return maxRetryAfter
	}
	return retryDelay(excess * decayTimeConstantSeconds / s.recentlyDrained)
}
