package agent

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/suspect"
)

// maxSuspects is the number of fingerprints that an agent remembers itself.
const maxSuspects = 4096

// suspects are the fingerprints that this agent saw at a crash.
type suspects struct {
	mu      sync.Mutex
	byPrint map[string]bool // quarantined
}

func newSuspects() *suspects { return &suspects{byPrint: make(map[string]bool)} }

// has reports whether fingerprint is a suspect.
func (s *suspects) has(fingerprint []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.byPrint[string(fingerprint)]
	return known
}

// quarantined reports whether fingerprint must not run.
func (s *suspects) quarantined(fingerprint []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byPrint[string(fingerprint)]
}

// put records a suspect. The registry remembers those that do not fit.
func (s *suspects) put(fingerprint []byte, quarantined bool) {
	if len(fingerprint) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.byPrint) >= maxSuspects {
		for known := range s.byPrint {
			delete(s.byPrint, known)
			break
		}
	}
	s.byPrint[string(fingerprint)] = quarantined || s.byPrint[string(fingerprint)]
}

// remove forgets an acquitted suspect.
func (s *suspects) remove(fingerprint []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byPrint, string(fingerprint))
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
	err := a.cfg.Suspects.Try(ctx, fingerprint, at.offer.Attempt)
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
		at.onTrial = true // the trial may have been opened
		return notRun(request.ReasonSuspect, err), false
	}
}

// settleTrial ends the trial of at. Only a whole answer acquits.
func (a *Agent) settleTrial(at *attempt, end ending) {
	if !at.onTrial {
		return
	}
	fingerprint, id := at.offer.Fingerprint, at.offer.Attempt
	operation, call := "trial_abandon", a.cfg.Suspects.Abandon
	switch {
	case end.crashed:
		a.suspects.put(fingerprint, true)
		operation, call = "trial_convict", a.cfg.Suspects.Convict
	case end.outcome == request.OutcomeCompleted:
		a.suspects.remove(fingerprint)
		operation, call = "trial_acquit", a.cfg.Suspects.Acquit
	}
	a.persist(operation, func(ctx context.Context) error { return call(ctx, fingerprint, id) })
}
