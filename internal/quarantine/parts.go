package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastichollow/mastichollow/internal/prompt"
	"github.com/mastichollow/mastichollow/internal/target"
)

const (
	// PartCrashLimit is the number of crashes, each of another run of a target, from which
	// a part is blocked if no other part explains them.
	PartCrashLimit = 4
	// PartCrashBound is the number of crashes from which a part is blocked unless another
	// part explains all of them. The platform bounds what follows the fifth crash.
	PartCrashBound = 5
	// MinFurtherCrashes is the number of crashes that a part must explain beyond those that
	// others explain, to be blocked for being in flight at PartCrashBound crashes.
	MinFurtherCrashes = 2
	// minCrashShare is the share of the crashes in its period, from the first to the last one at
	// which it was in flight, that such a part must explain. When many targets crash for other
	// reasons, a part of few requests may well be lost with each of them.
	minCrashShare = 1.0 / 3
	// PartSettleTime is how long after that crash a part is blocked: requests with it that
	// complete meanwhile clear it, for example after the failure of a whole domain.
	PartSettleTime = 500 * time.Millisecond
	// PartBlockTime is how long after its last crash a part is blocked. Then requests with it
	// are admitted again, and one more crash blocks it for twice as long.
	PartBlockTime      = 10 * time.Minute
	maxPartBlockRepeat = 6 // doublings of PartBlockTime
	// CrashDelay is the time from the begin of a response within which a part crashes its
	// target. A response that lasts longer clears its parts.
	CrashDelay = 500 * time.Millisecond
	// maxSuspectParts and maxPartCrashes bound the evidence.
	maxSuspectParts = 1024
	maxPartCrashes  = 16
	// maxCrashWorkspaces bounds the workspaces recorded for one crash of a part.
	maxCrashWorkspaces = 4
	// maxCrashedRuns bounds the runs of targets of which the state of a crash is kept.
	maxCrashedRuns = 1024
)

// TargetRun identifies a target from its start to its end.
type TargetRun string

// RunOf returns the current run of a target.
func RunOf(instance *target.Instance) TargetRun {
	return TargetRun(instance.ID + "/" + strconv.FormatInt(instance.StartedMillis, 36))
}

func (r TargetRun) targetID() string {
	id, _, _ := strings.Cut(string(r), "/")
	return id
}

// WorkspaceID identifies a workspace in the evidence that gates exchange.
type WorkspaceID uint32

// IDOfWorkspace returns the ID of the workspace of a name.
func IDOfWorkspace(name string) WorkspaceID { return WorkspaceID(xxhash.Sum64String(name)) }

// PartCrash is a crash of a target that ran requests with a part, of the given workspaces.
type PartCrash struct {
	Run        TargetRun
	At         time.Duration // in a report: since the crash
	Workspaces []WorkspaceID
	// Phase is the lowest phase of the responses to these requests. PhaseBegun is direct
	// evidence; PhaseWaiting is so only if no other request's response began shortly before the
	// crash.
	Phase CrashPhase
}

// crashingParts finds the parts of prompts that crash the targets that run requests with
// them, whatever else those requests hold.
//
// Most parts crash a target soon after the begin of a response. So each part of a request
// whose response began within CrashDelay before a crash is a direct suspect, and those of
// requests that still waited if there is no such request. The last part is one of them: the
// requests of a session share it. A target may also crash before it sends the head of a
// response, or later: the parts of all requests in flight are suspects at each crash, but
// without direct evidence it takes more crashes to block them.
//
// A response that completes clears its parts. One that lasts longer than CrashDelay makes the
// crashes until then no direct evidence against them.
//
// Of the suspects, those are blocked that explain most crashes; crashes that they explain do
// not count against other parts. Suspects that explain as many of the same crashes are
// blocked together, for requests that have all of them, until a crash or a completion tells
// them apart. A part that crashed targets only in requests of some workspaces is blocked
// for these alone, so that no workspace can have a part of another one blocked.
type crashingParts struct {
	suspects map[uint64]*suspectPart // by part hash
	// completed holds when a request with the part last completed at any gate, lasted when a
	// response with it had lasted for CrashDelay.
	completed, lasted *recentTimes[uint64]
	// cleared and outlasted hold those at this gate that concern suspects, for peers.
	cleared, outlasted map[uint64]time.Duration
	// crashed holds the crashes in which requests with parts were lost.
	crashed map[TargetRun]time.Duration
	// begun holds the crashes shortly before which a response began, disproved the runs of
	// targets that responded after their presumed crash, with the time of that.
	begun, disproved map[TargetRun]time.Duration

	blocks     []partBlock
	changed    bool // since the blocks were computed
	computedAt time.Duration
	changes    []PartBlockChange    // not taken yet
	clearings  []PartClearing       // not taken yet
	admitted   [admittedReasons]int // requests with a part at PartCrashLimit, not taken yet
}

