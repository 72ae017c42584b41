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
	// maxSuspects is the number of fingerprints that an agent remembers
	// itself, until the fleet's list names them.
	maxSuspects = 4096
	// suspectMemory is how long it remembers them.
	suspectMemory = time.Minute
)

// suspects knows the fingerprints under suspicion: those of the fleet's list,
// and those that this agent saw at a crash and the list may not name yet.
type suspects struct {
	store *fleet.Store

	mu    sync.Mutex
	local map[string]localSuspect
}

type localSuspect struct {
	quarantined bool
	until       time.Time
}

func newSuspects(store *fleet.Store) *suspects {
	return &suspects{store: store, local: make(map[string]localSuspect)}
}

// has reports whether fingerprint is a suspect.
func (s *suspects) has(fingerprint []byte) bool {
	if _, listed := s.store.Snapshot().Suspects[string(fingerprint)]; listed {
		return true
	}
	_, known := s.find(fingerprint)
	return known
}

// quarantined reports whether fingerprint must not run.
func (s *suspects) quarantined(fingerprint []byte) bool {
	if s.store.Snapshot().Suspects[string(fingerprint)].Quarantined {
		return true
	}
	known, _ := s.find(fingerprint)
	return known.quarantined
}

// unlisted reports whether this agent knows a suspect that the fleet's list
// does not name.
func (s *suspects) unlisted(fingerprint []byte) bool {
	if _, listed := s.store.Snapshot().Suspects[string(fingerprint)]; listed {
		return false
	}
	_, known := s.find(fingerprint)
	return known
}

func (s *suspects) find(fingerprint []byte) (localSuspect, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.local[string(fingerprint)]
	if ok && time.Now().After(known.until) {
		delete(s.local, string(fingerprint))
		return localSuspect{}, false
	}
	return known, ok
}

// put remembers a suspect.
func (s *suspects) put(fingerprint []byte, quarantined bool) {
	if len(fingerprint) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := string(fingerprint)
	before := s.local[key]
	if len(s.local) >= maxSuspects {
		s.evict()
	}
	s.local[key] = localSuspect{
		quarantined: quarantined || before.quarantined,
		until:       time.Now().Add(suspectMemory),
	}
}

// evict forgets any one suspect. s.mu is held.
func (s *suspects) evict() {
	for key := range s.local {
		delete(s.local, key)
		return
	}
}

// remove forgets an acquitted suspect.
func (s *suspects) remove(fingerprint []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.local, string(fingerprint))
}

// openTrial opens the trial of a suspect. ok is false when it must not run
// here; then end says how it ended.
func (a *Agent) openTrial(at *attempt) (end ending, ok bool) {
	fingerprint := at.offer.Fingerprint
	if !at.suspect {
		if a.suspects.has(fingerprint) {
			return notRun(request.ReasonSuspect, nil), false // suspected since its grant
		}
		return ending{}, true
	}
	if a.cfg.Suspects == nil {
		return notRun(request.ReasonSuspect, nil), false
	}
	a.suspects.put(fingerprint, false)
	ctx, cancel := context.WithTimeout(at.ctx, a.cfg.Limits.Platform)
	defer cancel()
	err := a.cfg.Suspects.BeginTrial(ctx, fingerprint, at.offer.Attempt)
	switch {
	case err == nil:
		at.onTrial = true
		return ending{}, true
	case errors.Is(err, suspect.ErrQuarantined):
		a.suspects.put(fingerprint, true)
		return notRun(request.ReasonQuarantined, err), false
	case errors.Is(err, suspect.ErrOnTrial):
		return notRun(request.ReasonSuspect, err), false
	default:
		at.onTrial = true // the answer may be lost: the trial may be open
		return notRun(request.ReasonSuspect, err), false
	}
}

// settleTrial ends the trial of at. Only a whole answer acquits.
func (a *Agent) settleTrial(at *attempt, end ending) {
	if !at.onTrial {
		if end.outcome == request.OutcomeCompleted {
			a.suspects.remove(at.offer.Fingerprint)
		}
		return
	}
	fingerprint, id := at.offer.Fingerprint, at.offer.Attempt
	operation, call := "trial_abandon", a.cfg.Suspects.AbandonTrial
	switch {
	case end.crashed:
		a.suspects.put(fingerprint, true)
		operation, call = "trial_convict", a.cfg.Suspects.Quarantine
	case end.outcome == request.OutcomeCompleted:
		a.suspects.remove(fingerprint)
		operation, call = "trial_acquit", a.cfg.Suspects.Clear
	}
	a.persist(operation, func(ctx context.Context) error { return call(ctx, fingerprint, id) })
}
