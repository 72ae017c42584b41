package gate

import (
	"context"
	"maps"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/target"
)

// targetCheckDelay is the time between the loss of a connection and the check of its target,
// in which a target that crashes closes its listener.
const targetCheckDelay = 20 * time.Millisecond

// checkTarget tests, after a connection was lost or ended an unframed response, whether the
// target still accepts connections. Without it, a request that is the only one at a target could crash one
// target after the other: a single lost connection is no evidence of a crash, since
// targets also lose responses.
func (g *Gate) checkTarget(instance target.Instance) {
	if _, running := g.targetChecks.LoadOrStore(instance.Addr, struct{}{}); running {
		return
	}
	go func() {
		defer g.targetChecks.Delete(instance.Addr)
		time.Sleep(targetCheckDelay)
		if g.pool.Refused(context.Background(), instance.Addr) {
			g.controller.RecordRefused(g.config.Now(), &instance)
			g.directory.MarkUnreachable(instance.ID, g.config.Now())
		}
	}()
}

// minSilence is the time over which connections to a target must time out, without any
// response of it in between, until the target may have restarted. A single timeout is mostly
// the fault of a busy gate or of a target whose queue of connections is full.
const minSilence = time.Second

// silentTargets tracks since when connections to targets have timed out, by target ID.
type silentTargets struct {
	mu    sync.Mutex
	since map[string]time.Duration
}

// recordTimeout records that a connection timed out and reports whether the target has been
// silent for at least minSilence.
func (s *silentTargets) recordTimeout(id string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, found := s.since[id]
	if !found {
		if s.since == nil {
			s.since = make(map[string]time.Duration)
		}
		s.since[id] = now
		return false
	}
	return now-since >= minSilence
}

// recordResponse records that the target responded.
func (s *silentTargets) recordResponse(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.since, id)
}

// retain removes the targets for which live returns false.
func (s *silentTargets) retain(live func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.since, func(id string, _ time.Duration) bool { return !live(id) })
}

// markNotWarm tells the directory of targets that may have restarted, as far as the outcome
// of a send to the target tells: they may be cold when they are back. A gate that runs late
// concludes nothing from timeouts.
func (g *Gate) markNotWarm(id string, o sendOutcome) {
	now := g.config.Now()
	switch o.result {
	case admission.ResultUnreachable:
		if errors.Is(o.err, syscall.ECONNREFUSED) || !g.delay.high() && g.silent.recordTimeout(id, now) {
			g.directory.MarkUnreachable(id, now)
		}
	case admission.ResultMisdirected:
		g.directory.MarkUnreachable(id, now)
	case admission.ResultLost:
		for _, crashed := range g.controller.TakeCrashedTargets() {
			g.directory.MarkUnreachable(crashed, now)
		}
	}
}

// targetsOutdated reports whether the machine was suspended since the last list of targets.
// The clock is that of the table's age, which includes suspended time. A gate that runs late
// reads its lists late too.
func (g *Gate) targetsOutdated() bool {
	return g.directory.Outdated(g.tableCache.now()) && !g.delay.high()
}
