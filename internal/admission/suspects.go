package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/target"
)

const (
	// crashLimit is the number of crashes of targets after which a request is
	// quarantined. A target that starts again under its ID may crash again. The platform
	// allows three retries after the third crash.
	crashLimit = 3
	// suspectLifetime is how long a request that crashed targets is remembered. It is
	// longer than a target's restart (some seconds) and the retries of the caller.
	suspectLifetime = 2 * time.Minute
	// maxSuspects and maxCompleted bound the entries for suspects and for completed
	// requests, to about 100 KB each on the smallest VMs (112 MB).
	maxSuspects  = 4096
	maxCompleted = 4096
	// crashWindow is the time within which a second lost connection, or a refused one,
	// shows that a target crashed and not just that one response was lost.
	crashWindow = 400 * time.Millisecond
	// peerEvidenceWindow is the time between a lost connection and the evidence of a peer
	// that the target crashed, within which the two belong together.
	peerEvidenceWindow = 1500 * time.Millisecond
	// minDisproofDelay and maxDisproofDelay bound the time after a presumed crash within
	// which a response disproves it. Earlier responses may have been in transit at the
	// crash, and a crashed target takes at least some seconds to restart.
	minDisproofDelay = 300 * time.Millisecond
	maxDisproofDelay = 1500 * time.Millisecond
)

// Fingerprint identifies a request by its content, since the same request may come again
// under another identifier.
type Fingerprint uint64

// suspects counts, for each request, the runs of targets that crashed while they ran it.
//
// A lost connection alone doesn't prove a crash. Each loss counts only with further
// evidence: another connection to that target lost, or one refused, within crashWindow.
// The crash is cleared if the target continues to respond, as it does after a reset of its
// connections.
type suspects struct {
	crashes   map[Fingerprint]*suspect
	losses    map[string][]loss           // by target ID, within the last crashWindow
	crashedAt map[TargetRun]time.Duration // presumed crashes of the last maxDisproofDelay
	// completed holds the times at which requests completed. Requests that are sent over
	// and over are in flight whenever a target crashes, and are no suspects.
	completed *recentTimes[Fingerprint]
	presumed  []PresumedCrash // not taken yet
	// crashed holds the targets whose crash a second lost connection shows, not taken yet.
	crashed []string
	// confirmed holds the recent crashes of which this gate or a peer has evidence.
	confirmed map[TargetRun]confirmedCrash
	parts     *crashingParts
	unframed  []unframedEnd // not decided yet, in the order of their times
	// lossesInCrashes counts the requests that were lost in crashes, not taken yet.
	lossesInCrashes [crashPhases]int
}

// confirmedCrash is a crash for which there is evidence beside a single lost connection.
type confirmedCrash struct {
	at    time.Duration
	local bool // this gate has the evidence
}

// PresumedCrash is a crash of a target as this gate presumes it.
type PresumedCrash struct {
	Target string
	// Refused: a refused connection is the evidence, otherwise a second lost one.
	Refused  bool
	Requests int // lost at this gate until then
	// Phases counts these requests by how far their responses had got.
	Phases [crashPhases]int
}

// phase returns how far the response had got when the connection was lost.
func (l *loss) phase() CrashPhase {
	switch {
	case !l.began:
		return PhaseWaiting
	case l.at-l.beganAt <= crashDelay:
		return PhaseBegun
	default:
		return PhaseLasting
	}
}

// maxPresumedCrashes bounds the presumed crashes that are not taken yet.
const maxPresumedCrashes = 64

type suspect struct {
	runs      map[TargetRun]time.Duration // when they crashed
	lastCrash time.Duration
}

// loss is a request whose connection to a target was lost.
type loss struct {
	at          time.Duration
	run         TargetRun
	fingerprint Fingerprint
	parts       []Part
	workspace   WorkspaceID
	began       bool // the response had begun
	beganAt     time.Duration
	counted     bool // among those in crashes
}

func newSuspects() *suspects {
	return &suspects{
		crashes: make(map[Fingerprint]*suspect), losses: make(map[string][]loss),
		crashedAt: make(map[TargetRun]time.Duration),
		completed: newRecentTimes[Fingerprint](), confirmed: make(map[TargetRun]confirmedCrash), parts: newCrashingParts(),
	}
}

// recordLoss records a connection that closed while the target ran the request.
func (s *suspects) recordLoss(now time.Duration, instance *target.Instance, lost loss) {
	lost.at, lost.run = now, runOf(instance)
	recent := s.recentLosses(now, instance.ID, crashWindow)
	losses := append(s.recentLosses(now, instance.ID, peerEvidenceWindow), lost)
	s.losses[instance.ID] = losses
	if len(recent) > 0 {
		s.recordCrash(now, instance, false)
	} else if crash, ok := s.confirmed[lost.run]; ok && now-crash.at <= peerEvidenceWindow {
		s.addLoss(now, &losses[len(losses)-1])
	}
}

