package agent

import (
	"slices"
	"sync"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// fingerprintLocks keeps requests with equal fingerprints from running at the
// same time, as far as this agent sees them: the second waits until the first
// has ended. Each open offer of a request and each running attempt holds a
// reference to the lock. A router offers a request to its home agent first and
// keeps that stream open until the request ends. This bounds the number of
// targets that one crashing request, resent through many routers, reaches
// before it is a suspect.
//
// Once a request with a fingerprint has completed, the fingerprint is known not
// to crash its target. Any number of requests may then hold it, until it
// becomes a suspect.
type fingerprintLocks struct {
	mu            sync.Mutex
	byFingerprint map[string]*fingerprintLock
	waiting       map[workspace.RowID]int // number of waiting requests
	completed     generationalSet         // fingerprints of which a request has completed
	// isSuspect reports whether a request with this fingerprint was running
	// when a target crashed.
	isSuspect func(fingerprint []byte) bool
}

// fingerprintLock is the lock of one fingerprint. Requests with the same ID
// share it.
type fingerprintLock struct {
	owner   request.ID
	refs    int
	waiters []*lockWaiter
}

// lockWaiter is a request that waits for a fingerprint lock.
type lockWaiter struct {
	owner     request.ID
	workspace workspace.RowID
	ready     chan struct{} // closed once owner holds the lock
}

func newFingerprintLocks(isSuspect func(fingerprint []byte) bool) *fingerprintLocks {
	return &fingerprintLocks{
		byFingerprint: make(map[string]*fingerprintLock),
		waiting:       make(map[workspace.RowID]int),
		isSuspect:     isSuspect,
	}
}

// acquire acquires the lock of fingerprint for owner. If another request holds
// it, acquire returns a waiter instead; the caller then waits for it or calls
// cancel. An empty fingerprint needs no lock.
func (l *fingerprintLocks) acquire(fingerprint []byte, owner request.ID, ws workspace.RowID) *lockWaiter {
	if len(fingerprint) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	lock := l.byFingerprint[string(fingerprint)]
	if lock == nil {
		lock = &fingerprintLock{owner: owner}
		l.byFingerprint[string(fingerprint)] = lock
	}
	if lock.owner == owner || l.allowsConcurrency(fingerprint) {
		lock.refs++
		return nil
	}
	waiter := &lockWaiter{owner: owner, workspace: ws, ready: make(chan struct{})}
	lock.waiters = append(lock.waiters, waiter)
	l.waiting[ws]++
	return waiter
}

// release drops one reference to the lock. After the last one, the lock passes
// to the next waiting request.
func (l *fingerprintLocks) release(fingerprint []byte) {
	if len(fingerprint) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	lock := l.byFingerprint[string(fingerprint)]
	lock.refs--
	if lock.refs > 0 {
		return
	}
	if len(lock.waiters) == 0 {
		delete(l.byFingerprint, string(fingerprint))
		return
	}
	l.transfer(lock)
}

// transfer passes lock to the first waiting request, including all waiters of
// that request. l.mu is held.
func (l *fingerprintLocks) transfer(lock *fingerprintLock) {
	lock.owner = lock.waiters[0].owner
	lock.waiters = slices.DeleteFunc(lock.waiters, func(waiter *lockWaiter) bool {
		if waiter.owner != lock.owner {
			return false
		}
		lock.refs++
		l.decrementWaiting(waiter.workspace)
		close(waiter.ready)
		return true
	})
}

// markCompleted records that a request with fingerprint has completed. All
// requests that wait for the lock acquire it.
func (l *fingerprintLocks) markCompleted(fingerprint []byte) {
	if len(fingerprint) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.completed.add(string(fingerprint))
	lock := l.byFingerprint[string(fingerprint)]
	if lock == nil {
		return
	}
	for _, waiter := range lock.waiters {
		lock.refs++
		l.decrementWaiting(waiter.workspace)
		close(waiter.ready)
	}
	lock.waiters = nil
}

// allowsConcurrency reports whether any number of requests may hold the lock of
// fingerprint at once. l.mu is held.
func (l *fingerprintLocks) allowsConcurrency(fingerprint []byte) bool {
	return l.completed.has(string(fingerprint)) && !l.isSuspect(fingerprint)
}

// cancel removes waiter, which waits for the lock of fingerprint or has just
// acquired it.
func (l *fingerprintLocks) cancel(fingerprint []byte, waiter *lockWaiter) {
	l.mu.Lock()
	lock := l.byFingerprint[string(fingerprint)]
	i := -1
	if lock != nil {
		i = slices.Index(lock.waiters, waiter)
	}
	if i >= 0 {
		lock.waiters = slices.Delete(lock.waiters, i, i+1)
		l.decrementWaiting(waiter.workspace)
	}
	l.mu.Unlock()
	if i < 0 {
		l.release(fingerprint) // the lock had already passed to this waiter
	}
}

// decrementWaiting counts one waiting request of ws less. l.mu is held.
func (l *fingerprintLocks) decrementWaiting(ws workspace.RowID) {
	l.waiting[ws]--
	if l.waiting[ws] == 0 {
		delete(l.waiting, ws)
	}
}

// waitingOf returns the number of offers of ws that wait for a fingerprint
// lock.
func (l *fingerprintLocks) waitingOf(ws workspace.RowID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waiting[ws]
}
