package admission

import (
	"maps"
	"math"
	"time"

	"github.com/mastichollow/mastichollow/internal/target"
)

const (
	// limitEndRetention is how long the end of a limit is retained, so that reports of
	// peers that have not noticed it do not revive the limit.
	limitEndRetention = 10 * time.Second
	// limitRetention is how long a limit counts without any word of its target.
	limitRetention = 10 * time.Minute
	// maxRequestLimits bounds the limits that a gate retains, about 1 kB each.
	maxRequestLimits = 4096
)

// never is the time of what has not happened. Times that peers report may lie before the
// start of this gate's clock.
const never = time.Duration(math.MinInt64 / 2)

// LimitStatement is what a response says about the request limit of its target.
type LimitStatement uint8

// Statements of responses.
const (
	// LimitAbsent: the response names no limit.
	LimitAbsent LimitStatement = iota
	// LimitNamed: the response names a limit.
	LimitNamed
	// LimitUnknown: the response tells nothing, because it was not made by the target's
	// usual code or because the limit cannot be parsed.
	LimitUnknown
)

// RequestLimit is the request limit of a target as a response states it.
type RequestLimit struct {
	Statement LimitStatement
	PerSecond float64 // requests that the target accepts from all gates together
}

// requestLimits keeps the requests that all gates together send to a target within the
// rate that the target accepts.
//
// Each limited target has a few owners among the gates, at most one for each request per
// second of the limit: those with the highest demand for it, nearest first. Every gate
// computes them from the reports that gates exchange, so there is no coordinator. Owners
// divide the rate by their demand and pace their part with a token bucket that starts empty;
// other gates send nothing.
//
// Invariants:
//   - The parts of owners that agree on the alive gates and their demand sum up to the limit.
//   - A gate that hears of less than half of the known gates uses at most half of their
//     part, since the others may have taken over the rest.
//   - A limit ends when a response to a request that was sent after the limit was last named
//     names none, or when the target restarts or is gone.
type requestLimits struct {
	site    Site
	fleet   Fleet
	targets map[string]*requestLimit // by target ID
	// reportLifetime is how long the demand that a peer reported counts.
	reportLifetime time.Duration
}

// requestLimit is the state of one target.
type requestLimit struct {
	targetStarted int64
	service       string // empty until a request was considered for the target
	perSecond     float64
	named         bool
	namedAt       time.Duration // when a response last named the limit
	endedAt       time.Duration // when the newest request was sent whose response named none
	// localNamedAt and localEndedAt are those of responses to this gate.
	localNamedAt, localEndedAt time.Duration
	changedAt                  time.Duration          // when the limit last began or ended
	demand                     usageWindow            // of this gate
	reportedDemand             float64                // of this gate, as peers know it
	peers                      map[string]limitDemand // demand of peers, by node

	owners   []FleetGate // as computed at ownersAt
	ownersAt time.Duration

	// tokens are the requests that this gate may send now, as of refilledAt. fullSince is
	// since when the bucket has been full, or its last use.
	tokens     float64
	refilledAt time.Duration
	fullSince  time.Duration
}

type limitDemand struct {
	receivedAt time.Duration
	requests   float64
}

func newRequestLimits(site Site) *requestLimits {
	return &requestLimits{site: site, targets: make(map[string]*requestLimit), reportLifetime: minPeerReportLifetime}
}

// setFleet replaces the known fleet.
func (l *requestLimits) setFleet(fleet Fleet) { l.fleet = fleet }

// stateOf returns the state of a run of a target, nil if there is no room for it. Only the
// target itself (authoritative) may replace the state of a later run.
func (l *requestLimits) stateOf(now time.Duration, id string, targetStarted int64, authoritative bool) *requestLimit {
	switch known := l.targets[id]; {
	case known == nil && len(l.targets) >= maxRequestLimits:
		return nil
	case known != nil && known.targetStarted == targetStarted:
		return known
	case known != nil && known.targetStarted > targetStarted && !authoritative:
		return nil
	}
	state := &requestLimit{targetStarted: targetStarted, namedAt: never, endedAt: never, localNamedAt: never, localEndedAt: never, refilledAt: now, changedAt: now, peers: make(map[string]limitDemand)}
	l.targets[id] = state
	return state
}

// record applies what a response of a target to a request sent at sentAt says. It reports
// whether the limit changed.
func (l *requestLimits) record(now, sentAt time.Duration, instance *target.Instance, stated RequestLimit) bool {
	switch stated.Statement {
	case LimitNamed:
		state := l.stateOf(now, instance.ID, instance.StartedMillis, true)
		if state == nil {
			return false
		}
		state.service = instance.Service
		state.localNamedAt = now
		return state.name(now, now, stated.PerSecond)
	case LimitAbsent:
		state := l.targets[instance.ID]
		if state == nil || state.targetStarted != instance.StartedMillis {
			return false
		}
		state.localEndedAt = max(state.localEndedAt, sentAt)
		return state.end(now, sentAt)
	default:
		return false
	}
}

// name applies that a response named the limit at a time. It reports whether the limit
// changed.
func (s *requestLimit) name(now, at time.Duration, perSecond float64) bool {
	if at <= s.endedAt || at < s.namedAt {
		return false
	}
	if !s.named {
		s.changedAt = now
	}
	changed := !s.named || s.perSecond != perSecond
	s.named, s.namedAt, s.perSecond = true, at, perSecond
	return changed
}

// end applies that the response to a request sent at a time named no limit. It reports
// whether the limit ended by that.
func (s *requestLimit) end(now, sentAt time.Duration) bool {
	s.endedAt = max(s.endedAt, sentAt)
	if !s.named || sentAt <= s.namedAt {
		return false
	}
	s.named, s.changedAt = false, now
	return true
}

// limitOf returns the state of a target that is limited, nil if it is not.
func (l *requestLimits) limitOf(instance *target.Instance) *requestLimit {
	if len(l.targets) == 0 {
		return nil
	}
	state := l.targets[instance.ID]
	if state == nil || !state.named || state.targetStarted != instance.StartedMillis {
		return nil
	}
	state.service = instance.Service
	return state
}

// validLimit reports whether a rate can be a limit.
func validLimit(perSecond float64) bool { return perSecond >= 0 && !math.IsInf(perSecond, 0) }

// retain removes the limits of targets for which live returns false.
func (l *requestLimits) retain(live func(id string) bool) {
	maps.DeleteFunc(l.targets, func(id string, _ *requestLimit) bool { return !live(id) })
}

// LimitedTargets returns the number of targets that name a request limit.
func (c *Controller) LimitedTargets() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	limited := 0
	for _, state := range c.requestLimits.targets {
		if state.named {
			limited++
		}
	}
	return limited
}

// RecordRequestLimit records what the response to the request says about the limit of its
// target. It reports whether the limit changed.
func (l *Lease) RecordRequestLimit(now time.Duration, stated RequestLimit) bool {
	c := l.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	if stated.Statement == LimitNamed && !validLimit(stated.PerSecond) {
		return false
	}
	return c.requestLimits.record(now, l.placedAt, &l.target, stated)
}
