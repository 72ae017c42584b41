package agent

import (
	"slices"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/request"
)

// maxDropped is the number of dropped attempts that are remembered, so that a
// router which asks for one learns that it did not run.
const maxDropped = 4096

// attempts finds attempts by ID, for streams that resume an answer. Finished
// ones are kept for a time, within a bound of bytes.
type attempts struct {
	keep      time.Duration
	keepBytes int

	mu       sync.Mutex
	byID     map[request.AttemptID]*attempt
	finished []*attempt // oldest first
	bytes    int        // of the finished ones
	dropped  map[request.AttemptID]struct{}
	ring     []request.AttemptID // dropped ones in order, maxDropped at most
	next     int                 // place in ring
	empty    chan struct{}       // not nil: closed once byID is empty
}

func newAttempts(keep time.Duration, keepBytes int) *attempts {
	return &attempts{
		keep:      keep,
		keepBytes: keepBytes,
		byID:      make(map[request.AttemptID]*attempt),
		dropped:   make(map[request.AttemptID]struct{}),
	}
}

// add records at and reports false when its ID was used before.
func (as *attempts) add(at *attempt) bool {
	as.mu.Lock()
	defer as.mu.Unlock()
	id := at.offer.Attempt
	_, dropped := as.dropped[id]
	if as.byID[id] != nil || dropped {
		return false
	}
	as.byID[id] = at
	return true
}

// find returns the attempt under id, or whether it was dropped.
func (as *attempts) find(id request.AttemptID) (at *attempt, dropped bool) {
	as.mu.Lock()
	defer as.mu.Unlock()
	_, dropped = as.dropped[id]
	return as.byID[id], dropped
}

// drop remembers that at did not run and never will.
func (as *attempts) drop(at *attempt) {
	as.mu.Lock()
	defer as.mu.Unlock()
	id := at.offer.Attempt
	if as.byID[id] != at {
		return
	}
	as.remove(id)
	as.dropped[id] = struct{}{}
	if len(as.ring) < maxDropped {
		as.ring = append(as.ring, id)
		return
	}
	delete(as.dropped, as.ring[as.next])
	as.ring[as.next] = id
	as.next = (as.next + 1) % maxDropped
}

// finish keeps the answer of at for a time.
func (as *attempts) finish(at *attempt) {
	as.mu.Lock()
	defer as.mu.Unlock()
	if as.byID[at.offer.Attempt] != at {
		return // delivered
	}
	as.finished = append(as.finished, at)
	as.bytes += at.out.size()
	for as.bytes > as.keepBytes && len(as.finished) > 1 {
		as.forgetLocked(as.finished[0])
	}
	time.AfterFunc(as.keep, func() { as.forget(at) })
}

// forget drops the answer of at.
func (as *attempts) forget(at *attempt) {
	as.mu.Lock()
	defer as.mu.Unlock()
	as.forgetLocked(at)
}

// forgetLocked drops the answer of at. as.mu is held.
func (as *attempts) forgetLocked(at *attempt) {
	if as.byID[at.offer.Attempt] != at {
		return
	}
	as.remove(at.offer.Attempt)
	if i := slices.Index(as.finished, at); i >= 0 {
		as.finished = slices.Delete(as.finished, i, i+1)
		as.bytes -= at.out.size()
	}
}

// remove takes id out of the live attempts. as.mu is held.
func (as *attempts) remove(id request.AttemptID) {
	delete(as.byID, id)
	if len(as.byID) == 0 && as.empty != nil {
		close(as.empty)
		as.empty = nil
	}
}

// whenEmpty returns a channel that is closed once no attempt is live and no
// answer is kept.
func (as *attempts) whenEmpty() <-chan struct{} {
	as.mu.Lock()
	defer as.mu.Unlock()
	if len(as.byID) == 0 {
		done := make(chan struct{})
		close(done)
		return done
	}
	if as.empty == nil {
		as.empty = make(chan struct{})
	}
	return as.empty
}
