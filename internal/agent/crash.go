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

// maxProbeFailures is the number of consecutive failed probes after which the
// target is considered down. A single probe may fail under load while answers
// continue.
const maxProbeFailures = 3

// health is the state of the target according to its probes.
type health struct {
	mu       sync.Mutex
	probed   bool   // a probe has succeeded
	marker   string // start marker of the target; empty if the target reports none
	failures int    // consecutive failed probes
	down     bool
}

// notReadyReason returns why the target cannot accept work, or an empty string.
func (h *health) notReadyReason() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.down:
		return "target is down"
	case !h.probed:
		return "target has not answered a probe"
	default:
		return ""
	}
}

// isDown reports whether the target is considered down.
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

// recordProbe records the result of a probe and reports whether the target went
// down with it. If callBroken is set, a call to the target has just failed as
// well, and one failed probe suffices.
func (h *health) recordProbe(marker string, err error, callBroken bool) (wentDown bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.probed, h.marker, h.failures, h.down = true, marker, 0, false
		return false
	}
	h.failures++
	wasDown := h.down
	h.down = h.down || callBroken || h.failures >= maxProbeFailures
	return h.down && !wasDown
}

// targetCrash is one crash of the target.
type targetCrash struct {
	recorded chan struct{} // closed once the first try to record all suspects has ended
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

// checkTarget probes the target. callBroken is set if a call did not reach it.
func (a *Agent) checkTarget(ctx context.Context, callBroken bool) {
	if _, err := a.probe(ctx, callBroken); err != nil {
		a.log.Debug("probe of the target failed", "error", err)
	}
}

// probe requests the start marker of the target. If the target went down,
// waiting offers are refused, so that routers use other agents.
func (a *Agent) probe(ctx context.Context, callBroken bool) (marker string, err error) {
	probeCtx, cancel := context.WithTimeout(ctx, a.cfg.Limits.ProbeInterval)
	defer cancel()
	marker, err = a.cfg.Target.Probe(probeCtx)
	if ctx.Err() != nil {
		return marker, err
	}
	if a.health.recordProbe(marker, err, callBroken) {
		a.log.Warn("target is down", "error", err)
		for _, fingerprint := range a.sched.forwardedFingerprints() {
			a.suspects.add(fingerprint, false)
		}
		a.sched.refuseWaiting(&wire.Refuse{Reason: request.ReasonTargetDown, RetryAfter: notReadyRetryAfter})
	}
	return marker, err
}

// targetCrashedDuring reports whether the target crashed while at ran. at's
// call or answer was interrupted; the target crashed if it is down or has
// restarted since the request was forwarded.
func (a *Agent) targetCrashedDuring(at *attempt) bool {
	marker, err := a.probe(a.baseCtx, true)
	if err == nil && marker == at.marker {
		return a.sched.crashOf(at) != nil
	}
	crash, fingerprints := a.sched.markCrash(at)
	if fingerprints != nil {
		a.metrics.crashes.Inc()
		a.log.Warn("target crashed", "running", len(fingerprints))
		a.recordCrash(crash, fingerprints)
	}
	return true
}

// recordCrash makes suspects of the requests that were running at a crash, here
// and in the fleet's list.
func (a *Agent) recordCrash(crash *targetCrash, fingerprints []suspect.Fingerprint) {
	for _, fingerprint := range fingerprints {
		a.suspects.add(fingerprint, false) // before any slot becomes free
	}
	crashID := uuid.NewString()
	a.background.Go(func() {
		defer close(crash.recorded)
		if a.cfg.Suspects == nil {
			return
		}
		var calls sync.WaitGroup
		for _, fingerprint := range fingerprints {
			calls.Go(func() { a.recordSuspect(fingerprint, crashID) })
		}
		calls.Wait()
	})
}

// recordSuspect records one fingerprint under the crash with this ID.
func (a *Agent) recordSuspect(fingerprint suspect.Fingerprint, crashID string) {
	a.callWithRetry("accuse", func(ctx context.Context) error {
		a.suspects.add(fingerprint, false)
		return a.cfg.Suspects.RecordCrash(ctx, fingerprint, crashID)
	})
}

// awaitCrashRecord waits until the suspects of a crash were sent to the
// platform. The router is informed only then, since the caller may resend the
// request afterwards.
func (a *Agent) awaitCrashRecord(at *attempt, result attemptResult) {
	if !result.crashed {
		return
	}
	<-a.sched.crashOf(at).recorded
}

// markCrash marks all running attempts that were forwarded to this start of the
// target as crashed. The first attempt that detects the crash gets the
// fingerprints to record, without those on trial; for the others fingerprints
// is nil.
func (s *scheduler) markCrash(at *attempt) (crash *targetCrash, fingerprints []suspect.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.crash != nil {
		return at.crash, nil
	}
	crash = &targetCrash{recorded: make(chan struct{})}
	fingerprints = []suspect.Fingerprint{}
	for other := range s.running {
		if !other.forwarded || other.crash != nil || other.marker != at.marker {
			continue
		}
		other.crash = crash
		if len(other.offer.Fingerprint) > 0 && !other.runsAlone {
			fingerprints = append(fingerprints, other.offer.Fingerprint)
		}
	}
	return crash, fingerprints
}

// forwardedFingerprints returns the fingerprints of the requests that run on
// the target.
func (s *scheduler) forwardedFingerprints() []suspect.Fingerprint {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fingerprints []suspect.Fingerprint
	for at := range s.running {
		if at.forwarded {
			fingerprints = append(fingerprints, at.offer.Fingerprint)
		}
	}
	return fingerprints
}

// crashOf returns the crash during which at ran, or nil.
func (s *scheduler) crashOf(at *attempt) *targetCrash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return at.crash
}
