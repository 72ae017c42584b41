package quarantine

import (
	"maps"
	"time"

	"github.com/mastichollow/mastichollow/internal/prompt"
	"github.com/mastichollow/mastichollow/internal/target"
)

const (
	// crashWindow is the time within which a second lost connection, or a refused one,
	// shows that a target crashed and not just that one response was lost.
	crashWindow = 400 * time.Millisecond
	// PeerEvidenceWindow is the time between a lost connection and the evidence of a peer
	// that the target crashed, within which the two belong together.
	PeerEvidenceWindow = 1500 * time.Millisecond
	// minDisproofDelay and maxDisproofDelay bound the time after a presumed crash within
	// which a response disproves it. Earlier responses may have been in transit at the
	// crash, and a crashed target takes at least some seconds to restart.
	minDisproofDelay = 300 * time.Millisecond
	maxDisproofDelay = 1500 * time.Millisecond
)

// Fingerprint identifies a request by its content, since the same request may come again
// under another identifier.
type Fingerprint uint64

// Tracker holds the evidence of one gate against the requests and the parts of prompts that crash
// targets, and decides which of them are refused. It is not safe for concurrent use.
//
// A lost connection alone doesn't prove a crash. Each loss counts only with further
// evidence: another connection to that target lost, or one refused, within crashWindow.
// The crash is cleared if the target continues to respond, as it does after a reset of its
// connections.
type Tracker struct {
	requests  *suspectTable
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
	case !l.Began:
		return PhaseWaiting
	case l.at-l.BeganAt <= CrashDelay:
		return PhaseBegun
	default:
		return PhaseLasting
	}
}

// maxPresumedCrashes bounds the presumed crashes that are not taken yet.
const maxPresumedCrashes = 64

// InFlight is a request that a target runs.
type InFlight struct {
	Run         TargetRun
	Fingerprint Fingerprint
	Parts       []prompt.Part
	Workspace   WorkspaceID
	Began       bool // the response had begun
	BeganAt     time.Duration
}

// loss is a request whose connection to a target was lost.
type loss struct {
	InFlight
	at      time.Duration
	counted bool // among those in crashes
}

// NewTracker returns a tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{
		requests: newSuspectTable(), losses: make(map[string][]loss),
		crashedAt: make(map[TargetRun]time.Duration),
		completed: newRecentTimes[Fingerprint](), confirmed: make(map[TargetRun]confirmedCrash), parts: newCrashingParts(),
	}
}

// RecordLoss records a connection that closed while the target ran the request.
func (t *Tracker) RecordLoss(now time.Duration, instance *target.Instance, lost InFlight) {
	recent := t.recentLosses(now, instance.ID, crashWindow)
	losses := append(t.recentLosses(now, instance.ID, PeerEvidenceWindow), loss{InFlight: lost, at: now})
	t.losses[instance.ID] = losses
	if len(recent) > 0 {
		t.recordCrash(now, instance, false)
	} else if crash, ok := t.confirmed[lost.Run]; ok && now-crash.at <= PeerEvidenceWindow {
		t.addLoss(now, &losses[len(losses)-1])
	}
	t.parts.work()
}

// RecordUnreachable records that the target refused a connection.
func (t *Tracker) RecordUnreachable(now time.Duration, instance *target.Instance) {
	t.recordCrash(now, instance, true)
	t.parts.work()
}

// recentLosses returns the losses at a target within the window.
func (t *Tracker) recentLosses(now time.Duration, target string, window time.Duration) []loss {
	losses := t.losses[target]
	for len(losses) > 0 && now-losses[0].at > window {
		losses = losses[1:]
	}
	if len(losses) == 0 && window >= PeerEvidenceWindow {
		delete(t.losses, target)
	}
	return losses
}

// recordCrash presumes that the target crashed and records the crash against the
// requests whose connections were lost within crashWindow.
func (t *Tracker) recordCrash(now time.Duration, instance *target.Instance, refused bool) {
	lost := t.recentLosses(now, instance.ID, crashWindow)
	if len(lost) > 0 {
		maps.DeleteFunc(t.crashedAt, func(_ TargetRun, at time.Duration) bool { return now-at > maxDisproofDelay })
		t.crashedAt[RunOf(instance)] = now
	}
	isNew := t.confirmCrash(now, RunOf(instance), true)
	if isNew && len(t.presumed) < maxPresumedCrashes {
		presumed := PresumedCrash{Target: instance.ID, Refused: refused, Requests: len(lost)}
		for i := range lost {
			presumed.Phases[lost[i].phase()]++
		}
		t.presumed = append(t.presumed, presumed)
	}
	if isNew && !refused && len(t.crashed) < maxPresumedCrashes {
		t.crashed = append(t.crashed, instance.ID)
	}
	for i := range lost {
		t.addLoss(now, &lost[i])
	}
	t.loseUnframed(now, RunOf(instance), now, crashWindow)
}

// addLoss records that the connection of a request was lost by the crash of its target.
func (t *Tracker) addLoss(now time.Duration, l *loss) {
	if l.counted {
		return // further evidence of the same crash
	}
	l.counted = true
	t.lossesInCrashes[l.phase()]++
	t.addCrash(now, l.at, l.Fingerprint, l.Run)
	if suspect := t.requests.find(l.Fingerprint); suspect != nil {
		suspect.local = true
	}
	t.parts.recordCrash(l)
}

