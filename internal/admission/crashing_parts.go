package admission

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastichollow/mastichollow/internal/target"
)

const (
	// partCrashLimit is the number of crashes, each of another run of a target, from which
	// a part is blocked if no other part explains them.
	partCrashLimit = 4
	// partCrashBound is the number of crashes from which a part is blocked unless another
	// part explains all of them. The platform bounds what follows the fifth crash.
	partCrashBound = 5
	// partSettleTime is how long after that crash a part is blocked: requests with it that
	// complete meanwhile clear it, for example after the failure of a whole domain.
	partSettleTime = 500 * time.Millisecond
	// partBlockTime is how long after its last crash a part is blocked. Then requests with it
	// are admitted again, and one more crash blocks it for twice as long.
	partBlockTime      = 10 * time.Minute
	maxPartBlockRepeat = 6 // doublings of partBlockTime
	// crashDelay is the time from the begin of a response within which a part crashes its
	// target. A response that lasts longer clears its parts.
	crashDelay = 500 * time.Millisecond
	// maxSuspectParts and maxPartCrashes bound the state, to some 300 KB.
	maxSuspectParts = 1024
	maxPartCrashes  = 16
	// maxCrashWorkspaces bounds the workspaces recorded for one crash of a part.
	maxCrashWorkspaces = 4
	// maxCrashedRuns bounds the runs of targets of which the state of a crash is kept.
	maxCrashedRuns = 1024
	// maxReportedParts bounds the parts in a report to peers.
	maxReportedParts = 48
	// maxReportedCrashes bounds the crashes reported for a part.
	maxReportedCrashes = 8
	// blockRefreshInterval is how often the blocked parts are computed again without a new
	// crash or completion.
	blockRefreshInterval = 100 * time.Millisecond
)

// TargetRun identifies a target from its start to its end.
type TargetRun string

func runOf(instance *target.Instance) TargetRun {
	return TargetRun(instance.ID + "/" + strconv.FormatInt(instance.StartedMillis, 36))
}

func (r TargetRun) targetID() string {
	id, _, _ := strings.Cut(string(r), "/")
	return id
}

// WorkspaceID identifies a workspace in the evidence that gates exchange.
type WorkspaceID uint32

func workspaceID(name string) WorkspaceID { return WorkspaceID(xxhash.Sum64String(name)) }

// PartCrash is a crash of a target that ran requests with a part, of the given workspaces.
type PartCrash struct {
	Run        TargetRun
	At         time.Duration // in a report: since the crash
	Workspaces []WorkspaceID
	// Waiting: the response to none of the requests had begun. It is evidence only if no
	// other request's response began shortly before the crash.
	Waiting bool
}

// crashingParts finds the parts of prompts that crash the targets that run requests with
// them, whatever else those requests hold.
//
// A part crashes a target soon after the begin of a response. So each part but the last
// of a request whose response began within crashDelay before a crash is a suspect, and
// those of requests that still waited if there is no such request. A response that lasts
// longer, or completes, clears its parts. Of the suspects, those are blocked that explain most crashes; crashes that they explain do not count
// against other parts. Suspects that explain as many of the same crashes are blocked
// together, for requests that have all of them, until a crash or a completion tells them
// apart. A part that crashed targets only in requests of some workspaces is blocked for
// these alone, so that no workspace can have a part of another one blocked.
type crashingParts struct {
	suspects map[uint64]*suspectPart // by part hash
	// completed holds when a request with the part last completed at any gate. When it is
	// full, it becomes previousCompleted.
	completed, previousCompleted map[uint64]time.Duration
	// cleared holds the completions at this gate that cleared suspects, for peers.
	cleared map[uint64]time.Duration
	// begun holds the crashes shortly before which a response began, disproved the runs of
	// targets that responded after their presumed crash, with the time of that.
	begun, disproved map[TargetRun]time.Duration

	blocks     []partBlock
	changed    bool // since the blocks were computed
	computedAt time.Duration
	changes    []PartBlockChange // not taken yet
}

