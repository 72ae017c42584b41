package quarantine

import (
	"cmp"
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
	groups []*partGroup
	parts  int      // in the groups
	named  []uint64 // some of the parts, for logs
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
	return block.named[0], block.until, true
}

// RecordAdmitted records that a request with the parts was admitted.
func (t *Tracker) RecordAdmitted(parts []prompt.Part) { t.parts.recordAdmitted(parts) }

// blocked returns the block that applies to a request, and nil if none does.
func (p *crashingParts) blocked(now time.Duration, parts []prompt.Part, workspace WorkspaceID) *partBlock {
	p.refreshBlocks(now)
	if len(p.blocks) == 0 {
		return nil
	}
	present := p.countMembers(parts)
	for i := range p.blocks {
		block := &p.blocks[i]
		if block.isFor(workspace) && block.allPresent(present) {
			return block
		}
	}
	return nil
}

// countMembers returns how many different parts of a request are members of each group that may be
// blocked.
func (p *crashingParts) countMembers(parts []prompt.Part) map[*partGroup]int {
	var counts map[*partGroup]int
	var seen map[uint64]bool
	for i := range parts {
		g := p.suspects.group(parts[i].Hash)
		if !g.mayBeBlocked() || seen[parts[i].Hash] {
			continue
		}
		if counts == nil {
			counts, seen = make(map[*partGroup]int), make(map[uint64]bool)
		}
		seen[parts[i].Hash] = true
		counts[g]++
	}
	return counts
}

// allPresent reports whether a request has all parts of the block, by the number of its members of
// each group.
func (b *partBlock) allPresent(members map[*partGroup]int) bool {
	count := 0
	for _, g := range b.groups {
		count += members[g]
	}
	return count == b.parts
}

func (b *partBlock) isFor(workspace WorkspaceID) bool {
	return b.workspaces == nil || slices.Contains(b.workspaces, workspace)
}