type suspectPart struct {
	crashes   map[TargetRun]*PartCrash
	local     bool // a request with the part was lost at this gate
	lastCrash time.Duration
	// limitReached is when the number of crashes reached PartCrashLimit.
	limitReached time.Duration
	repeats      int // crashes after the end of a block
}

func newCrashingParts() *crashingParts {
	return &crashingParts{
		suspects: make(map[uint64]*suspectPart), completed: newRecentTimes[uint64](), lasted: newRecentTimes[uint64](),
		cleared: make(map[uint64]time.Duration), outlasted: make(map[uint64]time.Duration),
		crashed: make(map[TargetRun]time.Duration), begun: make(map[TargetRun]time.Duration), disproved: make(map[TargetRun]time.Duration),
	}
}

// recordCrash records that a request was in flight at a crash.
func (p *crashingParts) recordCrash(lost loss) {
	for _, part := range lost.Parts {
		p.addCrash(part.Hash, PartCrash{Run: lost.Run, At: lost.at, Workspaces: []WorkspaceID{lost.Workspace}, Phase: lost.phase()})
		if suspect := p.suspects[part.Hash]; suspect != nil {
			suspect.local = true
		}
	}
}

// addCrash records a crash against a part, unless a request with the part completed
// since.
func (p *crashingParts) addCrash(part uint64, crash PartCrash) {
	if p.disprovedAfter(crash.Run, crash.At) {
		return
	}
	if _, known := p.crashed[crash.Run]; !known {
		setBounded(p.crashed, crash.Run, crash.At)
	}
	if _, begun := p.begun[crash.Run]; !begun && crash.Phase == PhaseBegun {
		setBounded(p.begun, crash.Run, crash.At)
		p.changed = true
	}
	if p.completedSince(part, crash.At) {
		return
	}
	if lastedAt, ok := p.lasted.at(part); ok && crash.At <= lastedAt {
		crash.Phase = PhaseLasting
	}
	suspect := p.suspects[part]
	if suspect == nil {
		p.makeRoom()
		suspect = &suspectPart{crashes: make(map[TargetRun]*PartCrash)}
		p.suspects[part] = suspect
	}
	if known := suspect.crashes[crash.Run]; known != nil {
		if crash.Phase < known.Phase {
			known.Phase, p.changed = crash.Phase, true
		}
		for _, workspace := range crash.Workspaces {
			if len(known.Workspaces) < maxCrashWorkspaces && !slices.Contains(known.Workspaces, workspace) {
				known.Workspaces = append(known.Workspaces, workspace)
				p.changed = true
			}
		}
		return
	}
	p.changed = true
	if len(suspect.crashes) >= PartCrashLimit && crash.At > suspect.blockEnd() {
		suspect.repeats++
	}
	suspect.lastCrash = max(suspect.lastCrash, crash.At)
	if len(suspect.crashes) >= maxPartCrashes {
		suspect.dropOldestCrash()
	}
	suspect.crashes[crash.Run] = &crash
	if len(suspect.crashes) == PartCrashLimit {
		suspect.limitReached = crash.At
	}
}

// setBounded sets the time of a run. If there are maxCrashedRuns, it removes the oldest.
func setBounded(runs map[TargetRun]time.Duration, run TargetRun, at time.Duration) {
	if len(runs) >= maxCrashedRuns {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(runs)), func(a, b TargetRun) int { return cmp.Compare(runs[a], runs[b]) })
		delete(runs, oldest)
	}
	runs[run] = at
}

func (s *suspectPart) dropOldestCrash() {
	oldest := slices.MinFunc(slices.Collect(maps.Values(s.crashes)), func(a, b *PartCrash) int { return cmp.Compare(a.At, b.At) })
	delete(s.crashes, oldest.Run)
}

// newestCrashes returns the newest crashes, at most count.
func (s *suspectPart) newestCrashes(count int) []*PartCrash {
	crashes := slices.SortedFunc(maps.Values(s.crashes), func(a, b *PartCrash) int {
		return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Run, b.Run))
	})
	return crashes[:min(len(crashes), count)]
}

func (s *suspectPart) blockEnd() time.Duration {
	return s.lastCrash + PartBlockTime<<min(s.repeats, maxPartBlockRepeat)
}

