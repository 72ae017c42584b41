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

// suspectDrainDelay is how long a suspect whose home is another agent waits for
// the target to become idle. After that, nothing else is granted until the
// suspect has run. At its home agent this applies at once. A suspect that is
// offered to several agents thus drains only one of them.
const suspectDrainDelay = 5 * time.Second

// extraGrants is the number of attempts of each class that are granted beyond
// the slots of the class, so that a free slot does not wait for a round trip to
// a router.
const extraGrants = 1

// scheduler assigns the target's slots to attempts. It owns the phase of each
// attempt.
type scheduler struct {
	slots      int
	batchSlots int // slots that batch attempts may occupy

	ledger *fairness.Ledger
	limits *limit.ConcurrencyLimiter
	// isSuspect reports whether a request with this fingerprint was running
	// when a target crashed.
	isSuspect func(fingerprint []byte) bool
	// onSlotReleased is called with the time for which a released slot was
	// occupied.
	onSlotReleased func(time.Duration)

	mu                 sync.Mutex
	queue              *fairness.Queue
	blocked            map[*attempt]struct{}          // in phaseNew, waiting for a fingerprint lock
	waiting            map[request.AttemptID]*attempt // in phaseQueued
	staged             []*attempt                     // in phaseStaged, in order of arrival
	running            map[*attempt]struct{}          // in phaseRunning
	granted            int                            // number of attempts in phaseGranted
	batchOccupied      int                            // batch attempts that are granted, staged or running
	batchRunning       int                            // batch attempts that are running
	startedByWorkspace map[workspace.RowID]uint64     // attempts that were given a slot
	homeWaiting        map[workspace.RowID]int        // waiting offers for which this is the home agent
	waitingInteractive int                            // interactive attempts in phaseQueued
	exclusive          *attempt                       // suspect that waits for exclusive use of the target, or has it
	closed             *wire.Refuse                   // if set, nothing more is granted
	requestLimit       requestLimit
	limitTimer         *time.Timer   // pending dispatch after the request limit was used up; nil if none
	meanSlotTime       time.Duration // moving average of the time for which a request occupies a slot
}

func newScheduler(ledger *fairness.Ledger, limits *limit.ConcurrencyLimiter, slots, batchSlots int) *scheduler {
	return &scheduler{
		slots:              slots,
		batchSlots:         batchSlots,
		ledger:             ledger,
		limits:             limits,
		queue:              fairness.NewQueue(ledger),
		blocked:            make(map[*attempt]struct{}),
		waiting:            make(map[request.AttemptID]*attempt),
		running:            make(map[*attempt]struct{}),
		startedByWorkspace: make(map[workspace.RowID]uint64),
		homeWaiting:        make(map[workspace.RowID]int),
	}
}

// enqueue queues at and dispatches. queueLimit is the queue limit of the
// workspace. It returns the number of offers queued ahead of at, the refusal if
// the scheduler is closed or has dropped at, or an error marked
// fairness.ErrQueueFull.
func (s *scheduler) enqueue(at *attempt, queueLimit int) (ahead int, refusal *wire.Refuse, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.phase == phaseDropped {
		return 0, at.refusal, nil // refused while it waited for its fingerprint lock
	}
	delete(s.blocked, at)
	if s.closed != nil {
		at.phase = phaseDropped
		return 0, s.closed, nil
	}
	ahead = s.queue.Len()
	at.queuedAt = time.Now()
	if err := s.queue.Push(at.entry, queueLimit); err != nil {
		at.phase = phaseDropped
		return 0, nil, err
	}
	s.waiting[at.offer.Attempt] = at
	at.phase = phaseQueued
	s.adjustWaiting(at, 1)
	s.dispatchLocked()
	return ahead, nil, nil
}

// block registers at as waiting for its fingerprint lock, so that it is refused
// together with the queued offers.
func (s *scheduler) block(at *attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blocked[at] = struct{}{}
	if s.closed != nil {
		s.dropLocked(at, s.closed)
	}
}