// refreshBlocks computes the blocks if they may have changed.
func (p *crashingParts) refreshBlocks(now time.Duration) {
	if p.suspects.groups[atLimit].Len() == 0 && len(p.blocks) == 0 {
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
	if len(p.blocks) == 0 {
		return explained
	}
	present := p.countMembers(parts)
	for i := range p.blocks {
		if !p.blocks[i].allPresent(present) {
			explain(p.blocks[i].groups, explained)
		}
	}
	return explained
}

// explain adds the crashes of groups to those that are explained.
func explain(groups []*partGroup, explained map[TargetRun]bool) {
	for _, g := range groups {
		for i := range g.crashes {
			explained[g.crashes[i].Run] = true
		}
	}
}

// computeBlocks finds the fewest parts that explain the crashes: the part with most
// crashes first, then the one with most of those that are left.
func (p *crashingParts) computeBlocks(now time.Duration) {
	p.suspects.purge(now, maxPartsPerStep)
	candidates := p.candidates(now)
	previous := p.blocks
	p.blocks, p.changed, p.computedAt = nil, false, now
	explained := make(map[TargetRun]bool)
	for {
		tied := p.nextBlocked(candidates, explained)
		if len(tied) == 0 {
			break
		}
		p.blocks = append(p.blocks, p.newBlock(tied))
		explain(tied, explained)
	}
	p.blockAboveBound(candidates)
	p.recordChanges(previous)
}

// candidates returns the groups that may be blocked for their crashes, in the order of their lowest
// parts.
func (p *crashingParts) candidates(now time.Duration) []*partGroup {
	var candidates []*partGroup
	for g := range p.suspects.withStrength(atLimit) {
		if now >= g.limitReached+PartSettleTime && now < g.blockEnd() {
			candidates = append(candidates, g)
		}
	}
	slices.SortFunc(candidates, func(a, b *partGroup) int { return cmp.Compare(a.lowest, b.lowest) })
	return candidates
}

// nextBlocked returns the groups that best explain the crashes that are not explained yet,
// and nil if none has enough of them. The one whose responses began shortly before the crashes
// gives way to one that was in flight at all of these crashes and at further ones.
func (p *crashingParts) nextBlocked(candidates []*partGroup, explained map[TargetRun]bool) []*partGroup {
	direct, count := p.strongestSuspects(candidates, explained)
	if count < PartCrashLimit {
		return p.strongestInFlight(candidates, explained, nil)
	}
	if better := p.strongestInFlight(candidates, explained, direct[0]); better != nil {
		return better
	}
	return direct
}

// strongestInFlight returns the groups, among those with at least PartCrashBound crashes, that
// were in flight at most of the crashes that are not explained yet, whatever the phase of their
// responses. Several are returned if they have the same crashes. If other is set, they must also
// explain all that is direct evidence against it and MinFurtherCrashes more.
func (p *crashingParts) strongestInFlight(candidates []*partGroup, explained map[TargetRun]bool, other *partGroup) []*partGroup {
	required := MinFurtherCrashes
	if other != nil {
		required += p.directCrashes(other, explained)
	}
	var strongest []*partGroup
	for _, g := range candidates {
		if len(g.crashes) < PartCrashBound || other != nil && !p.isDirectlyExplainedBy(other, g) {
			continue
		}
		count := g.countExcept(explained)
		if count < required || float64(count) < minCrashShare*float64(p.crashesInPeriodOf(g, explained)) {
			continue
		}
		if count > required {
			strongest, required = strongest[:0], count
		}
		strongest = append(strongest, g)
	}
	if len(strongest) == 0 {
		return nil
	}
	first := strongest[0]
	return slices.DeleteFunc(strongest, func(g *partGroup) bool { return !first.isExplainedBy(g) || !g.isExplainedBy(first) })
}

// crashesInPeriodOf returns the number of crashes that are not explained, from the first to the
// last one of the group.
func (p *crashingParts) crashesInPeriodOf(g *partGroup, explained map[TargetRun]bool) int {
	first, last := time.Duration(math.MaxInt64), never
	for i := range g.crashes {
		if crash := &g.crashes[i]; !explained[crash.Run] {
			first, last = min(first, crash.At), max(last, crash.At)
		}
	}
	count := 0
	for run, at := range p.crashed.times {
		if !explained[run] && at >= first && at <= last {
			count++
		}
	}
	return count
}

// countExcept returns the number of the group's crashes that are not explained.
func (g *partGroup) countExcept(explained map[TargetRun]bool) int {
	count := 0
	for i := range g.crashes {
		if !explained[g.crashes[i].Run] {
			count++
		}
	}
	return count
}

// blockAboveBound blocks the other groups with PartCrashBound crashes, except those
// whose crashes one blocked group explains.
func (p *crashingParts) blockAboveBound(candidates []*partGroup) {
	var blocked []*partGroup
	for _, block := range p.blocks {
		blocked = append(blocked, block.groups...)
	}
	for _, g := range candidates {
		explains := func(other *partGroup) bool { return p.isDirectlyExplainedBy(g, other) }
		if p.directCrashes(g, nil) >= PartCrashBound && !slices.ContainsFunc(blocked, explains) {
			p.blocks = append(p.blocks, p.newBlock([]*partGroup{g}))
		}
	}
}

// isExplainedBy reports whether requests with the other parts were in flight at all crashes
// of the group.
func (g *partGroup) isExplainedBy(other *partGroup) bool {
	for i := range g.crashes {
		if other.crash(g.crashes[i].Run) == nil {
			return false
		}
	}
	return true
}

// strongestSuspects returns the groups with most crashes that are not explained yet, and
// their number. Beside the first, those are returned that the crashes do not tell apart
// from it: that share such a crash or, from PartCrashBound on, all of them.
func (p *crashingParts) strongestSuspects(candidates []*partGroup, explained map[TargetRun]bool) ([]*partGroup, int) {
	var strongest []*partGroup
	most := 0
	for _, g := range candidates {
		count := p.directCrashes(g, explained)
		if count > most {
			strongest, most = strongest[:0], count
		}
		if count == most {
			strongest = append(strongest, g)
		}
	}
	if most == 0 {
		return nil, 0
	}
	first := strongest[0]
	return slices.DeleteFunc(strongest, func(g *partGroup) bool {
		if most >= PartCrashBound {
			return !p.isDirectlyExplainedBy(first, g) || !p.isDirectlyExplainedBy(g, first)
		}
		return !first.sharesCrash(g, explained)
	}), most
}

// directCrashes returns the number of crashes that are direct evidence against a group and
// are not explained yet.
func (p *crashingParts) directCrashes(g *partGroup, explained map[TargetRun]bool) int {
	count := 0
	for i := range g.crashes {
		if !explained[g.crashes[i].Run] && p.isDirect(&g.crashes[i]) {
			count++
		}
	}
	return count
}

// isDirect reports whether a crash of a group is direct evidence: its response began
// shortly before, or waited while no other one had begun.
func (p *crashingParts) isDirect(crash *PartCrash) bool {
	if crash.Phase == PhaseWaiting {
		_, begun := p.begun.at(crash.Run)
		return !begun
	}
	return crash.Phase == PhaseBegun
}

// isDirectlyExplainedBy reports whether requests with the other parts were in flight at all
// crashes that are direct evidence against the group.
func (p *crashingParts) isDirectlyExplainedBy(g, other *partGroup) bool {
	for i := range g.crashes {
		if p.isDirect(&g.crashes[i]) && other.crash(g.crashes[i].Run) == nil {
			return false
		}
	}
	return true
}

func (g *partGroup) sharesCrash(other *partGroup, explained map[TargetRun]bool) bool {
	for i := range g.crashes {
		if run := g.crashes[i].Run; !explained[run] && other.crash(run) != nil {
			return true
		}
	}
	return false
}

func (p *crashingParts) newBlock(groups []*partGroup) partBlock {
	block := partBlock{groups: groups, until: groups[0].blockEnd()}
	for i, g := range groups {
		block.parts += g.live
		block.named = p.suspects.appendMembers(block.named, g, maxNamedParts)
		common := g.commonWorkspaces()
		switch {
		case i == 0 || block.workspaces == nil:
			block.workspaces = common
		case common != nil:
			block.workspaces = slices.DeleteFunc(block.workspaces, func(w WorkspaceID) bool { return !slices.Contains(common, w) })
		}
	}
	return block
}

// commonWorkspaces returns the workspaces whose requests with the parts were in flight at
// each crash; nil if there are none.
func (g *partGroup) commonWorkspaces() []WorkspaceID {
	common := slices.Clone(g.crashes[0].Workspaces)
	for i := range g.crashes[1:] {
		common = slices.DeleteFunc(common, func(w WorkspaceID) bool { return !slices.Contains(g.crashes[i+1].Workspaces, w) })
	}
	if len(common) == 0 {
		return nil
	}
	return common
}

const (
	// maxPartChanges bounds the changes that are not taken yet.
	maxPartChanges = 64
	// maxNamedParts bounds the parts of a block that are named in changes.
	maxNamedParts = 8
)

// recordChanges records the differences between the previous blocks and the current
// ones.
func (p *crashingParts) recordChanges(previous []partBlock) {
	isSame := func(a, b partBlock) bool { return a.parts == b.parts && slices.Equal(a.groups, b.groups) }
	if slices.EqualFunc(previous, p.blocks, isSame) {
		return
	}
	record := func(from, to []partBlock, blocked bool) {
		for i := range from {
			for _, part := range from[i].named {
				known := slices.ContainsFunc(to, func(b partBlock) bool { return slices.Contains(b.named, part) })
				if known || len(p.changes) >= maxPartChanges {
					continue
				}
				p.changes = append(p.changes, PartBlockChange{Part: part, Blocked: blocked, Crashes: len(from[i].groups[0].crashes), Tied: from[i].parts - 1, Workspaces: len(from[i].workspaces)})
			}
		}
	}
	record(p.blocks, previous, true)
	record(previous, p.blocks, false)
}