// confirmCrash records evidence of a crash, and reports whether it is new.
func (t *Tracker) confirmCrash(at time.Duration, run TargetRun, local bool) bool {
	if known, ok := t.confirmed[run]; ok && (known.local || !local) {
		return false
	}
	t.confirmed[run] = confirmedCrash{at, local}
	return true
}

// mergeConfirmed applies the evidence of a peer that the run of a target crashed. It
// confirms single losses at this gate.
func (t *Tracker) mergeConfirmed(now time.Duration, run TargetRun, age time.Duration) {
	at := now - age
	if t.parts.disprovedAfter(run, at) {
		return
	}
	t.confirmCrash(at, run, false)
	t.loseUnframed(now, run, at, PeerEvidenceWindow)
	losses := t.losses[run.targetID()]
	for i := range losses {
		if l := &losses[i]; l.Run == run && (l.at-at).Abs() <= PeerEvidenceWindow {
			t.addLoss(now, l)
		}
	}
}

// listConfirmed returns the recent crashes of which this gate has evidence, with the time
// since.
func (t *Tracker) listConfirmed(now time.Duration) map[TargetRun]time.Duration {
	maps.DeleteFunc(t.confirmed, func(_ TargetRun, crash confirmedCrash) bool { return now-crash.at > suspectReportAge })
	recent := make(map[TargetRun]time.Duration)
	for run, crash := range t.confirmed {
		if crash.local {
			recent[run] = now - crash.at
		}
	}
	return recent
}

// addCrash records that a request was in flight at the run of a target when that crashed.
// at is the time of the crash.
func (t *Tracker) addCrash(now, at time.Duration, f Fingerprint, run TargetRun) {
	if t.completedRecently(now, f) {
		return
	}
	t.requests.add(f, run, at)
}

// mergeSuspect applies what a peer reported of a request, but for crashes that were
// disproved. Peers report it repeatedly, as long as they remember it, so that a gate that
// restarts learns it.
func (t *Tracker) mergeSuspect(now time.Duration, f Fingerprint, ages map[TargetRun]time.Duration) {
	for run, age := range ages {
		if at := now - age; age <= SuspectLifetime && !t.parts.disprovedAfter(run, at) {
			t.addCrash(now, at, f, run)
		}
	}
}

// RecordResponse records a complete response of a target. If it disproves a presumed crash,
// that is cleared from all requests.
func (t *Tracker) RecordResponse(now time.Duration, instance *target.Instance) {
	run := RunOf(instance)
	at, ok := t.crashedAt[run]
	if !ok || now-at < minDisproofDelay {
		return
	}
	delete(t.crashedAt, run)
	if now-at <= maxDisproofDelay {
		t.disprove(now, run)
	}
}

// disprove clears the presumed crashes of a run before the time at, at which it responded.
func (t *Tracker) disprove(at time.Duration, run TargetRun) {
	if t.parts.disprovedAfter(run, at) {
		return // peers report it repeatedly
	}
	if t.confirmed[run].at <= at {
		delete(t.confirmed, run)
	}
	t.parts.disproveCrash(at, run)
	t.requests.dropRun(run, at)
}

// Retain removes the crash times of targets for which live returns false. The crashes
// recorded against requests stay.
func (t *Tracker) Retain(live func(id string) bool) {
	maps.DeleteFunc(t.losses, func(id string, _ []loss) bool { return !live(id) })
	maps.DeleteFunc(t.crashedAt, func(run TargetRun, _ time.Duration) bool { return !live(run.targetID()) })
}

// RecordCompleted records that a request completed at a target, and clears it of its crashes. Its
// parts are cleared if the target had read the prompt.
func (t *Tracker) RecordCompleted(now time.Duration, instance *target.Instance, completed InFlight, promptRead bool) {
	t.recordRequestCompleted(now, completed.Fingerprint)
	t.RecordResponse(now, instance)
	if promptRead {
		t.parts.recordCompleted(now, completed.Parts)
	}
	t.parts.work()
}

// TakeUpLosses takes up some of the parts of lost requests that earlier calls have left, and reports
// whether there are more.
func (t *Tracker) TakeUpLosses() bool { return t.parts.work() }

// RecordLasted records that a response to a request with the parts has lasted for CrashDelay.
func (t *Tracker) RecordLasted(now time.Duration, parts []prompt.Part) {
	t.parts.recordLasted(now, parts)
}

// recordRequestCompleted clears crashes recorded against a request that completed.
func (t *Tracker) recordRequestCompleted(now time.Duration, f Fingerprint) {
	t.requests.remove(f)
	t.completed.record(f, now)
}

// completedRecently reports whether the request completed within SuspectLifetime.
func (t *Tracker) completedRecently(now time.Duration, f Fingerprint) bool {
	at, ok := t.completed.at(f)
	return ok && now-at < SuspectLifetime
}

// Quarantined reports whether the request has crashed targets CrashLimit times. Crashes that a
// blocked part explains do not count against a request without that part.
func (t *Tracker) Quarantined(now time.Duration, f Fingerprint, parts []prompt.Part) bool {
	suspect := t.requests.find(f)
	if suspect == nil {
		return false
	}
	if now-suspect.lastCrash > SuspectLifetime {
		t.requests.remove(f)
		return false
	}
	if len(suspect.runs) < CrashLimit {
		return false
	}
	explained := t.parts.crashedWithout(now, parts)
	unexplained := 0
	for run := range suspect.runs {
		if !explained[run] {
			unexplained++
		}
	}
	return unexplained >= CrashLimit
}
