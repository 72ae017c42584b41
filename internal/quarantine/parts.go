package quarantine

import (
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
	// maxSuspectParts and maxPartCrashes bound the evidence. A target with 64 slots loses some 115,000
	// parts with prompts of 1,800; the parts lost in one crash must be there at the next.
	maxSuspectParts = 256 << 10
	maxPartCrashes  = 16
	// maxPartsPerStep bounds the parts that one call takes up: the tracker is used under a lock that all
	// requests of the gate need.
	maxPartsPerStep = 256
	// maxBacklogParts bounds the parts of lost requests that are not taken up yet: twice what a target
	// with 64 slots loses with prompts of 1,800 parts.
	maxBacklogParts = 256 << 10
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
	suspects *groupTable
	// completed holds when a request with the part last completed at any gate, lasted when a
	// response with it had lasted for CrashDelay.
	completed, lasted *partTimes
	// cleared and outlasted hold those at this gate that concern suspects, for peers.
	cleared, outlasted *clearedParts
	// crashed holds the crashes in which requests with parts were lost.
	crashed *boundedRuns
	// begun holds the crashes shortly before which a response began, disproved the runs of
	// targets that responded after their presumed crash, with the time of that.
	begun, disproved *boundedRuns

	backlog      []lostParts // not taken up yet
	backlogParts int
	dropped      int // parts that found no room in backlog, not taken yet
	reportRound  uint64

	blocks     []partBlock
	changed    bool // since the blocks were computed
	computedAt time.Duration
	changes    []PartBlockChange    // not taken yet
	clearings  []PartClearing       // not taken yet
	admitted   [admittedReasons]int // requests with a part at PartCrashLimit, not taken yet
}

// lostParts are the parts of a request that was lost in a crash.
type lostParts struct {
	parts []prompt.Part
	crash PartCrash
}

func newCrashingParts() *crashingParts {
	return &crashingParts{
		suspects: newGroupTable(maxSuspectParts), completed: newPartTimes(), lasted: newPartTimes(),
		cleared: newClearedParts(), outlasted: newClearedParts(),
		crashed: newBoundedRuns(), begun: newBoundedRuns(), disproved: newBoundedRuns(),
	}
}

// recordCrash records that a request was in flight at a crash.
func (p *crashingParts) recordCrash(lost *loss) {
	if len(lost.Parts) == 0 {
		return
	}
	if p.backlogParts+len(lost.Parts) > maxBacklogParts {
		p.dropped += len(lost.Parts)
		return
	}
	p.backlogParts += len(lost.Parts)
	p.backlog = append(p.backlog, lostParts{lost.Parts, PartCrash{Run: lost.Run, At: lost.at, Workspaces: []WorkspaceID{lost.Workspace}, Phase: lost.phase()}})
}

// work takes up some of the parts of lost requests, and reports whether there are more.
func (p *crashingParts) work() bool {
	for budget := maxPartsPerStep; budget > 0 && len(p.backlog) > 0; {
		lost := &p.backlog[0]
		count := min(budget, len(lost.parts))
		p.addLoss(lost.parts[:count], &lost.crash)
		budget, p.backlogParts, lost.parts = budget-count, p.backlogParts-count, lost.parts[count:]
		if len(lost.parts) == 0 {
			p.backlog = p.backlog[1:]
		}
	}
	if len(p.backlog) == 0 {
		p.backlog = nil
	}
	return len(p.backlog) > 0
}

// addLoss records a crash against the parts of a request that was lost in it at this gate.
func (p *crashingParts) addLoss(parts []prompt.Part, crash *PartCrash) {
	if !p.recordRun(crash) {
		return
	}
	groups := make(derivedGroups)
	for i := range parts {
		p.addCrash(parts[i].Hash, crash, true, groups)
	}
}

// recordRun records that requests with parts were lost in a crash. It reports whether the crash
// counts.
func (p *crashingParts) recordRun(crash *PartCrash) bool {
	if p.disprovedAfter(crash.Run, crash.At) {
		return false
	}
	if _, known := p.crashed.at(crash.Run); !known {
		p.crashed.set(crash.Run, crash.At)
	}
	if _, begun := p.begun.at(crash.Run); !begun && crash.Phase == PhaseBegun {
		p.begun.set(crash.Run, crash.At)
		p.changed = true
	}
	return true
}

// derivedGroups holds, for one crash, the group that the parts of another group get into.
type derivedGroups map[derivation]*partGroup

type derivation struct {
	from  *partGroup
	crash *PartCrash // identifies the crash and how the parts were lost
	phase CrashPhase
}

