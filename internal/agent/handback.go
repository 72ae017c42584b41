package agent

import (
	"slices"

	"github.com/mastichollow/mastichollow/internal/wire"
)

// drop takes at back unless it has its Run. It reports whether at is dropped:
// then it did not run and never will.
func (s *scheduler) drop(at *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.phase < phaseStaged && s.dropLocked(at, nil) {
		s.dispatch()
	}
	return at.phase == phaseDropped
}

// unstage takes at back unless it has a slot. It reports whether at is
// dropped.
func (s *scheduler) unstage(at *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropLocked(at, nil) {
		s.dispatch()
	}
	return at.phase == phaseDropped
}

// dropLocked drops at, with refusal for its stream, and reports whether it did
// so now. s.mu is held.
func (s *scheduler) dropLocked(at *attempt, refusal *wire.Refuse) bool {
	switch at.phase {
	case phaseNew:
		delete(s.parked, at)
	case phaseQueued:
		delete(s.waiting, at.offer.Attempt)
		s.countWaiting(at, -1)
		s.queue.Remove(at.entry)
	case phaseGranted:
		s.granted--
		s.leave(at)
		at.account.Cancel()
	case phaseStaged:
		i := slices.Index(s.staged, at)
		s.staged = slices.Delete(s.staged, i, i+1)
		s.leave(at)
		at.account.Cancel()
	default:
		return false
	}
	if s.alone == at {
		s.alone = nil
	}
	at.phase = phaseDropped
	at.refusal = refusal
	close(at.gone)
	return true
}

// withdraw takes at back for its router. It reports whether at was dropped. An
// attempt that has a slot but was not handed over ends as not run; a
// repeatable one that was handed over is cancelled.
func (s *scheduler) withdraw(at *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropLocked(at, nil) {
		s.dispatch()
		return true
	}
	at.withdrawn = true
	if at.handed && at.repeatable() {
		at.cancel(errWithdrawn)
	}
	return at.phase == phaseDropped
}

// close hands back what waits and grants nothing more. What has no slot yet
// counts as waiting, so that a target that is leaving gets nothing new; a grant
// under way is honoured if there is a free slot.
func (s *scheduler) close(refusal *wire.Refuse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed == nil {
		s.closed = refusal
	}
	s.handBackLocked(refusal)
	for _, at := range slices.Clone(s.staged) {
		s.dropLocked(at, refusal)
	}
}

// handBack hands back what waits.
func (s *scheduler) handBack(refusal *wire.Refuse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handBackLocked(refusal)
}

// handBackLocked hands back what waits. s.mu is held.
func (s *scheduler) handBackLocked(refusal *wire.Refuse) {
	for at := range s.parked {
		s.dropLocked(at, refusal)
	}
	for _, at := range s.waiting {
		s.dropLocked(at, refusal)
	}
}

// closedBy returns the refusal with which the scheduler was closed, or nil.
func (s *scheduler) closedBy() *wire.Refuse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}
