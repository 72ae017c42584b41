package agent

import (
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// occupied returns the number of attempts granted, staged and running. s.mu is
// held.
func (s *scheduler) occupied() int { return s.granted + len(s.staged) + len(s.running) }

// stage takes at's Run and reports whether at was still granted. A closed
// scheduler drops it unless it gets a slot at once.
func (s *scheduler) stage(at *attempt, run *wire.Run, fence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.phase != phaseGranted {
		return false
	}
	at.setRun(run, fence)
	at.phase = phaseStaged
	s.granted--
	s.staged = append(s.staged, at)
	s.dispatch()
	if s.closed != nil && at.phase == phaseStaged {
		s.dropLocked(at, s.closed)
	}
	return true
}

// startStaged gives free slots to staged attempts. s.mu is held.
func (s *scheduler) startStaged() {
	for len(s.running) < s.slots {
		i := s.nextStaged()
		if i < 0 {
			return
		}
		at := s.staged[i]
		s.staged = slices.Delete(s.staged, i, i+1)
		s.start(at)
	}
}

// nextStaged returns the index of the staged attempt to start, or -1:
// interactive ones go first. s.mu is held.
func (s *scheduler) nextStaged() int {
	interactive := func(at *attempt) bool { return at.offer.Class != request.ClassBatch }
	if i := slices.IndexFunc(s.staged, interactive); i >= 0 {
		return i
	}
	if len(s.staged) > 0 && s.batchRun < s.batchSlots {
		return 0
	}
	return -1
}

// start gives at a slot. s.mu is held.
func (s *scheduler) start(at *attempt) {
	at.phase = phaseRunning
	at.startedAt = time.Now()
	s.running[at] = struct{}{}
	s.starts[at.offer.Workspace]++
	if at.offer.Class == request.ClassBatch {
		s.batchRun++
	}
	close(at.started)
}

// leave ends the holding of at. s.mu is held.
func (s *scheduler) leave(at *attempt) {
	s.limits.Done(at.offer.Workspace)
	if at.offer.Class == request.ClassBatch {
		s.batch--
	}
}

// handOver reports whether at may be handed to the target now. From here on it
// may have run.
func (s *scheduler) handOver(at *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.withdrawn || at.phase != phaseRunning {
		return false
	}
	at.handed = true
	return true
}

// finish takes the slot back. whole tells that the request ran to its end.
func (s *scheduler) finish(at *attempt, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, at)
	at.phase = phaseEnded
	if at.offer.Class == request.ClassBatch {
		s.batchRun--
	}
	if s.alone == at {
		s.alone = nil
	}
	busy := time.Since(at.startedAt)
	s.onBusy(busy)
	s.smooth(busy)
	s.leave(at)
	if whole {
		at.account.Finish()
	} else {
		at.account.Cancel()
	}
	s.dispatch()
}

// smooth adds a slot's time to the average. s.mu is held.
func (s *scheduler) smooth(busy time.Duration) {
	const share = 8 // of the newest figure: 1/8
	if s.slotTime == 0 {
		s.slotTime = busy
		return
	}
	s.slotTime += (busy - s.slotTime) / share
}
