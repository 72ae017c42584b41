package agent

import (
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

// spareGrants is the number of attempts of each class granted beyond the slots
// that the class may take, so that a slot that falls free has a request at hand.
const spareGrants = 1

// scheduler gives slots to attempts. It owns the phase of each attempt.
type scheduler struct {
	slots      int
	batchSlots int // slots that batch work may take

	ledger *fairness.Ledger
	limits *limit.ConcurrencyLimiter
	// isSuspect reports whether a fingerprint ran at a crash of a target.
	isSuspect func(fingerprint []byte) bool
	// onBusy is told how long a slot was busy.
	onBusy func(time.Duration)

	mu                 sync.Mutex
	queue              *fairness.Queue
	parked             map[*attempt]struct{}          // phaseNew, wait for their fingerprint
	waiting            map[request.AttemptID]*attempt // phaseQueued
	staged             []*attempt                     // phaseStaged, in order of arrival
	running            map[*attempt]struct{}          // phaseRunning
	granted            int                            // attempts in phaseGranted
	batch              int                            // batch attempts granted, staged or running
	batchRun           int                            // batch attempts running
	starts             map[workspace.RowID]uint64     // attempts that got a slot
	homes              map[workspace.RowID]int        // waiting offers whose home is here
	waitingInteractive int                            // interactive attempts in phaseQueued
	alone              *attempt                       // suspect that waits for or has the target for itself
	closed             *wire.Refuse                   // set: nothing more is granted
	slotTime           time.Duration                  // smoothed time that a request keeps a slot
}

func newScheduler(ledger *fairness.Ledger, limits *limit.ConcurrencyLimiter, slots, batchSlots int) *scheduler {
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
	s.countWaiting(at, 1)
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

// countWaiting counts the waiting offers that are interactive or whose home is
// here. s.mu is held.
func (s *scheduler) countWaiting(at *attempt, n int) {
	if at.offer.Class == request.ClassInteractive {
		s.waitingInteractive += n
	}
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
	for s.closed == nil && s.hasRoom() {
		at := s.pick()
		if at == nil {
			return
		}
		s.grant(at)
	}
}

// hasRoom reports whether a waiting offer may find room. s.mu is held.
func (s *scheduler) hasRoom() bool {
	return s.hasRoomFor(request.ClassBatch) && len(s.waiting) > 0 ||
		s.hasRoomFor(request.ClassInteractive) && s.waitingInteractive > 0
}

// hasRoomFor reports whether one more attempt of class may be granted. A batch
// attempt that waits for a slot of its class takes no room of interactive ones.
// s.mu is held.
func (s *scheduler) hasRoomFor(class request.Class) bool {
	if class == request.ClassBatch {
		return s.batch < s.batchSlots+spareGrants && s.occupied() < s.slots+spareGrants
	}
	interactive := s.occupied() - s.batch
	return interactive+min(s.batch, s.batchSlots) < s.slots+spareGrants
}

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
func (s *scheduler) eligible(e fairness.WaitingOffer) bool {
	if !s.hasRoomFor(e.Class) {
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
	s.countWaiting(at, -1)
	at.phase = phaseGranted
	s.granted++
	at.account = s.ledger.Start(at.entry.Workspace, at.entry.CostHint)
	s.limits.Start(at.entry.Workspace, time.Now())
	if at.offer.Class == request.ClassBatch {
		s.batch++
	}
	close(at.granted)
}
