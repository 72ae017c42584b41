package quarantine

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/prompt"
)

// blockRefreshInterval is how often the blocked parts are computed again without a new
// crash or completion.
const blockRefreshInterval = 100 * time.Millisecond

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

// BlockedPart returns the part for which a request is refused and when the block ends, and false if
// none of its parts is blocked for the workspace.
func (t *Tracker) BlockedPart(now time.Duration, parts []prompt.Part, workspace WorkspaceID) (part uint64, until time.Duration, blocked bool) {
	block := t.parts.blocked(now, parts, workspace)
	if block == nil {
		return 0, 0, false
	}
	return block.parts[0], block.until, true
}

// BlockedParts returns the crashes of the parts that are blocked, with the time since.
func (t *Tracker) BlockedParts(now time.Duration) map[uint64][]PartCrash {
	return t.parts.blockedCrashes(now)
}

// RestoreParts records the crashes of parts that BlockedParts returned before a restart.
func (t *Tracker) RestoreParts(now time.Duration, crashes map[uint64][]PartCrash) {
	t.parts.merge(now, crashes, nil, nil)
}

// RecordAdmitted records that a request with the parts was admitted.
func (t *Tracker) RecordAdmitted(parts []prompt.Part) { t.parts.recordAdmitted(parts) }

// blocked returns the block that applies to a request, and nil if none does.
func (p *crashingParts) blocked(now time.Duration, parts []prompt.Part, workspace WorkspaceID) *partBlock {
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

// crashedWithout returns the runs of targets whose crashes are explained by blocked parts
// that a request does not have.
func (p *crashingParts) crashedWithout(now time.Duration, parts []prompt.Part) map[TargetRun]bool {
	p.refreshBlocks(now)
	explained := make(map[TargetRun]bool)
	for i := range p.blocks {
		if p.blocks[i].hasParts(parts) {
			continue
		}
		for _, part := range p.blocks[i].parts {
			if suspect := p.suspects[part]; suspect != nil {
				for run := range suspect.crashes {
					explained[run] = true
				}
			}
		}
	}
	return explained
}

func (b *partBlock) appliesTo(parts []prompt.Part, workspace WorkspaceID) bool {
	if b.workspaces != nil && !slices.Contains(b.workspaces, workspace) {
		return false
	}
	return b.hasParts(parts)
}

// hasParts reports whether a request has all parts of the block.
func (b *partBlock) hasParts(parts []prompt.Part) bool {
	return !slices.ContainsFunc(b.parts, func(blocked uint64) bool {
		return !slices.ContainsFunc(parts, func(part prompt.Part) bool { return part.Hash == blocked })
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
		tied := p.nextBlocked(now, explained)
		if len(tied) == 0 {
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

// nextBlocked returns the parts that best explain the crashes that are not explained yet,
// and nil if none has enough of them. The part whose responses began shortly before the crashes
// gives way to one that was in flight at all of these crashes and at further ones.
func (p *crashingParts) nextBlocked(now time.Duration, explained map[TargetRun]bool) []uint64 {
	direct, count := p.strongestSuspects(now, explained)
	if count < PartCrashLimit {
		return p.strongestInFlight(now, explained, nil)
	}
	if better := p.strongestInFlight(now, explained, p.suspects[direct[0]]); better != nil {
		return better
	}
	return direct
}

// strongestInFlight returns the suspects, among those with at least PartCrashBound crashes, that
// were in flight at most of the crashes that are not explained yet, whatever the phase of their
// responses. Several are returned if they have the same crashes. If other is set, they must also
// explain all that is direct evidence against it and MinFurtherCrashes more.
func (p *crashingParts) strongestInFlight(now time.Duration, explained map[TargetRun]bool, other *suspectPart) []uint64 {
	required := MinFurtherCrashes
	if other != nil {
		required += p.directCrashes(other, explained)
	}
	var strongest []uint64
	for part, suspect := range p.suspects {
		if len(suspect.crashes) < PartCrashBound || !suspect.isCandidate(now) || other != nil && !p.isDirectlyExplainedBy(other, suspect) {
			continue
		}
		count := suspect.countExcept(explained)
		if count < required || float64(count) < minCrashShare*float64(p.crashesInPeriodOf(suspect, explained)) {
			continue
		}
		if count > required {
			strongest, required = strongest[:0], count
		}
		strongest = append(strongest, part)
	}
	if len(strongest) == 0 {
		return nil
	}
	slices.Sort(strongest)
	first := p.suspects[strongest[0]]
	return slices.DeleteFunc(strongest, func(part uint64) bool {
		return !first.isExplainedBy(p.suspects[part]) || !p.suspects[part].isExplainedBy(first)
	})
}

// crashesInPeriodOf returns the number of crashes that are not explained, from the first to the
// last one of the suspect.
func (p *crashingParts) crashesInPeriodOf(s *suspectPart, explained map[TargetRun]bool) int {
	first, last := time.Duration(math.MaxInt64), never
	for run, crash := range s.crashes {
		if !explained[run] {
			first, last = min(first, crash.At), max(last, crash.At)
		}
	}
	count := 0
	for run, at := range p.crashed {
		if !explained[run] && at >= first && at <= last {
			count++
		}
	}
	return count
}

// countExcept returns the number of the suspect's crashes that are not explained.
func (s *suspectPart) countExcept(explained map[TargetRun]bool) int {
	count := 0
	for run := range s.crashes {
		if !explained[run] {
			count++
		}
	}
	return count
}

// blockAboveBound blocks the other suspects with PartCrashBound crashes, except those
// whose crashes one blocked part explains.
func (p *crashingParts) blockAboveBound(now time.Duration) {
	var blocked []uint64
	for _, block := range p.blocks {
		blocked = append(blocked, block.parts...)
	}
	for _, part := range slices.Sorted(maps.Keys(p.suspects)) {
		suspect := p.suspects[part]
		explains := func(other uint64) bool { return p.isDirectlyExplainedBy(suspect, p.suspects[other]) }
		if suspect.isCandidate(now) && p.directCrashes(suspect, nil) >= PartCrashBound && !slices.ContainsFunc(blocked, explains) {
			p.blocks = append(p.blocks, p.newBlock([]uint64{part}))
		}
	}
}

// isCandidate reports whether a part may be blocked for its crashes.
func (s *suspectPart) isCandidate(now time.Duration) bool {
	return len(s.crashes) >= PartCrashLimit && now >= s.limitReached+PartSettleTime && now < s.blockEnd()
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
// from it: that share such a crash or, from PartCrashBound on, all of them.
func (p *crashingParts) strongestSuspects(now time.Duration, explained map[TargetRun]bool) ([]uint64, int) {
	var strongest []uint64
	most := 0
	for part, suspect := range p.suspects {
		if !suspect.isCandidate(now) {
			continue
		}
		count := p.directCrashes(suspect, explained)
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
		if most >= PartCrashBound {
			return !p.isDirectlyExplainedBy(first, other) || !p.isDirectlyExplainedBy(other, first)
		}
		return !first.sharesCrash(other, explained)
	}), most
}

// directCrashes returns the number of crashes that are direct evidence against a suspect and
// are not explained yet.
func (p *crashingParts) directCrashes(s *suspectPart, explained map[TargetRun]bool) int {
	count := 0
	for run := range s.crashes {
		if !explained[run] && p.isDirect(s, run) {
			count++
		}
	}
	return count
}

// isDirect reports whether a crash is direct evidence against a suspect: its response began
// shortly before, or waited while no other one had begun.
func (p *crashingParts) isDirect(s *suspectPart, run TargetRun) bool {
	_, begun := p.begun[run]
	phase := s.crashes[run].Phase
	return phase == PhaseBegun || phase == PhaseWaiting && !begun
}

// isDirectlyExplainedBy reports whether requests with the other part were in flight at all
// crashes that are direct evidence against the suspect.
func (p *crashingParts) isDirectlyExplainedBy(s, other *suspectPart) bool {
	for run := range s.crashes {
		if p.isDirect(s, run) && other.crashes[run] == nil {
			return false
		}
	}
	return true
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
