package quarantine

import (
	"container/list"
	"time"
)

const (
	// CrashLimit is the number of crashes of targets after which a request is
	// quarantined. A target that starts again under its ID may crash again. The platform
	// allows three retries after the third crash.
	CrashLimit = 3
	// SuspectLifetime is how long a request that crashed targets is remembered. It is
	// longer than a target's restart (some seconds) and the retries of the caller.
	SuspectLifetime = 2 * time.Minute
	// maxSuspects and maxCompleted bound the entries for suspects and for completed
	// requests, to about 100 KB each on the smallest VMs (112 MB).
	maxSuspects  = 4096
	maxCompleted = 4096
	// suspectReportAge is how long after a crash it is reported to peers, and after its last
	// crash each suspect.
	suspectReportAge = 5 * time.Second
	// maxRecentSuspects and maxOldSuspects bound the suspects in a report, by whether the last
	// crash is longer ago than suspectReportAge.
	maxRecentSuspects = 256
	maxOldSuspects    = 32
)

// suspect is a request that was in flight at crashes.
type suspect struct {
	fingerprint Fingerprint
	runs        map[TargetRun]time.Duration // when they crashed
	lastCrash   time.Duration
	local       bool          // the request was lost at this gate in one of them
	element     *list.Element // in the list of its number of crashes
	listed      int           // index of that
}

// report returns the crashed runs with the time since.
func (s *suspect) report(now time.Duration) map[TargetRun]time.Duration {
	ages := make(map[TargetRun]time.Duration, len(s.runs))
	for run, at := range s.runs {
		ages[run] = now - at
	}
	return ages
}

// suspectTable holds at most maxSuspects suspected requests. Those with the fewest crashes are
// evicted first, the oldest of these.
type suspectTable struct {
	byFingerprint map[Fingerprint]*suspect
	// byCrashes holds the suspects with one crash, with two and so on, in the last list those with
	// CrashLimit or more. The one whose number changed last is at the back.
	byCrashes [CrashLimit]*list.List // of *suspect
}

func newSuspectTable() *suspectTable {
	t := &suspectTable{byFingerprint: make(map[Fingerprint]*suspect)}
	for i := range t.byCrashes {
		t.byCrashes[i] = list.New()
	}
	return t
}

// find returns the evidence against a request, nil if there is none.
func (t *suspectTable) find(f Fingerprint) *suspect { return t.byFingerprint[f] }

// add records that a request was in flight at a crash of a run.
func (t *suspectTable) add(f Fingerprint, run TargetRun, at time.Duration) *suspect {
	s := t.byFingerprint[f]
	if s == nil {
		if len(t.byFingerprint) >= maxSuspects {
			t.evict()
		}
		s = &suspect{fingerprint: f, runs: make(map[TargetRun]time.Duration), lastCrash: at}
		t.byFingerprint[f] = s
	}
	if _, known := s.runs[run]; known {
		return s // peers report the same crash repeatedly
	}
	s.runs[run] = at
	s.lastCrash = max(s.lastCrash, at)
	t.place(s)
	return s
}

// place lists a suspect by its number of crashes, and removes it if that is 0.
func (t *suspectTable) place(s *suspect) {
	if s.element != nil {
		t.byCrashes[s.listed].Remove(s.element)
		s.element = nil
	}
	if len(s.runs) == 0 {
		delete(t.byFingerprint, s.fingerprint)
		return
	}
	s.listed = min(len(s.runs), CrashLimit) - 1
	s.element = t.byCrashes[s.listed].PushBack(s)
}

// remove removes the evidence against a request.
func (t *suspectTable) remove(f Fingerprint) {
	if s := t.byFingerprint[f]; s != nil {
		clear(s.runs)
		t.place(s)
	}
}

func (t *suspectTable) evict() {
	for _, suspects := range t.byCrashes {
		if front := suspects.Front(); front != nil {
			s, _ := front.Value.(*suspect)
			t.remove(s.fingerprint)
			return
		}
	}
}

// dropRun removes the crash of a run until a time from all requests.
func (t *suspectTable) dropRun(run TargetRun, until time.Duration) {
	for _, s := range t.byFingerprint {
		if crashedAt, ok := s.runs[run]; ok && crashedAt <= until {
			delete(s.runs, run)
			t.place(s)
		}
	}
}

// strongestFirst returns the suspects, those with most crashes first, the newest of these.
func (t *suspectTable) strongestFirst(yield func(*suspect) bool) {
	for i := len(t.byCrashes) - 1; i >= 0; i-- {
		for element := t.byCrashes[i].Back(); element != nil; element = element.Prev() {
			if s, ok := element.Value.(*suspect); ok && !yield(s) {
				return
			}
		}
	}
}

// report returns the suspects for peers, with the time since their crashes: of those whose last
// crash is recent and of the others the strongest.
func (t *suspectTable) report(now time.Duration) map[Fingerprint]map[TargetRun]time.Duration {
	reported := make(map[Fingerprint]map[TargetRun]time.Duration)
	recent, old := maxRecentSuspects, maxOldSuspects
	for s := range t.strongestFirst {
		left := &old
		switch age := now - s.lastCrash; {
		case age > SuspectLifetime:
			continue
		case age <= suspectReportAge:
			left = &recent
		}
		if *left > 0 {
			*left--
			reported[s.fingerprint] = s.report(now)
		}
		if recent == 0 && old == 0 {
			break
		}
	}
	return reported
}
