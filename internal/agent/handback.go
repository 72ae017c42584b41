package agent

import (
	"slices"

	"github.com/mastichollow/mastichollow/internal/wire"
)

func (s *scheduler) drop(at *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.phase < phaseStaged && s.dropLocked(at, nil) {
		s.dispatch()
	}
	return at.phase == phaseDropped
}

func (s *scheduler) unstage(at *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropLocked(at, nil) {
		s.dispatch()
	}
	return at.phase == phaseDropped
}

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

func (s *scheduler) handBack(refusal *wire.Refuse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handBackLocked(refusal)
}

func (s *scheduler) handBackLocked(refusal *wire.Refuse) {
	for at := range s.parked {
		s.dropLocked(at, refusal)
	}
	for _, at := range s.waiting {
		s.dropLocked(at, refusal)
	}
}

func (s *scheduler) closedBy() *wire.Refuse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}
