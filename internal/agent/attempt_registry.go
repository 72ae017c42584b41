package agent

import (
	"slices"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/request"
)

// maxDroppedIDs is the number of dropped attempts that are remembered. A Resume
// of one of them is answered with OutcomeNotRun.
const maxDroppedIDs = 4096

// attemptRegistry finds attempts by ID for streams that resume an answer.
// Finished attempts are retained for a limited time and within a limit of
// bytes.
type attemptRegistry struct {
	retention        time.Duration
	maxRetainedBytes int

	mu            sync.Mutex
	byID          map[request.AttemptID]*attempt
	finished      []*attempt // oldest first
	retainedBytes int        // of the finished attempts
	dropped       map[request.AttemptID]struct{}
	droppedRing   []request.AttemptID // ring buffer of the dropped IDs
	nextDropped   int                 // next index to overwrite in droppedRing
	emptied       chan struct{}       // if not nil, closed when byID becomes empty
}

func newAttemptRegistry(retention time.Duration, maxRetainedBytes int) *attemptRegistry {
	return &attemptRegistry{
		retention:        retention,
		maxRetainedBytes: maxRetainedBytes,
		byID:             make(map[request.AttemptID]*attempt),
		dropped:          make(map[request.AttemptID]struct{}),
	}
}

// add registers at. It returns false if its ID is already in use or was
// dropped.
func (r *attemptRegistry) add(at *attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := at.offer.Attempt
	_, dropped := r.dropped[id]
	if r.byID[id] != nil || dropped {
		return false
	}
	r.byID[id] = at
	return true
}

// find returns the attempt with this ID, or nil, and whether it was dropped.
func (r *attemptRegistry) find(id request.AttemptID) (at *attempt, dropped bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, dropped = r.dropped[id]
	return r.byID[id], dropped
}

// drop records that at did not run and never will.
func (r *attemptRegistry) drop(at *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := at.offer.Attempt
	if r.byID[id] != at {
		return
	}
	r.remove(id)
	r.dropped[id] = struct{}{}
	if len(r.droppedRing) < maxDroppedIDs {
		r.droppedRing = append(r.droppedRing, id)
		return
	}
	delete(r.dropped, r.droppedRing[r.nextDropped])
	r.droppedRing[r.nextDropped] = id
	r.nextDropped = (r.nextDropped + 1) % maxDroppedIDs
}

// finish retains the answer of at for the retention time. If the limit of bytes
// is exceeded, the oldest answers are removed.
func (r *attemptRegistry) finish(at *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID[at.offer.Attempt] != at {
		return // already delivered
	}
	r.finished = append(r.finished, at)
	r.retainedBytes += at.buffer.size()
	for r.retainedBytes > r.maxRetainedBytes && len(r.finished) > 1 {
		r.forgetLocked(r.finished[0])
	}
	time.AfterFunc(r.retention, func() { r.forget(at) })
}

// forget removes at and its answer.
func (r *attemptRegistry) forget(at *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetLocked(at)
}

// forgetLocked removes at and its answer. r.mu is held.
func (r *attemptRegistry) forgetLocked(at *attempt) {
	if r.byID[at.offer.Attempt] != at {
		return
	}
	r.remove(at.offer.Attempt)
	if i := slices.Index(r.finished, at); i >= 0 {
		r.finished = slices.Delete(r.finished, i, i+1)
		r.retainedBytes -= at.buffer.size()
	}
}

// remove removes id from the registered attempts. r.mu is held.
func (r *attemptRegistry) remove(id request.AttemptID) {
	delete(r.byID, id)
	if len(r.byID) == 0 && r.emptied != nil {
		close(r.emptied)
		r.emptied = nil
	}
}

// whenEmpty returns a channel that is closed once no attempt is running and no
// answer is retained.
func (r *attemptRegistry) whenEmpty() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.byID) == 0 {
		done := make(chan struct{})
		close(done)
		return done
	}
	if r.emptied == nil {
		r.emptied = make(chan struct{})
	}
	return r.emptied
}
