package quarantine

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
	"time"
)

// partGroup is the evidence against some parts of prompts that were in flight at the same crashes, in
// the same way. The parts of a long prompt are one group until a crash or a completion tells them
// apart, so that what is kept and compared grows with the prompts that were lost and not with
// their parts.
type partGroup struct {
	crashes   []PartCrash // of different runs
	local     bool        // a request with the parts was lost at this gate
	lastCrash time.Duration
	// limitReached is when the number of crashes reached PartCrashLimit.
	limitReached time.Duration
	repeats      int // crashes after the end of a block
	// members holds the parts, and some that have left the group; live is the number of the former.
	members []uint64
	live    int
	lowest  uint64 // of all that ever were members

	strength evidenceStrength
	element  *list.Element // in groupTable.groups
}

// evidenceStrength orders groups for eviction: the weakest go first.
type evidenceStrength int

const (
	noEvidence     evidenceStrength = iota // its crashes were disproved
	singleIndirect                         // one crash, and the response had lasted
	singleDirect
	twoCrashes
	threeCrashes
	atLimit // PartCrashLimit crashes or more
	evidenceStrengths
)

func (g *partGroup) currentStrength() evidenceStrength {
	switch len(g.crashes) {
	case 0:
		return noEvidence
	case 1:
		if g.crashes[0].Phase == PhaseLasting {
			return singleIndirect
		}
		return singleDirect
	case 2:
		return twoCrashes
	case 3:
		return threeCrashes
	default:
		return atLimit
	}
}

// crash returns the crash of a run, nil if the group has none.
func (g *partGroup) crash(run TargetRun) *PartCrash {
	for i := range g.crashes {
		if g.crashes[i].Run == run {
			return &g.crashes[i]
		}
	}
	return nil
}

// derive returns a group without members that has the evidence of g; nil: none.
func (g *partGroup) derive() *partGroup {
	if g == nil {
		return &partGroup{lastCrash: never}
	}
	return &partGroup{crashes: slices.Clone(g.crashes), local: g.local, lastCrash: g.lastCrash, limitReached: g.limitReached, repeats: g.repeats}
}

// withCrash returns the group of parts of g, nil: none, that were in flight at a crash. It is g
// itself if that says nothing new.
func (g *partGroup) withCrash(crash *PartCrash, local bool) *partGroup {
	if g != nil {
		if known := g.crash(crash.Run); known != nil {
			return g.withFurtherLoss(known, crash, local)
		}
	}
	further := g.derive()
	further.local = further.local || local
	if len(further.crashes) >= PartCrashLimit && crash.At > further.blockEnd() {
		further.repeats++
	}
	further.lastCrash = max(further.lastCrash, crash.At)
	if len(further.crashes) >= maxPartCrashes {
		further.dropOldestCrash()
	}
	further.crashes = append(further.crashes, *crash)
	if len(further.crashes) == PartCrashLimit {
		further.limitReached = crash.At
	}
	return further
}

// withFurtherLoss returns the group of parts of g of which one more request was lost in a known crash.
func (g *partGroup) withFurtherLoss(known, crash *PartCrash, local bool) *partGroup {
	phase := min(known.Phase, crash.Phase)
	workspaces := known.Workspaces
	for _, workspace := range crash.Workspaces {
		if len(workspaces) < maxCrashWorkspaces && !slices.Contains(workspaces, workspace) {
			workspaces = append(slices.Clone(workspaces), workspace)
		}
	}
	if phase == known.Phase && len(workspaces) == len(known.Workspaces) && (g.local || !local) {
		return g
	}
	further := g.derive()
	further.local = further.local || local
	changed := further.crash(crash.Run)
	changed.Phase, changed.Workspaces = phase, workspaces
	return further
}

// withoutCrashes returns the group of parts of g without the crashes until a time, nil if none is
// left.
func (g *partGroup) withoutCrashes(until time.Duration) *partGroup {
	kept := 0
	for i := range g.crashes {
		if g.crashes[i].At > until {
			kept++
		}
	}
	switch kept {
	case 0:
		return nil
	case len(g.crashes):
		return g
	}
	rest := g.derive()
	rest.crashes = slices.DeleteFunc(rest.crashes, func(crash PartCrash) bool { return crash.At <= until })
	return rest
}

