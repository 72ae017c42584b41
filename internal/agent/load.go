package agent

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Bounds of the delay after which a refused caller should try again.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// report returns the free slots, the number of waiting offers and the totals of
// all workspaces. A waiting request is counted at its home agent only, so that
// a request that is offered to several agents counts once.
func (s *scheduler) report(pool string) wire.PoolTotals {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := wire.PoolTotals{Pool: pool, Queued: uint32(len(s.waiting))}
	if s.closed == nil && s.exclusive == nil && s.requestLimit.wait(time.Now()) == 0 {
		report.Free = uint32(max(s.slots-s.occupied(), 0))
	}
	totals := make(map[workspace.RowID]wire.Total)
	for _, ledgerTotal := range s.ledger.LocalTotals() {
		totals[ledgerTotal.Workspace] = wire.Total{Service: ledgerTotal.Service, Running: ledgerTotal.Running}
	}
	for ws, count := range s.startedByWorkspace {
		total := totals[ws]
		total.Started = count
		totals[ws] = total
	}
	for ws, count := range s.homeWaiting {
		total := totals[ws]
		total.Queued = uint32(count)
		totals[ws] = total
	}
	for ws, total := range totals {
		total.Workspace = ws
		report.Totals = append(report.Totals, total)
	}
	return report
}

// load returns the numbers of waiting offers and of running attempts.
func (s *scheduler) load() (queued, running int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting), len(s.running)
}

// retryAfter estimates how long it takes until the queue of ws is empty. The
// result lies between minRetryAfter and maxRetryAfter.
func (s *scheduler) retryAfter(ws workspace.RowID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	position := time.Duration(s.queue.LenOf(ws) + 1)
	wait := position * s.meanSlotTime / time.Duration(s.slots)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// chargeTime charges the running attempts for their slot time since the last
// call. It returns the charged total in milliseconds.
func (s *scheduler) chargeTime(now time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total int64
	for at := range s.running {
		total += at.chargeTime(now)
	}
	return total
}

// chargeTimeOf charges at for its slot time since the last call. It returns
// what was added and the total charged to at, in milliseconds.
func (s *scheduler) chargeTimeOf(at *attempt, now time.Time) (added, charged int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	added = at.chargeTime(now)
	return added, at.charged.Milliseconds()
}

// chargeTime charges the slot time since the last call and returns it in whole
// milliseconds. The rest is charged by the next call. scheduler.mu is held.
func (at *attempt) chargeTime(now time.Time) int64 {
	uncharged := now.Sub(at.startedAt) - at.charged
	ms := max(uncharged.Milliseconds(), 0)
	at.charged += time.Duration(ms) * time.Millisecond
	at.account.Charge(ms)
	return ms
}