type suspectPart struct {
	crashes   map[TargetRun]*PartCrash
	lastCrash time.Duration
	// limitReached is when the number of crashes reached partCrashLimit.
	limitReached time.Duration
	repeats      int // crashes after the end of a block
}

// partBlock blocks requests that have all of its parts.
type partBlock struct {
	parts []uint64
	// workspaces are those that the block applies to; nil: all.
	workspaces []WorkspaceID
	until      time.Duration
}

// PartBlockChange is the begin or the end of a block, for logs.
type PartBlockChange struct {
	Part    uint64
	Blocked bool
	Crashes int
	Tied    int // parts that are blocked together with it
	// Workspaces is the number of workspaces that the block applies to; 0: all.
	Workspaces int
}

func newCrashingParts() *crashingParts {
	return &crashingParts{
		suspects: make(map[uint64]*suspectPart), completed: make(map[uint64]time.Duration), cleared: make(map[uint64]time.Duration),
		begun: make(map[TargetRun]time.Duration), disproved: make(map[TargetRun]time.Duration),
	}
}

// sharedParts returns the parts that other requests may have too: all but the last.
func sharedParts(parts []Part) []Part { return parts[:max(len(parts)-1, 0)] }

// recordCrash records that a request was in flight at a crash.
func (p *crashingParts) recordCrash(lost loss) {
	if lost.began && lost.at-lost.beganAt > crashDelay {
		return
	}
	for _, part := range sharedParts(lost.parts) {
		p.addCrash(part.Hash, PartCrash{Run: lost.run, At: lost.at, Workspaces: []WorkspaceID{lost.workspace}, Waiting: !lost.began})
	}
}

