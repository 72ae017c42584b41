package agent

import (
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// occupied returns the number of granted, staged and running attempts. s.mu is
// held.
func (s *scheduler) occupied() int { return s.granted + len(s.staged) + len(s.running) }

// stage stores at's Run and reports whether at was still granted. If the
// scheduler is closed and no slot is free, at is dropped.
func (s *scheduler) stage(at *attempt, run *wire.Run, fence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.phase != phaseGranted {
		return false
	}
	at.setCall(run, fence)
	at.phase = phaseStaged
	s.granted--
	s.staged = append(s.staged, at)
	s.dispatchLocked()
	if s.closed != nil && at.phase == phaseStaged {
		s.dropLocked(at, s.closed)
	}
	return true
}

// startStaged assigns free slots to staged attempts. s.mu is held.
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

// nextStaged returns the index of the staged attempt to start next, or -1.
// Interactive attempts take precedence. s.mu is held.
func (s *scheduler) nextStaged() int {
	interactive := func(at *attempt) bool { return at.offer.Class != request.ClassBatch }
	if i := slices.IndexFunc(s.staged, interactive); i >= 0 {
		return i
	}
	if len(s.staged) > 0 && s.batchRunning < s.batchSlots {
		return 0
	}
	return -1
}

// start assigns a slot to at. s.mu is held.
func (s *scheduler) start(at *attempt) {
	at.phase = phaseRunning
	at.startedAt = time.Now()
	s.running[at] = struct{}{}
	s.startedByWorkspace[at.offer.Workspace]++
	if at.offer.Class == request.ClassBatch {
		s.batchRunning++
	}
	close(at.started)
}

// releaseCapacity releases at's place in the concurrency limit of its workspace
// and in the batch capacity. s.mu is held.
func (s *scheduler) releaseCapacity(at *attempt) {
	s.limits.Done(at.offer.Workspace)
	if at.offer.Class == request.ClassBatch {
		s.batchOccupied--
	}
}

// markForwarded reports whether at may be forwarded to the target now. From
// this call on, at counts as possibly run.
func (s *scheduler) markForwarded(at *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.withdrawn || at.phase != phaseRunning {
		return false
	}
	at.forwarded = true
	return true
}

// finish releases at's slot. completed is set if the request ran to completion.
func (s *scheduler) finish(at *attempt, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, at)
	at.phase = phaseEnded
	if at.offer.Class == request.ClassBatch {
		s.batchRunning--
	}
	if s.exclusive == at {
		s.exclusive = nil
	}
	busy := time.Since(at.startedAt)
	s.onSlotReleased(busy)
	s.updateMeanSlotTime(busy)
	s.releaseCapacity(at)
	if completed {
		at.account.Finish()
	} else {
		at.account.Cancel()
	}
	s.dispatchLocked()
}

// updateMeanSlotTime adds a sample to the moving average. s.mu is held.
func (s *scheduler) updateMeanSlotTime(busy time.Duration) {
	const divisor = 8 // a new sample has a weight of 1/8
	if s.meanSlotTime == 0 {
		s.meanSlotTime = busy
		return
	}
	s.meanSlotTime += (busy - s.meanSlotTime) / divisor
}