// adjustWaiting adds delta to the counters of waiting offers that at belongs
// to. s.mu is held.
func (s *scheduler) adjustWaiting(at *attempt, delta int) {
	if at.offer.Class == request.ClassInteractive {
		s.waitingInteractive += delta
	}
	if at.offer.Home {
		s.homeWaiting[at.offer.Workspace] += delta
	}
}

// dispatch applies a change of the limits: it grants what they now allow.
func (s *scheduler) dispatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatchLocked()
}

// dispatchLocked starts staged attempts in free slots and grants waiting
// offers. s.mu is held.
func (s *scheduler) dispatchLocked() {
	s.startStaged()
	for s.closed == nil && s.hasCapacity() && s.withinRequestLimit() {
		at := s.popNext()
		if at == nil {
			return
		}
		s.grant(at)
	}
}

// hasCapacity reports whether there is capacity for the class of any waiting
// offer. s.mu is held.
func (s *scheduler) hasCapacity() bool {
	return s.hasCapacityFor(request.ClassBatch) && len(s.waiting) > 0 ||
		s.hasCapacityFor(request.ClassInteractive) && s.waitingInteractive > 0
}

// hasCapacityFor reports whether one more attempt of class may be granted. A
// batch attempt that waits for a batch slot uses no capacity of interactive
// attempts. s.mu is held.
func (s *scheduler) hasCapacityFor(class request.Class) bool {
	if class == request.ClassBatch {
		return s.batchOccupied < s.batchSlots+extraGrants && s.occupied() < s.slots+extraGrants
	}
	interactive := s.occupied() - s.batchOccupied
	return interactive+min(s.batchOccupied, s.batchSlots) < s.slots+extraGrants
}

// popNext removes the next attempt to grant from the queue, or returns nil. A
// suspect is granted once no slot is occupied, and nothing else is granted
// until it has ended. s.mu is held.
func (s *scheduler) popNext() *attempt {
	if s.exclusive == nil {
		e, ok := s.queue.Pop(s.eligible)
		if !ok {
			return nil
		}
		at := s.waiting[e.Attempt]
		at.runsAlone = s.isSuspectAttempt(at)
		if !at.runsAlone {
			return at
		}
		s.exclusive = at
	}
	if s.exclusive.phase != phaseQueued || s.occupied() > 0 {
		return nil
	}
	return s.exclusive
}

// eligible reports whether e may be granted now. s.mu is held.
func (s *scheduler) eligible(e fairness.WaitingOffer) bool {
	if !s.hasCapacityFor(e.Class) {
		return false
	}
	at := s.waiting[e.Attempt]
	if s.occupied() > 0 && s.isSuspectAttempt(at) && !at.mayDrainTarget(time.Now()) {
		return false
	}
	return s.limits.MayStart(e.Workspace, time.Now())
}

// isSuspectAttempt reports whether at is a suspect, according to its offer or
// to this agent.
func (s *scheduler) isSuspectAttempt(at *attempt) bool {
	return at.offer.Suspect || s.isSuspect(at.offer.Fingerprint)
}

// mayDrainTarget reports whether at, a suspect, may keep other attempts from
// being granted until the target is idle.
func (at *attempt) mayDrainTarget(now time.Time) bool {
	return at.offer.Home || now.Sub(at.queuedAt) >= suspectDrainDelay
}

// grant gives at a free slot or one of the extra grants. s.mu is held.
func (s *scheduler) grant(at *attempt) {
	delete(s.waiting, at.offer.Attempt)
	s.adjustWaiting(at, -1)
	at.phase = phaseGranted
	s.granted++
	s.requestLimit.take()
	at.account = s.ledger.Start(at.entry.Workspace, at.entry.CostHint)
	s.limits.Start(at.entry.Workspace, time.Now())
	if at.offer.Class == request.ClassBatch {
		s.batchOccupied++
	}
	close(at.granted)
}