// addCrash records a crash against a part, unless a request with the part completed
// since.
func (p *crashingParts) addCrash(part uint64, crash *PartCrash, local bool, groups derivedGroups) {
	if p.completedSince(part, crash.At) {
		return
	}
	phase := crash.Phase
	if lastedAt, ok := p.lasted.at(part); ok && crash.At <= lastedAt {
		phase = PhaseLasting
	}
	from := p.suspects.group(part)
	key := derivation{from, crash, phase}
	to, derived := groups[key]
	if !derived {
		counted := *crash
		counted.Phase = phase
		to = from.withCrash(&counted, local)
		groups[key] = to
	}
	p.move(part, from, to)
}

// move makes a part a member of a group instead of the one that it is in.
func (p *crashingParts) move(part uint64, from, to *partGroup) {
	if from == to {
		return
	}
	p.changed = p.changed || from.mayBeBlocked() || to.mayBeBlocked()
	p.suspects.move(part, to)
}

func (g *partGroup) mayBeBlocked() bool { return g != nil && len(g.crashes) >= PartCrashLimit }

// recordCompleted records that a request with the parts completed at this gate, and clears
// them.
func (p *crashingParts) recordCompleted(now time.Duration, parts []prompt.Part) {
	groups := make(map[*partGroup]*partGroup)
	for i := range parts {
		p.clear(parts[i].Hash, now, ClearedByCompletion, groups)
	}
}

// clear removes the crashes of a part up to the time at which a request with it
// completed. groups holds what has become of other parts that the request clears.
func (p *crashingParts) clear(part uint64, completedAt time.Duration, cause ClearingCause, groups map[*partGroup]*partGroup) {
	p.completed.record(part, completedAt)
	from := p.suspects.group(part)
	if from == nil {
		return
	}
	to, known := groups[from]
	if !known {
		to = from.withoutCrashes(completedAt)
		groups[from] = to
	}
	if from == to {
		return
	}
	remaining := 0
	if to != nil {
		remaining = len(to.crashes)
	}
	if cause == ClearedByCompletion {
		p.cleared.add(part, completedAt, from.strength)
	}
	p.recordClearing(part, len(from.crashes)-remaining, cause)
	p.move(part, from, to)
}

// recordLasted records that a response with the parts has lasted for CrashDelay at this gate.
func (p *crashingParts) recordLasted(now time.Duration, parts []prompt.Part) {
	groups := make(map[*partGroup]*partGroup)
	for i := range parts {
		p.outlast(parts[i].Hash, now, ClearedByLasting, groups)
	}
}

// outlast makes the crashes of a part up to the time at which a response with it had lasted no
// direct evidence.
func (p *crashingParts) outlast(part uint64, lastedAt time.Duration, cause ClearingCause, groups map[*partGroup]*partGroup) {
	p.lasted.record(part, lastedAt)
	from := p.suspects.group(part)
	if from == nil {
		return
	}
	to, known := groups[from]
	if !known {
		to = from.outlasted(lastedAt)
		groups[from] = to
	}
	if from == to {
		return
	}
	outlasted := 0
	for i := range to.crashes {
		if to.crashes[i].Phase != from.crashes[i].Phase {
			outlasted++
		}
	}
	if cause == ClearedByLasting {
		p.outlasted.add(part, lastedAt, from.strength)
	}
	p.recordClearing(part, outlasted, cause)
	p.move(part, from, to)
}

// completedSince reports whether a request with the part completed later than at.
func (p *crashingParts) completedSince(part uint64, at time.Duration) bool {
	completedAt, ok := p.completed.at(part)
	return ok && completedAt > at
}

// reportCompleted has the last completion of a request with the part reported to peers.
func (p *crashingParts) reportCompleted(part uint64) {
	if at, ok := p.completed.at(part); ok {
		p.cleared.add(part, at, atLimit)
	}
}

// disprovedAfter reports whether the run responded at the time at or later, which disproves
// its presumed crashes until then.
func (p *crashingParts) disprovedAfter(run TargetRun, at time.Duration) bool {
	respondedAt, ok := p.disproved.at(run)
	return ok && at <= respondedAt
}

// disproveCrash removes a presumed crash of a target that responded later from all parts.
func (p *crashingParts) disproveCrash(respondedAt time.Duration, run TargetRun) {
	if p.disprovedAfter(run, respondedAt) {
		return
	}
	p.disproved.set(run, respondedAt)
	p.begun.remove(run)
	p.crashed.remove(run)
	p.suspects.dropRun(run, respondedAt, func(g *partGroup) {
		p.changed = true
		for _, part := range g.members[:min(len(g.members), maxPartClearings)] {
			p.recordClearing(part, 1, ClearedByTarget)
		}
	})
}
