package quarantine

import "time"

// minDurableCrashes is the number of crashes from which the evidence against a request must outlast a
// restart of all gates. A single one says little: each crash leaves as many suspects as the target
// ran requests.
const minDurableCrashes = 2

// RequestEvidence is the evidence against one request.
type RequestEvidence struct {
	Crashes map[TargetRun]time.Duration // time since
	// Local: this gate lost the request in a crash.
	Local bool
}

// Quarantined reports whether the evidence is enough to refuse the request.
func (e *RequestEvidence) Quarantined() bool { return len(e.Crashes) >= CrashLimit }

// Expired reports whether the evidence no longer counts after a further time.
func (e *RequestEvidence) Expired(after time.Duration) bool {
	for _, age := range e.Crashes {
		if age+after <= SuspectLifetime {
			return false
		}
	}
	return true
}

// DurableRequests returns the evidence against requests that must outlast a restart of all gates.
func (t *Tracker) DurableRequests(now time.Duration) map[Fingerprint]RequestEvidence {
	durable := make(map[Fingerprint]RequestEvidence)
	for suspect := range t.requests.strongestFirst {
		if len(suspect.runs) < minDurableCrashes {
			break
		}
		if now-suspect.lastCrash <= SuspectLifetime {
			durable[suspect.fingerprint] = RequestEvidence{suspect.report(now), suspect.local}
		}
	}
	return durable
}

// RestoreRequests records evidence that DurableRequests returned before a restart.
func (t *Tracker) RestoreRequests(now time.Duration, evidence map[Fingerprint]RequestEvidence) {
	for f, restored := range evidence {
		t.mergeSuspect(now, f, restored.Crashes)
		if suspect := t.requests.find(f); suspect != nil {
			suspect.local = suspect.local || restored.Local
		}
	}
}