// recordUnreachable records that the target refused a connection.
func (s *suspects) recordUnreachable(now time.Duration, instance *target.Instance) {
	s.recordCrash(now, instance, true)
}

// recentLosses returns the losses at a target within the window.
func (s *suspects) recentLosses(now time.Duration, target string, window time.Duration) []loss {
	losses := s.losses[target]
	for len(losses) > 0 && now-losses[0].at > window {
		losses = losses[1:]
	}
	if len(losses) == 0 && window >= peerEvidenceWindow {
		delete(s.losses, target)
	}
	return losses
}

// recordCrash presumes that the target crashed and records the crash against the
// requests whose connections were lost within crashWindow.
func (s *suspects) recordCrash(now time.Duration, instance *target.Instance, refused bool) {
	lost := s.recentLosses(now, instance.ID, crashWindow)
	if len(lost) > 0 {
		maps.DeleteFunc(s.crashedAt, func(_ TargetRun, at time.Duration) bool { return now-at > maxDisproofDelay })
		s.crashedAt[runOf(instance)] = now
	}
	isNew := s.confirmCrash(now, runOf(instance), true)
	if isNew && len(s.presumed) < maxPresumedCrashes {
		presumed := PresumedCrash{Target: instance.ID, Refused: refused, Requests: len(lost)}
		for i := range lost {
			presumed.Phases[lost[i].phase()]++
		}
		s.presumed = append(s.presumed, presumed)
	}
	if isNew && !refused && len(s.crashed) < maxPresumedCrashes {
		s.crashed = append(s.crashed, instance.ID)
	}
	for i := range lost {
		s.addLoss(now, &lost[i])
	}
	s.loseUnframed(now, runOf(instance), now, crashWindow)
}

// addLoss records that the connection of a request was lost by the crash of its target.
func (s *suspects) addLoss(now time.Duration, l *loss) {
	if !l.counted { // each further evidence of the crash adds it again
		l.counted = true
		s.lossesInCrashes[l.phase()]++
	}
	s.addCrash(now, l.at, l.fingerprint, l.run)
	s.parts.recordCrash(*l)
}

// confirmCrash records evidence of a crash, and reports whether it is new.
func (s *suspects) confirmCrash(at time.Duration, run TargetRun, local bool) bool {
	if known, ok := s.confirmed[run]; ok && (known.local || !local) {
		return false
	}
	s.confirmed[run] = confirmedCrash{at, local}
	return true
}

// mergeConfirmed applies the evidence of a peer that the run of a target crashed. It
// confirms single losses at this gate.
func (s *suspects) mergeConfirmed(now time.Duration, run TargetRun, age time.Duration) {
	at := now - age
	if s.parts.disprovedAfter(run, at) {
		return
	}
	s.confirmCrash(at, run, false)
	s.loseUnframed(now, run, at, peerEvidenceWindow)
	losses := s.losses[run.targetID()]
	for i := range losses {
		if l := &losses[i]; l.run == run && (l.at-at).Abs() <= peerEvidenceWindow {
			s.addLoss(now, l)
		}
	}
}

// listConfirmed returns the recent crashes of which this gate has evidence, with the time
// since.
func (s *suspects) listConfirmed(now time.Duration) map[TargetRun]time.Duration {
	maps.DeleteFunc(s.confirmed, func(_ TargetRun, crash confirmedCrash) bool { return now-crash.at > suspectReportAge })
	recent := make(map[TargetRun]time.Duration)
	for run, crash := range s.confirmed {
		if crash.local {
			recent[run] = now - crash.at
		}
	}
	return recent
}

// addCrash records that a request was in flight at the run of a target when that crashed.
// at is the time of the crash.
func (s *suspects) addCrash(now, at time.Duration, f Fingerprint, run TargetRun) {
	if s.completedRecently(now, f) {
		return
	}
	entry := s.crashes[f]
	if entry == nil {
		s.evictOldest(now)
		entry = &suspect{runs: make(map[TargetRun]time.Duration), lastCrash: at}
		s.crashes[f] = entry
	}
	if _, known := entry.runs[run]; known {
		return // peers report the same crash repeatedly
	}
	entry.runs[run] = at
	entry.lastCrash = max(entry.lastCrash, at)
}

