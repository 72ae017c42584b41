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

// report returns the free slots, the waiting offers and the sums of all
// workspaces. A waiting request counts at its home agent only.
func (s *scheduler) report(pool string) wire.PoolSums {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := wire.PoolSums{Pool: pool, Queued: uint32(len(s.waiting))}
	if s.closed == nil && s.alone == nil {
		p.Free = uint32(max(s.slots-s.occupied(), 0))
	}
	sums := make(map[workspace.RowID]wire.Sum)
	for _, t := range s.ledger.LocalTotals() {
		sums[t.Workspace] = wire.Sum{Service: t.Service, Running: t.Running}
	}
	for ws, n := range s.starts {
		sum := sums[ws]
		sum.Started = n
		sums[ws] = sum
	}
	for ws, n := range s.homes {
		sum := sums[ws]
		sum.Queued = uint32(n)
		sums[ws] = sum
	}
	for ws, sum := range sums {
		sum.Workspace = ws
		p.Sums = append(p.Sums, sum)
	}
	return p
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

// chargeTime charges the unpaid slot time of the running attempts, in whole
// milliseconds, and returns the sum.
func (s *scheduler) chargeTime(now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total int64
	for at := range s.running {
		total += at.chargeTime(now)
	}
	return total
}

// chargeTimeOf is chargeTime for at alone. It also returns all that at paid.
func (s *scheduler) chargeTimeOf(at *attempt, now time.Time) (due, paid int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	due = at.chargeTime(now)
	return due, at.charged.Milliseconds()
}

// chargeTime charges the slot time since the last call, in milliseconds.
// scheduler.mu is held.
func (at *attempt) chargeTime(now time.Time) int64 {
	due := now.Sub(at.startedAt) - at.charged
	ms := max(due.Milliseconds(), 0)
	at.charged += time.Duration(ms) * time.Millisecond
	at.account.Charge(ms)
	return ms
}
