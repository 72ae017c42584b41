package admission

import (
	"maps"
	"math"
	"time"

	"github.com/mastichollow/mastichollow/internal/target"
)

// maxRequestLimits bounds the limits that a gate retains, about 100 bytes each.
const maxRequestLimits = 4096

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

// requestLimits holds the request limits that targets name in their responses.
//
// Invariant: a limit ends when a response to a request that was sent after the limit was
// last named names none, or when the target restarts or is gone.
type requestLimits struct {
	targets map[string]*requestLimit // by target ID
}

// requestLimit is the state of one target.
type requestLimit struct {
	targetStarted int64
	perSecond     float64
	named         bool
	namedAt       time.Duration // when a response last named the limit; negative: never
	endedAt       time.Duration // when the newest request was sent whose response named none; negative: never
}

func newRequestLimits() *requestLimits {
	return &requestLimits{targets: make(map[string]*requestLimit)}
}

// stateOf returns the state of the run of a target, nil if there is no room for it.
func (l *requestLimits) stateOf(instance *target.Instance) *requestLimit {
	known := l.targets[instance.ID]
	if known != nil && known.targetStarted == instance.StartedMillis {
		return known
	}
	if known == nil && len(l.targets) >= maxRequestLimits {
		return nil
	}
	state := &requestLimit{targetStarted: instance.StartedMillis, namedAt: -1, endedAt: -1}
	l.targets[instance.ID] = state
	return state
}

// record applies what a response of a target to a request sent at sentAt says. It reports
// whether the limit changed.
func (l *requestLimits) record(now, sentAt time.Duration, instance *target.Instance, stated RequestLimit) bool {
	switch stated.Statement {
	case LimitNamed:
		state := l.stateOf(instance)
		if state == nil {
			return false
		}
		return state.name(now, stated.PerSecond)
	case LimitAbsent:
		state := l.targets[instance.ID]
		if state == nil || state.targetStarted != instance.StartedMillis {
			return false
		}
		return state.end(sentAt)
	default:
		return false
	}
}

// name applies that a response named the limit at a time. It reports whether the limit
// changed.
func (s *requestLimit) name(at time.Duration, perSecond float64) bool {
	if at <= s.endedAt || at < s.namedAt {
		return false
	}
	changed := !s.named || s.perSecond != perSecond
	s.named, s.namedAt, s.perSecond = true, at, perSecond
	return changed
}

// end applies that the response to a request sent at a time named no limit. It reports
// whether the limit ended by that.
func (s *requestLimit) end(sentAt time.Duration) bool {
	s.endedAt = max(s.endedAt, sentAt)
	if !s.named || sentAt <= s.namedAt {
		return false
	}
	s.named = false
	return true
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