// addCrash records a crash against a part, unless a request with the part completed
// since.
func (p *crashingParts) addCrash(part uint64, crash PartCrash) {
	if at, ok := p.disproved[crash.Run]; ok && at >= crash.At {
		return
	}
	if _, begun := p.begun[crash.Run]; !begun && !crash.Waiting {
		setBounded(p.begun, crash.Run, crash.At)
		p.changed = true
	}
	if p.completedSince(part, crash.At) {
		return
	}
	suspect := p.suspects[part]
	if suspect == nil {
		p.makeRoom()
		suspect = &suspectPart{crashes: make(map[TargetRun]*PartCrash)}
		p.suspects[part] = suspect
	}
	if known := suspect.crashes[crash.Run]; known != nil {
		if known.Waiting && !crash.Waiting {
			known.Waiting, p.changed = false, true
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
	if len(suspect.crashes) >= partCrashLimit && crash.At > suspect.blockEnd() {
		suspect.repeats++
	}
	suspect.lastCrash = max(suspect.lastCrash, crash.At)
	if len(suspect.crashes) >= maxPartCrashes {
		suspect.dropOldestCrash()
	}
	suspect.crashes[crash.Run] = &crash
	if len(suspect.crashes) == partCrashLimit {
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
	return s.lastCrash + partBlockTime<<min(s.repeats, maxPartBlockRepeat)
}

// expired reports whether the suspect can be forgotten.
func (s *suspectPart) expired(now time.Duration) bool {
	if len(s.crashes) < partCrashLimit {
		return now-s.lastCrash > suspectLifetime
	}
	return now > s.blockEnd()+partBlockTime
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
func (p *crashingParts) recordCompleted(now time.Duration, parts []Part) {
	for _, part := range sharedParts(parts) {
		if p.suspects[part.Hash] != nil {
			p.cleared[part.Hash] = now
		}
		p.clear(part.Hash, now)
	}
}

// clear removes the crashes of a part up to the time at which a request with it
// completed.
func (p *crashingParts) clear(part uint64, completedAt time.Duration) {
	if len(p.completed) >= maxCompleted {
		p.completed, p.previousCompleted = make(map[uint64]time.Duration, maxCompleted), p.completed
	}
	if !p.completedSince(part, completedAt) {
		p.completed[part] = completedAt
	}
	suspect := p.suspects[part]
	if suspect == nil {
		return
	}
	p.changed = true
	maps.DeleteFunc(suspect.crashes, func(_ TargetRun, crash *PartCrash) bool { return crash.At <= completedAt })
	if len(suspect.crashes) == 0 {
		delete(p.suspects, part)
	}
}

// completedSince reports whether a request with the part completed later than at. Times
// from before the start of this gate are negative.
func (p *crashingParts) completedSince(part uint64, at time.Duration) bool {
	completedAt, ok := p.completed[part]
	if !ok {
		completedAt, ok = p.previousCompleted[part]
	}
	return ok && completedAt > at
}

// reportCompleted has the last completion of a request with the part reported to peers.
func (p *crashingParts) reportCompleted(part uint64) {
	at, ok := p.completed[part]
	if !ok {
		at = p.previousCompleted[part]
	}
	p.cleared[part] = at
}

// disproveCrash removes a presumed crash of a target that responded later from all parts.
func (p *crashingParts) disproveCrash(respondedAt time.Duration, run TargetRun) {
	if at, ok := p.disproved[run]; ok && at >= respondedAt {
		return
	}
	setBounded(p.disproved, run, respondedAt)
	delete(p.begun, run)
	for part, suspect := range p.suspects {
		if crash := suspect.crashes[run]; crash == nil || crash.At > respondedAt {
			continue
		}
		p.changed = true
		delete(suspect.crashes, run)
		if len(suspect.crashes) == 0 {
			delete(p.suspects, part)
		}
	}
}

// blocked returns the block that applies to a request, and nil if none does.
func (p *crashingParts) blocked(now time.Duration, parts []Part, workspace WorkspaceID) *partBlock {
	p.refreshBlocks(now)
	for i := range p.blocks {
		if p.blocks[i].appliesTo(parts, workspace) {
			return &p.blocks[i]
		}
	}
	return nil
}

// refreshBlocks computes the blocks if they may have changed.
func (p *crashingParts) refreshBlocks(now time.Duration) {
	if len(p.suspects) == 0 && len(p.blocks) == 0 {
		return
	}
	if p.changed || now-p.computedAt >= blockRefreshInterval {
		p.computeBlocks(now)
	}
}

// crashedWithout returns the IDs of the targets whose crashes are explained by blocked
// parts that a request does not have.
func (p *crashingParts) crashedWithout(now time.Duration, parts []Part) map[string]bool {
	p.refreshBlocks(now)
	explained := make(map[string]bool)
	for i := range p.blocks {
		if p.blocks[i].hasParts(parts) {
			continue
		}
		for _, part := range p.blocks[i].parts {
			if suspect := p.suspects[part]; suspect != nil {
				for run := range suspect.crashes {
					explained[run.targetID()] = true
				}
			}
		}
	}
	return explained
}

func (b *partBlock) appliesTo(parts []Part, workspace WorkspaceID) bool {
	if b.workspaces != nil && !slices.Contains(b.workspaces, workspace) {
		return false
	}
	return b.hasParts(parts)
}

// hasParts reports whether a request has all parts of the block.
func (b *partBlock) hasParts(parts []Part) bool {
	return !slices.ContainsFunc(b.parts, func(blocked uint64) bool {
		return !slices.ContainsFunc(sharedParts(parts), func(part Part) bool { return part.Hash == blocked })
	})
}

// computeBlocks finds the fewest parts that explain the crashes: the part with most
// crashes first, then the one with most of those that are left.
func (p *crashingParts) computeBlocks(now time.Duration) {
	maps.DeleteFunc(p.suspects, func(_ uint64, s *suspectPart) bool { return s.expired(now) })
	previous := p.blocks
	p.blocks, p.changed, p.computedAt = nil, false, now
	explained := make(map[TargetRun]bool)
	for {
		tied, count := p.strongestSuspects(now, explained)
		if count < partCrashLimit {
			break
		}
		p.blocks = append(p.blocks, p.newBlock(tied))
		for _, part := range tied {
			for run := range p.suspects[part].crashes {
				explained[run] = true
			}
		}
	}
	p.blockAboveBound(now)
	p.recordChanges(previous)
}

// blockAboveBound blocks the other suspects with partCrashBound crashes, except those
// whose crashes one blocked part explains.
func (p *crashingParts) blockAboveBound(now time.Duration) {
	var blocked []uint64
	for _, block := range p.blocks {
		blocked = append(blocked, block.parts...)
	}
	for _, part := range slices.Sorted(maps.Keys(p.suspects)) {
		suspect := p.suspects[part]
		explains := func(other uint64) bool { return suspect.isExplainedBy(p.suspects[other]) }
		if suspect.isCandidate(now) && p.unexplainedCrashes(suspect, nil) >= partCrashBound && !slices.ContainsFunc(blocked, explains) {
			p.blocks = append(p.blocks, p.newBlock([]uint64{part}))
		}
	}
}

// isCandidate reports whether a part may be blocked for its crashes.
func (s *suspectPart) isCandidate(now time.Duration) bool {
	return len(s.crashes) >= partCrashLimit && now >= s.limitReached+partSettleTime && now < s.blockEnd()
}

// isExplainedBy reports whether requests with the other part were in flight at all crashes
// of the suspect.
func (s *suspectPart) isExplainedBy(other *suspectPart) bool {
	for run := range s.crashes {
		if other.crashes[run] == nil {
			return false
		}
	}
	return true
}

// strongestSuspects returns the suspects with most crashes that are not explained yet, and
// their number. Beside the first, those are returned that the crashes do not tell apart
// from it: that share such a crash or, from partCrashBound on, all of them.
func (p *crashingParts) strongestSuspects(now time.Duration, explained map[TargetRun]bool) ([]uint64, int) {
	var strongest []uint64
	most := 0
	for part, suspect := range p.suspects {
		if !suspect.isCandidate(now) {
			continue
		}
		count := p.unexplainedCrashes(suspect, explained)
		if count > most {
			strongest, most = strongest[:0], count
		}
		if count == most {
			strongest = append(strongest, part)
		}
	}
	if most == 0 {
		return nil, 0
	}
	slices.Sort(strongest)
	first := p.suspects[strongest[0]]
	return slices.DeleteFunc(strongest, func(part uint64) bool {
		other := p.suspects[part]
		if most >= partCrashBound {
			return !first.isExplainedBy(other) || !other.isExplainedBy(first)
		}
		return !first.sharesCrash(other, explained)
	}), most
}

// unexplainedCrashes returns the number of crashes that count against a suspect and are
// not explained yet.
func (p *crashingParts) unexplainedCrashes(s *suspectPart, explained map[TargetRun]bool) int {
	count := 0
	for run, crash := range s.crashes {
		if explained[run] {
			continue
		}
		if _, begun := p.begun[run]; !crash.Waiting || !begun {
			count++
		}
	}
	return count
}

func (s *suspectPart) sharesCrash(other *suspectPart, explained map[TargetRun]bool) bool {
	for run := range s.crashes {
		if !explained[run] && other.crashes[run] != nil {
			return true
		}
	}
	return false
}

func (p *crashingParts) newBlock(parts []uint64) partBlock {
	block := partBlock{parts: parts, until: p.suspects[parts[0]].blockEnd()}
	for i, part := range parts {
		common := p.suspects[part].commonWorkspaces()
		switch {
		case i == 0 || block.workspaces == nil:
			block.workspaces = common
		case common != nil:
			block.workspaces = slices.DeleteFunc(block.workspaces, func(w WorkspaceID) bool { return !slices.Contains(common, w) })
		}
	}
	return block
}

// commonWorkspaces returns the workspaces whose requests with the part were in flight at
// each crash; nil if there are none.
func (s *suspectPart) commonWorkspaces() []WorkspaceID {
	var common []WorkspaceID
	first := true
	for _, crash := range s.crashes {
		if first {
			common, first = slices.Clone(crash.Workspaces), false
			continue
		}
		common = slices.DeleteFunc(common, func(w WorkspaceID) bool { return !slices.Contains(crash.Workspaces, w) })
	}
	if len(common) == 0 {
		return nil
	}
	return common
}

// listDisproved returns the recently disproved crashes, with the time since.
func (p *crashingParts) listDisproved(now time.Duration) map[TargetRun]time.Duration {
	recent := make(map[TargetRun]time.Duration)
	for run, at := range p.disproved {
		if now-at <= suspectReportAge {
			recent[run] = now - at
		}
	}
	return recent
}

// maxPartChanges bounds the changes that are not taken yet.
const maxPartChanges = 64

// recordChanges records the differences between the previous blocks and the current
// ones.
func (p *crashingParts) recordChanges(previous []partBlock) {
	record := func(from, to []partBlock, blocked bool) {
		for i := range from {
			for _, part := range from[i].parts {
				known := slices.ContainsFunc(to, func(b partBlock) bool { return slices.Contains(b.parts, part) })
				if known || len(p.changes) >= maxPartChanges {
					continue
				}
				change := PartBlockChange{Part: part, Blocked: blocked, Tied: len(from[i].parts) - 1, Workspaces: len(from[i].workspaces)}
				if suspect := p.suspects[part]; suspect != nil {
					change.Crashes = len(suspect.crashes)
				}
				p.changes = append(p.changes, change)
			}
		}
	}
	record(p.blocks, previous, true)
	record(previous, p.blocks, false)
}

// report returns the suspects for peers: those with a recent crash, and those at the limit,
// which gates that have just started must learn too. It also returns the parts that
// requests completed at this gate cleared, with the time since.
func (p *crashingParts) report(now time.Duration) (suspects map[uint64][]PartCrash, cleared map[uint64]time.Duration) {
	var reported []uint64
	for part, suspect := range p.suspects {
		if now-suspect.lastCrash <= suspectReportAge || len(suspect.crashes) >= partCrashLimit && !suspect.expired(now) {
			reported = append(reported, part)
		}
	}
	slices.SortFunc(reported, func(a, b uint64) int {
		s, t := p.suspects[a], p.suspects[b]
		return cmp.Or(cmp.Compare(len(t.crashes), len(s.crashes)), cmp.Compare(t.lastCrash, s.lastCrash), cmp.Compare(a, b))
	})
	suspects = make(map[uint64][]PartCrash)
	for _, part := range reported[:min(len(reported), maxReportedParts)] {
		for _, crash := range p.suspects[part].newestCrashes(maxReportedCrashes) {
			suspects[part] = append(suspects[part], PartCrash{Run: crash.Run, At: now - crash.At, Workspaces: slices.Clone(crash.Workspaces), Waiting: crash.Waiting})
		}
	}
	maps.DeleteFunc(p.cleared, func(_ uint64, at time.Duration) bool { return now-at > suspectReportAge })
	cleared = make(map[uint64]time.Duration)
	for part, at := range p.cleared {
		if len(cleared) < maxReportedParts {
			cleared[part] = now - at
		}
	}
	return suspects, cleared
}

// merge applies the report of a peer. A completion at this gate that is newer than a
// crash is reported back.
func (p *crashingParts) merge(now time.Duration, suspects map[uint64][]PartCrash, cleared map[uint64]time.Duration) {
	for part, age := range cleared {
		p.clear(part, now-age)
	}
	for part, crashes := range suspects {
		for _, crash := range crashes {
			crash.At = now - crash.At
			if p.completedSince(part, crash.At) {
				p.reportCompleted(part)
				continue
			}
			p.addCrash(part, crash)
		}
	}
}