// mergeSuspect applies what a peer reported of a request, but for crashes that were
// disproved. Peers report it repeatedly, as long as they remember it, so that a gate that
// restarts learns it.
func (s *suspects) mergeSuspect(now time.Duration, f Fingerprint, ages map[TargetRun]time.Duration) {
	for run, age := range ages {
		if at := now - age; age <= suspectLifetime && !s.parts.disprovedAfter(run, at) {
			s.addCrash(now, at, f, run)
		}
	}
}

// recordResponse records a complete response of a target. If it disproves a presumed crash,
// that is cleared from all requests.
func (s *suspects) recordResponse(now time.Duration, instance *target.Instance) {
	run := runOf(instance)
	at, ok := s.crashedAt[run]
	if !ok || now-at < minDisproofDelay {
		return
	}
	delete(s.crashedAt, run)
	if now-at <= maxDisproofDelay {
		s.disprove(now, run)
	}
}

// disprove clears the presumed crashes of a run before the time at, at which it responded.
func (s *suspects) disprove(at time.Duration, run TargetRun) {
	if s.parts.disprovedAfter(run, at) {
		return // peers report it repeatedly
	}
	if s.confirmed[run].at <= at {
		delete(s.confirmed, run)
	}
	s.parts.disproveCrash(at, run)
	for f, entry := range s.crashes {
		if crashedAt, ok := entry.runs[run]; ok && crashedAt <= at {
			delete(entry.runs, run)
		}
		if len(entry.runs) == 0 {
			delete(s.crashes, f)
		}
	}
}

// retain removes the crash times of targets for which live returns false. The crashes
// recorded against requests stay.
func (s *suspects) retain(live func(id string) bool) {
	maps.DeleteFunc(s.losses, func(id string, _ []loss) bool { return !live(id) })
	maps.DeleteFunc(s.crashedAt, func(run TargetRun, _ time.Duration) bool { return !live(run.targetID()) })
}

// evictOldest frees an entry for one more suspect if there are maxSuspects.
func (s *suspects) evictOldest(now time.Duration) {
	if len(s.crashes) < maxSuspects {
		return
	}
	var oldest Fingerprint
	age := time.Duration(-1)
	for f, entry := range s.crashes {
		if now-entry.lastCrash > age {
			oldest, age = f, now-entry.lastCrash
		}
	}
	delete(s.crashes, oldest)
}

// recordCompleted records that the request completed, and clears crashes recorded
// against it.
func (s *suspects) recordCompleted(now time.Duration, f Fingerprint) {
	delete(s.crashes, f)
	s.completed.record(f, now)
}

// completedRecently reports whether the request completed within suspectLifetime.
func (s *suspects) completedRecently(now time.Duration, f Fingerprint) bool {
	at, ok := s.completed.at(f)
	return ok && now-at < suspectLifetime
}

// quarantined reports whether the request has crashed targets crashLimit times. Crashes that a
// blocked part explains do not count against a request without that part.
func (s *suspects) quarantined(now time.Duration, f Fingerprint, parts []Part) bool {
	entry := s.crashes[f]
	if entry == nil {
		return false
	}
	if now-entry.lastCrash > suspectLifetime {
		delete(s.crashes, f)
		return false
	}
	if len(entry.runs) < crashLimit {
		return false
	}
	explained := s.parts.crashedWithout(now, parts)
	unexplained := 0
	for run := range entry.runs {
		if !explained[run] {
			unexplained++
		}
	}
	return unexplained >= crashLimit
}

// report returns the suspects for peers: those of the last suspectReportAge, and of the
// older ones the maxOldSuspects latest.
func (s *suspects) report(now time.Duration) map[Fingerprint]map[TargetRun]time.Duration {
	reported := make(map[Fingerprint]map[TargetRun]time.Duration)
	var old []Fingerprint
	for f, entry := range s.crashes {
		switch age := now - entry.lastCrash; {
		case age <= suspectReportAge:
			reported[f] = entry.report(now)
		case age <= suspectLifetime:
			old = append(old, f)
		}
	}
	slices.SortFunc(old, func(a, b Fingerprint) int { return cmp.Compare(s.crashes[b].lastCrash, s.crashes[a].lastCrash) })
	for _, f := range old[:min(len(old), maxOldSuspects)] {
		reported[f] = s.crashes[f].report(now)
	}
	return reported
}

// report returns the crashed runs with the time since.
func (s *suspect) report(now time.Duration) map[TargetRun]time.Duration {
	ages := make(map[TargetRun]time.Duration, len(s.runs))
	for run, at := range s.runs {
		ages[run] = now - at
	}
	return ages
}

const (
	// suspectReportAge is how long after a crash it is reported to peers, and after its last
	// crash each suspect.
	suspectReportAge = 5 * time.Second
	// maxOldSuspects bounds the suspects with older crashes in a report.
	maxOldSuspects = 32
)
