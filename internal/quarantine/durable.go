package quarantine

import "time"

const (
	// minDurableCrashes is the number of crashes from which evidence must outlast a restart of all
	// gates. A single one says little: each crash leaves as many suspects as the target ran requests.
	minDurableCrashes = 2
	// maxDurableParts bounds the parts of which evidence must outlast a restart.
	maxDurableParts = 1024
)

// Evidence is what must outlast a restart of all gates. Times are those since.
type Evidence struct {
	Requests map[Fingerprint]RequestEvidence
	Parts    []PartEvidence // the strongest first
}

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

// PartEvidence is the evidence against parts of prompts that were in flight at the same crashes.
type PartEvidence struct {
	Parts   []uint64
	Crashes []PartCrash
	Local   bool
}

// AtLimit reports whether the evidence may block the parts.
func (e *PartEvidence) AtLimit() bool { return len(e.Crashes) >= PartCrashLimit }

// Expired reports whether the evidence no longer counts.
func (e *PartEvidence) Expired() bool {
	if len(e.Crashes) == 0 {
		return true
	}
	g := partGroup{crashes: e.Crashes, lastCrash: never}
	for i := range e.Crashes {
		g.lastCrash = max(g.lastCrash, -e.Crashes[i].At)
	}
	return g.expired(0)
}

// Durable returns the evidence that must outlast a restart of all gates.
func (t *Tracker) Durable(now time.Duration) Evidence {
	return Evidence{t.durableRequests(now), t.parts.durable(now)}
}

func (t *Tracker) durableRequests(now time.Duration) map[Fingerprint]RequestEvidence {
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

func (p *crashingParts) durable(now time.Duration) []PartEvidence {
	var durable []PartEvidence
	room := maxDurableParts
	for strength := atLimit; strength >= twoCrashes; strength-- {
		for g := range p.suspects.newestFirst(strength) {
			if g.expired(now) {
				continue
			}
			parts := p.suspects.appendMembers(nil, g, room)
			if room -= len(parts); len(parts) > 0 {
				durable = append(durable, PartEvidence{parts, g.agedCrashes(now), g.local})
			}
			if room == 0 {
				return durable
			}
		}
	}
	return durable
}

// Restore records evidence that Durable returned before a restart.
func (t *Tracker) Restore(now time.Duration, evidence Evidence) {
	for f, restored := range evidence.Requests {
		t.mergeSuspect(now, f, restored.Crashes)
		if suspect := t.requests.find(f); suspect != nil {
			suspect.local = suspect.local || restored.Local
		}
	}
	for i := range evidence.Parts {
		restored := &evidence.Parts[i]
		suspects := make(map[uint64][]PartCrash, len(restored.Parts))
		for _, part := range restored.Parts {
			suspects[part] = restored.Crashes
		}
		t.parts.merge(now, suspects, restored.Local)
	}
}
