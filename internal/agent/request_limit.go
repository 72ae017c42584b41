package agent

import (
	"net/http"
	"time"

	"github.com/mastichollow/mastichollow/internal/engine"
)

// minRequestRate is the lowest rate, in requests per second, at which a limited target gets
// requests: one that gets none cannot end its limit.
const minRequestRate = 0.25

// requestLimit paces the requests to a target whose answers name a limit, by a token bucket
// that starts empty. The agent is the only gate to its target, so its rate is the fleet's.
type requestLimit struct {
	named      bool
	namedAt    time.Time // when an answer last named the limit
	rate       float64   // requests per second
	tokens     float64
	refilledAt time.Time
}

// record applies what the header of the answer to a request that was sent at sentAt says. An
// answer to a request that was sent before the limit was last named does not end it.
func (l *requestLimit) record(now, sentAt time.Time, header http.Header) {
	perSecond, named, valid := engine.RequestLimit(header)
	switch {
	case !valid:
	case named:
		l.refill(now)
		if !l.named {
			l.tokens, l.refilledAt = 0, now
		}
		l.named, l.namedAt, l.rate = true, now, max(perSecond, minRequestRate)
	case sentAt.After(l.namedAt):
		l.named = false
	}
}

func (l *requestLimit) refill(now time.Time) {
	depth := max(1, l.rate)
	l.tokens = min(l.tokens+l.rate*now.Sub(l.refilledAt).Seconds(), depth)
	l.refilledAt = now
}

// wait returns how long no request may be sent; 0 if one may be sent now.
func (l *requestLimit) wait(now time.Time) time.Duration {
	if !l.named {
		return 0
	}
	l.refill(now)
	if l.tokens >= 1 {
		return 0
	}
	return max(time.Duration((1-l.tokens)/l.rate*float64(time.Second)), time.Millisecond)
}

// take counts a request that will be sent, giveBack one that was not sent after all.
func (l *requestLimit) take()     { l.tokens-- }
func (l *requestLimit) giveBack() { l.tokens++ }

// recordRequestLimit applies what the answer to at says about the target's request limit.
func (s *scheduler) recordRequestLimit(at *attempt, header http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestLimit.record(time.Now(), at.startedAt, header)
	s.dispatchLocked()
}

// withinRequestLimit reports whether the target's request limit allows one more grant.
// Otherwise it dispatches again when it does. s.mu is held.
func (s *scheduler) withinRequestLimit() bool {
	wait := s.requestLimit.wait(time.Now())
	if wait == 0 {
		return true
	}
	if s.limitTimer == nil {
		s.limitTimer = time.AfterFunc(wait, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.limitTimer = nil
			s.dispatchLocked()
		})
	}
	return false
}