// outlasted returns the group of parts of g of which a response had lasted at a time: the crashes
// until then are no direct evidence.
func (g *partGroup) outlasted(until time.Duration) *partGroup {
	isDirect := func(crash PartCrash) bool { return crash.At <= until && crash.Phase != PhaseLasting }
	if !slices.ContainsFunc(g.crashes, isDirect) {
		return g
	}
	rest := g.derive()
	for i := range rest.crashes {
		if isDirect(rest.crashes[i]) {
			rest.crashes[i].Phase = PhaseLasting
		}
	}
	return rest
}

func (g *partGroup) dropOldestCrash() {
	oldest := 0
	for i := range g.crashes {
		if g.crashes[i].At < g.crashes[oldest].At {
			oldest = i
		}
	}
	g.crashes = slices.Delete(g.crashes, oldest, oldest+1)
}

// newestCrashes returns the newest crashes, at most count.
func (g *partGroup) newestCrashes(count int) []PartCrash {
	crashes := slices.SortedFunc(slices.Values(g.crashes), func(a, b PartCrash) int {
		return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Run, b.Run))
	})
	return crashes[:min(len(crashes), count)]
}

func (g *partGroup) blockEnd() time.Duration {
	return g.lastCrash + PartBlockTime<<min(g.repeats, maxPartBlockRepeat)
}

// expired reports whether the evidence can be forgotten.
func (g *partGroup) expired(now time.Duration) bool {
	if len(g.crashes) < PartCrashLimit {
		return now-g.lastCrash > SuspectLifetime
	}
	return now > g.blockEnd()+PartBlockTime
}

// groupTable holds the groups of the suspected parts. No operation searches all parts, and each part
// that is added costs the same, however many there are.
type groupTable struct {
	maxParts int
	groupOf  map[uint64]*partGroup
	groups   [evidenceStrengths]*list.List // of *partGroup, by strength, oldest first
}

func newGroupTable(maxParts int) *groupTable {
	t := &groupTable{maxParts: maxParts, groupOf: make(map[uint64]*partGroup)}
	for i := range t.groups {
		t.groups[i] = list.New()
	}
	return t
}

// group returns the group of a part, nil if it is not suspected.
func (t *groupTable) group(part uint64) *partGroup {
	g := t.groupOf[part]
	if g == nil || g.strength == noEvidence {
		return nil
	}
	return g
}

// size returns the number of suspected parts.
func (t *groupTable) size() int {
	size := len(t.groupOf)
	for g := range t.withStrength(noEvidence) {
		size -= g.live
	}
	return size
}

// withStrength returns the groups of a strength, oldest first.
func (t *groupTable) withStrength(strength evidenceStrength) func(yield func(*partGroup) bool) {
	return func(yield func(*partGroup) bool) {
		for element := t.groups[strength].Front(); element != nil; {
			next := element.Next()
			if g, ok := element.Value.(*partGroup); !ok || !yield(g) {
				return
			}
			element = next
		}
	}
}

// newestFirst is withStrength, newest first.
func (t *groupTable) newestFirst(strength evidenceStrength) func(yield func(*partGroup) bool) {
	return func(yield func(*partGroup) bool) {
		for element := t.groups[strength].Back(); element != nil; element = element.Prev() {
			if g, ok := element.Value.(*partGroup); !ok || !yield(g) {
				return
			}
		}
	}
}

// move makes a part a member of a group instead of the one that it is in; nil: of none.
func (t *groupTable) move(part uint64, to *partGroup) {
	from := t.groupOf[part]
	if from == to {
		return
	}
	if from != nil {
		delete(t.groupOf, part)
		t.leave(from)
	}
	if to == nil {
		return
	}
	for len(t.groupOf) >= t.maxParts && t.evictPart() {
	}
	if to.live == 0 {
		to.members, to.lowest = to.members[:0], part
	}
	to.members, to.live, to.lowest = append(to.members, part), to.live+1, min(to.lowest, part)
	t.groupOf[part] = to
	t.place(to)
}

// leave records that one member of a group has left it.
func (t *groupTable) leave(g *partGroup) {
	g.live--
	if g.live == 0 {
		t.unlink(g)
		return
	}
	if len(g.members) > 2*g.live+minCompacted {
		g.members = t.membersOf(g)
	}
}

// minCompacted is the number of former members that a group may hold in any case.
const minCompacted = 32

// membersOf returns the parts that are in a group.
func (t *groupTable) membersOf(g *partGroup) []uint64 {
	members := make([]uint64, 0, g.live)
	for _, part := range g.members {
		if t.groupOf[part] == g {
			members = append(members, part)
		}
	}
	return members
}

