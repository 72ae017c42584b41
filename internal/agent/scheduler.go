package agent

import (
	"slices"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/fairness"
	"github.com/mastichollow/mastichollow/internal/limit"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// suspectPatience is how long a suspect whose home is another agent waits for
// the target to be idle by itself. After that, and at its home agent at once,
// nothing else is granted until it is. So a suspect that is offered to several
// agents drains one of them.
const suspectPatience = 5 * time.Second

// spareGrants is the number of attempts granted beyond the slots, so that a
// slot that falls free has a request at hand.
const spareGrants = 1

// scheduler gives slots to attempts. It owns the phase of each attempt.
type scheduler struct {
	slots      int
	batchSlots int // slots that batch work may take

	ledger *fairness.Ledger
	limits *limit.Concurrency
	// isSuspect reports whether a fingerprint ran at a crash of a target.
	isSuspect func(fingerprint []byte) bool
	// onBusy is told how long a slot was busy.
	onBusy func(time.Duration)

	mu       sync.Mutex
	queue    *fairness.Queue
	parked   map[*attempt]struct{}          // phaseNew, wait for their fingerprint
	waiting  map[request.AttemptID]*attempt // phaseQueued
	staged   []*attempt                     // phaseStaged, in order of arrival
	running  map[*attempt]struct{}          // phaseRunning
	granted  int                            // attempts in phaseGranted
	batch    int                            // batch attempts granted, staged or running
	batchRun int                            // batch attempts running
	starts   map[workspace.RowID]uint64     // attempts that got a slot
	homes    map[workspace.RowID]int        // waiting offers whose home is here
	alone    *attempt                       // suspect that waits for or has the target for itself
	closed   *wire.Refuse                   // set: nothing more is granted
	slotTime time.Duration                  // smoothed time that a request keeps a slot
}

func newScheduler(ledger *fairness.Ledger, limits *limit.Concurrency, slots, batchSlots int) *scheduler {
	return &scheduler{
		slots:      slots,
		batchSlots: batchSlots,
		ledger:     ledger,
		limits:     limits,
		queue:      fairness.NewQueue(ledger),
		parked:     make(map[*attempt]struct{}),
		waiting:    make(map[request.AttemptID]*attempt),
		running:    make(map[*attempt]struct{}),
		starts:     make(map[workspace.RowID]uint64),
		homes:      make(map[workspace.RowID]int),
	}
}

// admit queues at and grants what can be granted. limit is the workspace's
// queue limit. It returns the number of offers that wait before it, or an
// error marked fairness.ErrQueueFull, or the refusal of a closed scheduler.
func (s *scheduler) admit(at *attempt, limit int) (ahead int, refusal *wire.Refuse, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.phase == phaseDropped {
		return 0, at.refusal, nil // handed back while it was parked
	}
	delete(s.parked, at)
	if s.closed != nil {
		at.phase = phaseDropped
		return 0, s.closed, nil
	}
	ahead = s.queue.Len()
	at.queuedAt = time.Now()
	if err := s.queue.Push(at.entry, limit); err != nil {
		at.phase = phaseDropped
		return 0, nil, err
	}
	s.waiting[at.offer.Attempt] = at
	at.phase = phaseQueued
	s.countHome(at, 1)
	s.dispatch()
	return ahead, nil, nil
}

// park notes that at waits for its fingerprint, so that it is handed back with
// what waits for a slot.
func (s *scheduler) park(at *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parked[at] = struct{}{}
	if s.closed != nil {
		s.dropLocked(at, s.closed)
	}
}

// countHome counts the waiting offers whose home is here. s.mu is held.
func (s *scheduler) countHome(at *attempt, n int) {
	if at.offer.Home {
		s.homes[at.offer.Workspace] += n
	}
}

// reconsider grants what can be granted after a change of the limits.
func (s *scheduler) reconsider() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch()
}

// dispatch starts staged attempts and grants waiting ones. s.mu is held.
func (s *scheduler) dispatch() {
	s.startStaged()
	for s.closed == nil && s.occupied() < s.slots+spareGrants {
		at := s.pick()
		if at == nil {
			return
		}
		s.grant(at)
	}
}

// occupied returns the number of attempts granted, staged and running. s.mu is
// held.
func (s *scheduler) occupied() int { return s.granted + len(s.staged) + len(s.running) }

// pick takes the next attempt to grant out of the queue, or returns nil. A
// suspect is granted once nothing else is held, and nothing else is until it
// has ended. s.mu is held.
func (s *scheduler) pick() *attempt {
	if s.alone == nil {
		e, ok := s.queue.Pop(s.eligible)
		if !ok {
			return nil
		}
		at := s.waiting[e.Attempt]
		at.suspect = s.runsAlone(at)
		if !at.suspect {
			return at
		}
		s.alone = at
	}
	if s.alone.phase != phaseQueued || s.occupied() > 0 {
		return nil
	}
	return s.alone
}

// eligible reports whether the limits let e run now. s.mu is held.
func (s *scheduler) eligible(e fairness.Entry) bool {
	if e.Class == request.ClassBatch && s.batch >= s.batchSlots+spareGrants {
		return false
	}
	at := s.waiting[e.Attempt]
	if s.occupied() > 0 && s.runsAlone(at) && !at.drains(time.Now()) {
		return false
	}
	return s.limits.MayStart(e.Workspace, time.Now())
}

// runsAlone reports whether at is a suspect.
func (s *scheduler) runsAlone(at *attempt) bool {
	return at.offer.Suspect || s.isSuspect(at.offer.Fingerprint)
}

// drains reports whether at, a suspect, may keep others from being granted.
func (at *attempt) drains(now time.Time) bool {
	return at.offer.Home || now.Sub(at.queuedAt) >= suspectPatience
}

// grant gives at a slot or the spare grant. s.mu is held.
func (s *scheduler) grant(at *attempt) {
	delete(s.waiting, at.offer.Attempt)
	s.countHome(at, -1)
	at.phase = phaseGranted
	s.granted++
	at.account = s.ledger.Start(at.entry.Workspace, at.entry.CostHint)
	s.limits.Start(at.entry.Workspace, time.Now())
	if at.offer.Class == request.ClassBatch {
		s.batch++
	}
	close(at.granted)
}

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
		s.countHome(at, -1)
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

// leave ends the holding of at. s.mu is held.
func (s *scheduler) leave(at *attempt) {
	s.limits.Done(at.offer.Workspace)
	if at.offer.Class == request.ClassBatch {
		s.batch--
	}
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
