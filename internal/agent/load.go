package agent

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Bounds of the time after which a refused caller should come back.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// load is the state of the slots at one moment.
type load struct {
	free    int
	queued  int
	running map[workspace.RowID]int
	started map[workspace.RowID]uint64
	homes   map[workspace.RowID]int
}

// load returns the state of the slots.
func (s *scheduler) load() load {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := load{
		queued:  len(s.waiting),
		running: make(map[workspace.RowID]int, len(s.held)),
		started: make(map[workspace.RowID]uint64, len(s.starts)),
		homes:   make(map[workspace.RowID]int, len(s.homes)),
	}
	if s.closed == nil && s.alone == nil {
		l.free = max(s.slots-s.occupied(), 0)
	}
	for ws, n := range s.held {
		l.running[ws] = n
	}
	for ws, n := range s.starts {
		l.started[ws] = n
	}
	for ws, n := range s.homes {
		if n > 0 {
			l.homes[ws] = n
		}
	}
	return l
}

// homesOf returns the number of waiting offers of ws whose home is here.
func (s *scheduler) homesOf(ws workspace.RowID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.homes[ws]
}

// busy returns the numbers of waiting offers and of running requests.
func (s *scheduler) busy() (queued, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting), len(s.running)
}

// retryAfter estimates when the queue of ws has drained.
func (s *scheduler) retryAfter(ws workspace.RowID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	ahead := time.Duration(s.queue.LenOf(ws) + 1)
	wait := ahead * s.slotTime / time.Duration(s.slots)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// chargeable returns the unpaid slot time of the running attempts in whole
// milliseconds and notes it as paid.
func (s *scheduler) chargeable(now time.Time) map[workspace.RowID]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := make(map[workspace.RowID]int64, len(s.running))
	for at := range s.running {
		due[at.offer.Workspace] += at.unpaid(now)
	}
	return due
}

// chargeableOf is chargeable for at alone.
func (s *scheduler) chargeableOf(at *attempt, now time.Time) (due, total int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due = at.unpaid(now)
	return due, at.charged.Milliseconds()
}

// unpaid returns the slot time since the last call, in milliseconds.
// scheduler.mu is held.
func (at *attempt) unpaid(now time.Time) int64 {
	due := now.Sub(at.startedAt) - at.charged
	ms := max(due.Milliseconds(), 0)
	at.charged += time.Duration(ms) * time.Millisecond
	return ms
}

// sums returns the report of the load together with service.
func (l load) sums(pool string, service map[workspace.RowID]uint64) wire.PoolSums {
	p := wire.PoolSums{Pool: pool, Free: uint32(l.free), Queued: uint32(l.queued)}
	for ws := range l.workspaces(service) {
		p.Sums = append(p.Sums, wire.Sum{
			Workspace: ws,
			Service:   service[ws],
			Started:   l.started[ws],
			Running:   uint32(l.running[ws]),
			Queued:    uint32(l.homes[ws]),
		})
	}
	return p
}

// workspaces returns all workspaces with a figure.
func (l load) workspaces(service map[workspace.RowID]uint64) map[workspace.RowID]struct{} {
	all := make(map[workspace.RowID]struct{}, len(service))
	for ws := range service {
		all[ws] = struct{}{}
	}
	for ws := range l.started {
		all[ws] = struct{}{}
	}
	for ws := range l.running {
		all[ws] = struct{}{}
	}
	for ws := range l.homes {
		all[ws] = struct{}{}
	}
	return all
}