// appendMembers appends parts that are in a group, as long as there are fewer than limit.
func (t *groupTable) appendMembers(parts []uint64, g *partGroup, limit int) []uint64 {
	for i := 0; i < len(g.members) && len(parts) < limit; i++ {
		if part := g.members[i]; t.groupOf[part] == g {
			parts = append(parts, part)
		}
	}
	return parts
}

// place lists a group among those of its strength.
func (t *groupTable) place(g *partGroup) {
	strength := g.currentStrength()
	if g.element != nil && g.strength == strength {
		return
	}
	t.unlink(g)
	g.strength = strength
	g.element = t.groups[strength].PushBack(g)
}

func (t *groupTable) unlink(g *partGroup) {
	if g.element != nil {
		t.groups[g.strength].Remove(g.element)
		g.element = nil
	}
}

// evictPart removes one part, of the weakest evidence and of that the oldest. It reports whether
// there was one.
func (t *groupTable) evictPart() bool {
	for strength := range evidenceStrengths {
		front := t.groups[strength].Front()
		if front == nil {
			continue
		}
		g, _ := front.Value.(*partGroup)
		for len(g.members) > 0 {
			last := len(g.members) - 1
			part := g.members[last]
			g.members = g.members[:last]
			if t.groupOf[part] == g {
				delete(t.groupOf, part)
				t.leave(g)
				return true
			}
		}
		t.unlink(g)
	}
	return false
}

// remove removes a group with its members.
func (t *groupTable) remove(g *partGroup) {
	for _, part := range t.membersOf(g) {
		delete(t.groupOf, part)
	}
	g.members, g.live = nil, 0
	t.unlink(g)
	if len(t.groupOf) == 0 {
		t.groupOf = make(map[uint64]*partGroup) // a map does not shrink
	}
}

// purge removes groups that have expired or have no evidence left, about maxParts parts of them at
// a time.
func (t *groupTable) purge(now time.Duration, maxParts int) {
	for strength := range atLimit {
		for g := range t.withStrength(strength) {
			if maxParts <= 0 || g.strength != noEvidence && !g.expired(now) {
				break
			}
			maxParts -= g.live
			t.remove(g)
		}
	}
	for g := range t.withStrength(atLimit) { // blocks last for different times
		if g.expired(now) {
			t.remove(g)
		}
	}
}

// dropRun removes the crash of a run until a time from all groups, and calls dropped for each of
// these.
func (t *groupTable) dropRun(run TargetRun, until time.Duration, dropped func(*partGroup)) {
	for strength := singleIndirect; strength < evidenceStrengths; strength++ {
		var affected []*partGroup
		for g := range t.withStrength(strength) {
			if crash := g.crash(run); crash != nil && crash.At <= until {
				affected = append(affected, g)
			}
		}
		for _, g := range affected {
			g.crashes = slices.DeleteFunc(g.crashes, func(crash PartCrash) bool { return crash.Run == run })
			t.place(g)
			dropped(g)
		}
	}
}

// boundedRuns holds a time for each of the latest maxCrashedRuns runs of targets that were added.
type boundedRuns struct {
	times map[TargetRun]time.Duration
	order []TargetRun // as added; may hold removed ones
}

func newBoundedRuns() *boundedRuns { return &boundedRuns{times: make(map[TargetRun]time.Duration)} }

func (r *boundedRuns) at(run TargetRun) (time.Duration, bool) {
	at, ok := r.times[run]
	return at, ok
}

func (r *boundedRuns) set(run TargetRun, at time.Duration) {
	if _, known := r.times[run]; !known {
		r.order = append(r.order, run)
	}
	r.times[run] = at
	for len(r.order) > maxCrashedRuns {
		delete(r.times, r.order[0])
		r.order = r.order[1:]
	}
}

func (r *boundedRuns) remove(run TargetRun) {
	if _, known := r.times[run]; known {
		delete(r.times, run)
		r.order = slices.DeleteFunc(r.order, func(other TargetRun) bool { return other == run })
	}
}

// recent returns the runs whose time is not longer ago than age, with the time since.
func (r *boundedRuns) recent(now, age time.Duration) map[TargetRun]time.Duration {
	recent := maps.Clone(r.times)
	maps.DeleteFunc(recent, func(_ TargetRun, at time.Duration) bool { return now-at > age })
	for run, at := range recent {
		recent[run] = now - at
	}
	return recent
}