// reportAge returns how long after the last crash this gate reports the suspect to peers. A single
// crash without direct evidence, the most common case, is reported shortly, and only by the gates
// that lost a request in it.
func (s *suspectPart) reportAge() time.Duration {
	for _, crash := range s.crashes {
		if len(s.crashes) > 1 || crash.Phase == PhaseBegun {
			return suspectReportAge
		}
	}
	if s.local {
		return indirectReportAge
	}
	return never
}

// expired reports whether the suspect can be forgotten.
func (s *suspectPart) expired(now time.Duration) bool {
	if len(s.crashes) < PartCrashLimit {
		return now-s.lastCrash > SuspectLifetime
	}
	return now > s.blockEnd()+PartBlockTime
}

// makeRoom evicts the suspect with the fewest crashes, the oldest of these, if there are
// maxSuspectParts.
func (p *crashingParts) makeRoom() {
	if len(p.suspects) < maxSuspectParts {
		return
	}
	weaker := func(a, b uint64) int {
		s, t := p.suspects[a], p.suspects[b]
		return cmp.Or(cmp.Compare(len(s.crashes), len(t.crashes)), cmp.Compare(s.lastCrash, t.lastCrash), cmp.Compare(a, b))
	}
	delete(p.suspects, slices.MinFunc(slices.Collect(maps.Keys(p.suspects)), weaker))
}

// recordCompleted records that a request with the parts completed at this gate, and clears
// them.
func (p *crashingParts) recordCompleted(now time.Duration, parts []prompt.Part) {
	for _, part := range parts {
		if p.suspects[part.Hash] != nil {
			p.cleared[part.Hash] = now
		}
		p.clear(part.Hash, now, ClearedByCompletion)
	}
}

// clear removes the crashes of a part up to the time at which a request with it
// completed.
func (p *crashingParts) clear(part uint64, completedAt time.Duration, cause ClearingCause) {
	p.completed.record(part, completedAt)
	suspect := p.suspects[part]
	if suspect == nil {
		return
	}
	p.changed = true
	before := len(suspect.crashes)
	maps.DeleteFunc(suspect.crashes, func(_ TargetRun, crash *PartCrash) bool { return crash.At <= completedAt })
	p.recordClearing(part, before-len(suspect.crashes), cause)
	if len(suspect.crashes) == 0 {
		delete(p.suspects, part)
	}
}

// recordLasted records that a response with the parts has lasted for CrashDelay at this gate.
func (p *crashingParts) recordLasted(now time.Duration, parts []prompt.Part) {
	for _, part := range parts {
		if p.outlast(part.Hash, now, ClearedByLasting) {
			p.outlasted[part.Hash] = now
		}
	}
}

// outlast makes the crashes of a part up to the time at which a response with it had lasted no
// direct evidence. It reports whether one was.
func (p *crashingParts) outlast(part uint64, lastedAt time.Duration, cause ClearingCause) bool {
	p.lasted.record(part, lastedAt)
	suspect := p.suspects[part]
	if suspect == nil {
		return false
	}
	outlasted := 0
	for _, crash := range suspect.crashes {
		if crash.At <= lastedAt && crash.Phase != PhaseLasting {
			crash.Phase, p.changed = PhaseLasting, true
			outlasted++
		}
	}
	p.recordClearing(part, outlasted, cause)
	return outlasted > 0
}

// completedSince reports whether a request with the part completed later than at.
func (p *crashingParts) completedSince(part uint64, at time.Duration) bool {
	completedAt, ok := p.completed.at(part)
	return ok && completedAt > at
}

// reportCompleted has the last completion of a request with the part reported to peers.
func (p *crashingParts) reportCompleted(part uint64) {
	if at, ok := p.completed.at(part); ok {
		p.cleared[part] = at
	}
}

// disprovedAfter reports whether the run responded at the time at or later, which disproves
// its presumed crashes until then.
func (p *crashingParts) disprovedAfter(run TargetRun, at time.Duration) bool {
	respondedAt, ok := p.disproved[run]
	return ok && at <= respondedAt
}

// disproveCrash removes a presumed crash of a target that responded later from all parts.
func (p *crashingParts) disproveCrash(respondedAt time.Duration, run TargetRun) {
	if p.disprovedAfter(run, respondedAt) {
		return
	}
	setBounded(p.disproved, run, respondedAt)
	delete(p.begun, run)
	delete(p.crashed, run)
	for part, suspect := range p.suspects {
		if crash := suspect.crashes[run]; crash == nil || crash.At > respondedAt {
			continue
		}
		p.changed = true
		delete(suspect.crashes, run)
		p.recordClearing(part, 1, ClearedByTarget)
		if len(suspect.crashes) == 0 {
			delete(p.suspects, part)
		}
	}
}
