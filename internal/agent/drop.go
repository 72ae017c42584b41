package agent

import (
	"slices"

	"github.com/mastichollow/mastichollow/internal/wire"
)

// drop drops at unless its Run has arrived. It reports whether at is dropped,
// which means that it has not run and never will.
func (s *scheduler) drop(at *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.phase < phaseStaged && s.dropLocked(at, nil) {
		s.dispatchLocked()
	}
	return at.phase == phaseDropped
}

// unstage drops at unless it has a slot. It reports whether at is dropped.
func (s *scheduler) unstage(at *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropLocked(at, nil) {
		s.dispatchLocked()
	}
	return at.phase == phaseDropped
}

// dropLocked drops at if it has no slot yet, and reports whether it did.
// refusal is what its stream sends. s.mu is held.
func (s *scheduler) dropLocked(at *attempt, refusal *wire.Refuse) bool {
	switch at.phase {
	case phaseNew:
		delete(s.blocked, at)
	case phaseQueued:
		delete(s.waiting, at.offer.Attempt)
		s.adjustWaiting(at, -1)
		s.queue.Remove(at.entry)
	case phaseGranted:
		s.granted--
		s.requestLimit.giveBack()
		s.releaseCapacity(at)
		at.account.Cancel()
	case phaseStaged:
		i := slices.Index(s.staged, at)
		s.staged = slices.Delete(s.staged, i, i+1)
		s.requestLimit.giveBack()
		s.releaseCapacity(at)
		at.account.Cancel()
	default:
		return false
	}
	if s.exclusive == at {
		s.exclusive = nil
	}
	at.phase = phaseDropped
	at.refusal = refusal
	close(at.dropped)
	return true
}

// withdraw handles a withdrawal by the router and reports whether at is
// dropped. An attempt that has a slot but was not forwarded ends as not run. A
// repeatable attempt that was forwarded is cancelled.
func (s *scheduler) withdraw(at *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropLocked(at, nil) {
		s.dispatchLocked()
		return true
	}
	at.withdrawn = true
	if at.forwarded && at.repeatable() {
		at.cancel(errWithdrawn)
	}
	return at.phase == phaseDropped
}

// close refuses waiting and staged attempts and grants nothing more. Staged
// attempts are refused because a target that is leaving must not start new
// requests. A granted attempt whose Run arrives later is served if a slot is
// free.
func (s *scheduler) close(refusal *wire.Refuse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed == nil {
		s.closed = refusal
	}
	s.refuseWaitingLocked(refusal)
	for _, at := range slices.Clone(s.staged) {
		s.dropLocked(at, refusal)
	}
}

// refuseWaiting refuses all offers that are blocked or queued.
func (s *scheduler) refuseWaiting(refusal *wire.Refuse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseWaitingLocked(refusal)
}

// refuseWaitingLocked refuses all offers that are blocked or queued. s.mu is
// held.
func (s *scheduler) refuseWaitingLocked(refusal *wire.Refuse) {
	for at := range s.blocked {
		s.dropLocked(at, refusal)
	}
	for _, at := range s.waiting {
		s.dropLocked(at, refusal)
	}
}

// closeRefusal returns the refusal with which the scheduler was closed, or nil.
func (s *scheduler) closeRefusal() *wire.Refuse {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}
