package agent

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/suspect"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// downAfter is the number of failed probes in a row after which the target is
// down. A probe may fail under load while answers go on.
const downAfter = 3

// health is what the probes of the target say.
type health struct {
	mu       sync.Mutex
	known    bool   // a probe was answered
	marker   string // of the target's start, empty if the target tells none
	failures int    // probes that failed in a row
	down     bool
}

// fault returns why the target cannot take work, or an empty string.
func (h *health) fault() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.down:
		return "target is down"
	case !h.known:
		return "target has not answered a probe"
	default:
		return ""
	}
}

// isDown reports whether the target is known to be down.
func (h *health) isDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// currentMarker returns the latest start marker of the target.
func (h *health) currentMarker() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.marker
}

// note takes in a probe and reports whether the target went down with it.
// broken tells that an answer was cut off before, so that one failure counts.
func (h *health) note(marker string, err error, broken bool) (wentDown bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.known, h.marker, h.failures, h.down = true, marker, 0, false
		return false
	}
	h.failures++
	wasDown := h.down
	h.down = h.down || broken || h.failures >= downAfter
	return h.down && !wasDown
}

// crash is one crash of the target.
type crash struct {
	accused chan struct{} // closed once the first accusation was answered
}

// watchTarget probes the target until ctx ends.
func (a *Agent) watchTarget(ctx context.Context) {
	ticker := time.NewTicker(a.cfg.Limits.ProbeInterval)
	defer ticker.Stop()
	for {
		a.checkTarget(ctx, false)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// checkTarget probes the target. broken tells that a call did not reach it.
func (a *Agent) checkTarget(ctx context.Context, broken bool) {
	if _, err := a.probe(ctx, broken); err != nil {
		a.log.Debug("probe of the target failed", "error", err)
	}
}

// probe asks the target for its start marker. When the target is found down,
// what waits is handed back, so that routers turn to other agents.
func (a *Agent) probe(ctx context.Context, broken bool) (marker string, err error) {
	probeCtx, cancel := context.WithTimeout(ctx, a.cfg.Limits.ProbeInterval)
	defer cancel()
	marker, err = a.cfg.Target.Probe(probeCtx)
	if ctx.Err() != nil {
		return marker, err
	}
	if a.health.note(marker, err, broken) {
		a.log.Warn("target is down", "error", err)
		for _, p := range a.sched.handedOver() {
			a.suspects.put(p, false)
		}
		a.sched.handBack(&wire.Refuse{Reason: request.ReasonTargetDown, RetryAfter: notReadyRetry})
	}
	return marker, err
}

// hasCrashed reports whether the target crashed under at, whose answer was cut
// off: it is down, or has started again since the handover.
func (a *Agent) hasCrashed(at *attempt) bool {
	marker, err := a.probe(a.base, true)
	if err == nil && marker == at.marker {
		return a.sched.crashOf(at) != nil
	}
	c, prints := a.sched.crash(at)
	if prints != nil {
		a.metrics.crashes.Inc()
		a.log.Warn("target crashed", "running", len(prints))
		a.accuse(c, prints)
	}
	return true
}

// accuse makes what ran at a crash suspects of the fleet.
func (a *Agent) accuse(c *crash, prints []suspect.Fingerprint) {
	for _, p := range prints {
		a.suspects.put(p, false) // before any slot falls free
	}
	accusation := uuid.NewString()
	a.background.Go(func() {
		defer close(c.accused)
		if a.cfg.Suspects == nil {
			return
		}
		var calls sync.WaitGroup
		for _, p := range prints {
			calls.Go(func() { a.accuseOne(p, accusation) })
		}
		calls.Wait()
	})
}

// accuseOne accuses one fingerprint.
func (a *Agent) accuseOne(p suspect.Fingerprint, accusation string) {
	a.persist("accuse", func(ctx context.Context) error {
		a.suspects.put(p, false)
		return a.cfg.Suspects.RecordCrash(ctx, p, accusation)
	})
}

// settleCrash waits until the fleet can know the suspects of a crash, before
// the router learns of it and its caller may send the request again.
func (a *Agent) settleCrash(at *attempt, end ending) {
	if !end.crashed {
		return
	}
	<-a.sched.crashOf(at).accused
}

// crash notes that the target crashed under all that was handed over and runs.
// The first attempt that finds it gets the fingerprints to accuse, those on
// trial excepted.
func (s *scheduler) crash(at *attempt) (c *crash, prints []suspect.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.crash != nil {
		return at.crash, nil
	}
	c = &crash{accused: make(chan struct{})}
	prints = []suspect.Fingerprint{}
	for other := range s.running {
		if !other.handed || other.crash != nil || other.marker != at.marker {
			continue
		}
		other.crash = c
		if len(other.offer.Fingerprint) > 0 && !other.suspect {
			prints = append(prints, other.offer.Fingerprint)
		}
	}
	return c, prints
}

// handedOver returns the fingerprints of what runs on the target.
func (s *scheduler) handedOver() []suspect.Fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var prints []suspect.Fingerprint
	for at := range s.running {
		if at.handed {
			prints = append(prints, at.offer.Fingerprint)
		}
	}
	return prints
}

// crashOf returns the crash at which at ran, or nil.
func (s *scheduler) crashOf(at *attempt) *crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return at.crash
}
