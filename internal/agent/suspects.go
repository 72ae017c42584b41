package agent

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/fleet"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/suspect"
)

const (
	// maxLocalSuspects is the number of fingerprints that an agent remembers
	// itself, until they appear in the fleet's list.
	maxLocalSuspects = 4096
	// localSuspectTTL is how long a fingerprint is remembered.
	localSuspectTTL = time.Minute
)

// suspectSet holds the suspected fingerprints: those of the fleet's list, and
// those that this agent found at a crash and that may not be listed yet.
type suspectSet struct {
	store *fleet.Store

	mu    sync.Mutex
	local map[string]localSuspect
}

type localSuspect struct {
	quarantined bool
	expiresAt   time.Time
}

func newSuspectSet(store *fleet.Store) *suspectSet {
	return &suspectSet{store: store, local: make(map[string]localSuspect)}
}

// has reports whether fingerprint is a suspect.
func (s *suspectSet) has(fingerprint []byte) bool {
	if _, listed := s.store.Snapshot().Suspects[string(fingerprint)]; listed {
		return true
	}
	_, local := s.find(fingerprint)
	return local
}

// quarantined reports whether requests with fingerprint must not run.
func (s *suspectSet) quarantined(fingerprint []byte) bool {
	if s.store.Snapshot().Suspects[string(fingerprint)].Quarantined {
		return true
	}
	local, _ := s.find(fingerprint)
	return local.quarantined
}

// isUnlisted reports whether fingerprint is a suspect of this agent that is not
// in the fleet's list.
func (s *suspectSet) isUnlisted(fingerprint []byte) bool {
	if _, listed := s.store.Snapshot().Suspects[string(fingerprint)]; listed {
		return false
	}
	_, local := s.find(fingerprint)
	return local
}

func (s *suspectSet) find(fingerprint []byte) (localSuspect, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	local, ok := s.local[string(fingerprint)]
	if ok && time.Now().After(local.expiresAt) {
		delete(s.local, string(fingerprint))
		return localSuspect{}, false
	}
	return local, ok
}

// add remembers a suspect. A quarantined suspect stays quarantined.
func (s *suspectSet) add(fingerprint []byte, quarantined bool) {
	if len(fingerprint) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := string(fingerprint)
	previous := s.local[key]
	if len(s.local) >= maxLocalSuspects {
		s.evict()
	}
	s.local[key] = localSuspect{
		quarantined: quarantined || previous.quarantined,
		expiresAt:   time.Now().Add(localSuspectTTL),
	}
}

// evict removes an arbitrary suspect. s.mu is held.
func (s *suspectSet) evict() {
	for key := range s.local {
		delete(s.local, key)
		return
	}
}

// remove forgets a suspect that was cleared.
func (s *suspectSet) remove(fingerprint []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.local, string(fingerprint))
}

// openTrial opens the trial of a suspect. ok is false if the attempt must not
// run here; result then says how it ended.
func (a *Agent) openTrial(at *attempt) (result attemptResult, ok bool) {
	fingerprint := at.offer.Fingerprint
	if !at.runsAlone {
		if a.suspects.has(fingerprint) {
			return notRunResult(request.ReasonSuspect, nil), false // became a suspect after its grant
		}
		return attemptResult{}, true
	}
	if a.cfg.Suspects == nil {
		return notRunResult(request.ReasonSuspect, nil), false
	}
	a.suspects.add(fingerprint, false)
	ctx, cancel := context.WithTimeout(at.ctx, a.cfg.Limits.PlatformTimeout)
	defer cancel()
	err := a.cfg.Suspects.BeginTrial(ctx, fingerprint, at.offer.Attempt)
	switch {
	case err == nil:
		at.onTrial = true
		return attemptResult{}, true
	case errors.Is(err, suspect.ErrQuarantined):
		a.suspects.add(fingerprint, true)
		return notRunResult(request.ReasonQuarantined, err), false
	case errors.Is(err, suspect.ErrOnTrial):
		return notRunResult(request.ReasonSuspect, err), false
	default:
		at.onTrial = true // the response may be lost and the trial open
		return notRunResult(request.ReasonSuspect, err), false
	}
}

// settleTrial ends the trial of at. Only a completed answer clears the suspect.
func (a *Agent) settleTrial(at *attempt, result attemptResult) {
	if !at.onTrial {
		if result.outcome == request.OutcomeCompleted {
			a.suspects.remove(at.offer.Fingerprint)
		}
		return
	}
	fingerprint, id := at.offer.Fingerprint, at.offer.Attempt
	operation, call := "trial_abandon", a.cfg.Suspects.AbandonTrial
	switch {
	case result.crashed:
		a.suspects.add(fingerprint, true)
		operation, call = "trial_convict", a.cfg.Suspects.Quarantine
	case result.outcome == request.OutcomeCompleted:
		a.suspects.remove(fingerprint)
		operation, call = "trial_acquit", a.cfg.Suspects.Clear
	}
	a.callWithRetry(operation, func(ctx context.Context) error { return call(ctx, fingerprint, id) })
}
