package quarantine

import (
	"maps"
	"math/big"
	"slices"
	"time"
)

const (
	// maxReportedParts bounds the parts in a report to peers. The parts of a prompt of 1,300 take seven
	// reports then, 1.4 s.
	maxReportedParts = 256
	// strengthReportShare is the share of the room in a report that the parts of a strength may take
	// from those of weaker ones.
	strengthReportShare = 0.75
	// indirectReportAge is how long a suspect with one crash and no direct evidence is reported
	// after it.
	indirectReportAge = 2 * time.Second
	// maxReportedCrashes bounds the crashes reported for a part.
	maxReportedCrashes = 8
)

// Report is the evidence that a gate sends to its peers.
type Report struct {
	// Suspects holds, by request, the runs of targets that crashed while they ran it, with
	// the time since.
	Suspects map[Fingerprint]map[TargetRun]time.Duration
	// Crashes holds the recent crashes of which the gate has evidence, with the time since.
	Crashes map[TargetRun]time.Duration
	// SuspectParts holds the crashes of the parts of prompts that the gate suspects, ClearedParts
	// the time since a request with a suspected part completed at it, and OutlastedParts the
	// time since a response with one had lasted longer than most crashes take.
	// DisprovedCrashes holds the time since targets responded after their presumed crash.
	DisprovedCrashes map[TargetRun]time.Duration
	SuspectParts     map[uint64][]PartCrash
	ClearedParts     map[uint64]time.Duration
	OutlastedParts   map[uint64]time.Duration
}

// Report returns the evidence of this gate.
func (t *Tracker) Report(now time.Duration) Report {
	t.SettleUnframed(now)
	t.parts.suspects.purge(now, maxPartsPerStep)
	return Report{
		Crashes: t.listConfirmed(now), SuspectParts: t.parts.report(now), DisprovedCrashes: t.parts.disproved.recent(now, suspectReportAge),
		ClearedParts: t.parts.cleared.report(now), OutlastedParts: t.parts.outlasted.report(now), Suspects: t.requests.report(now),
	}
}

// Merge applies the report of a peer.
func (t *Tracker) Merge(now time.Duration, report Report) {
	for run, age := range report.DisprovedCrashes {
		t.disprove(now-age, run)
	}
	for f, suspect := range report.Suspects {
		t.mergeSuspect(now, f, suspect)
	}
	for run, age := range report.Crashes {
		t.mergeConfirmed(now, run, age)
	}
	t.parts.clearReported(now, report.ClearedParts, report.OutlastedParts)
	t.parts.merge(now, report.SuspectParts, false)
	t.parts.work()
}

// oldSuspectRounds is the number of reports over which each older suspect is named once: 2.6 s
// at one report each 200 ms. It is a prime, so that a peer that gets only every second or
// third report learns all of them too.
const oldSuspectRounds = 13

// OmitOldSuspects removes the requests and parts without a crash in the last
// suspectReportAge from the report, except those whose turn it is in a round. Each of them
// has its turn once in oldSuspectRounds rounds.
func (r *Report) OmitOldSuspects(round uint64) {
	hasTurn := func(hash uint64) bool { return hash%oldSuspectRounds == round%oldSuspectRounds }
	maps.DeleteFunc(r.Suspects, func(f Fingerprint, ages map[TargetRun]time.Duration) bool {
		for _, age := range ages {
			if age <= suspectReportAge {
				return false
			}
		}
		return !hasTurn(uint64(f))
	})
	maps.DeleteFunc(r.SuspectParts, func(part uint64, crashes []PartCrash) bool {
		return !hasTurn(part) && !slices.ContainsFunc(crashes, func(crash PartCrash) bool { return crash.At <= suspectReportAge })
	})
}

// report returns the suspects for peers: those with a recent crash, and those at the limit, which
// gates that have just started must learn too. Those with more crashes come first, but leave some
// room to the others. Suspects of a strength for which there is no room take turns.
func (p *crashingParts) report(now time.Duration) map[uint64][]PartCrash {
	p.reportRound++
	reported := make(map[uint64][]PartCrash)
	for strength := atLimit; strength > noEvidence; strength-- {
		room := maxReportedParts - len(reported)
		if strength > singleIndirect {
			room = int(strengthReportShare * float64(room))
		}
		p.reportStrength(now, strength, room, reported)
	}
	return reported
}

// reportStrength adds at most room parts of a strength.
func (p *crashingParts) reportStrength(now time.Duration, strength evidenceStrength, room int, reported map[uint64][]PartCrash) {
	var groups []*partGroup
	parts := 0
	for g := range p.suspects.withStrength(strength) {
		if !g.expired(now) && (strength == atLimit || now-g.lastCrash <= g.reportAge()) {
			groups = append(groups, g)
			parts += g.live
		}
	}
	first, end := turn(parts, room, p.reportRound)
	position := 0
	for _, g := range groups {
		if position < end && position+g.live > first {
			crashes := g.agedCrashes(now)
			members := p.suspects.membersOf(g)
			for _, part := range members[max(first-position, 0):min(end-position, len(members))] {
				reported[part] = crashes
			}
		}
		position += g.live
	}
}

// turn returns which of count items are due in a round, if a round has room for a limited number. The
// number of rounds until all had their turn is a prime, so that a peer that gets only every second
// or third report learns all of them too; it differs from oldSuspectRounds for the same reason.
func turn(count, room int, round uint64) (first, end int) {
	if count <= room {
		return 0, count
	}
	if room <= 0 {
		return 0, 0
	}
	rounds := max(3, (count+room-1)/room)
	for !big.NewInt(int64(rounds)).ProbablyPrime(0) || rounds == oldSuspectRounds {
		rounds++
	}
	window := int(round % uint64(rounds))
	return window * count / rounds, (window + 1) * count / rounds
}

// reportAge returns how long after the last crash this gate reports the group to peers. A single
// crash without direct evidence, the most common case, is reported shortly, and only by the gates
// that lost a request in it.
func (g *partGroup) reportAge() time.Duration {
	switch {
	case len(g.crashes) > 1 || g.crashes[0].Phase == PhaseBegun:
		return suspectReportAge
	case g.local:
		return indirectReportAge
	default:
		return never
	}
}

// agedCrashes returns the newest crashes of a group, with the time since.
func (g *partGroup) agedCrashes(now time.Duration) []PartCrash {
	crashes := g.newestCrashes(maxReportedCrashes)
	for i := range crashes {
		crashes[i].At = now - crashes[i].At
	}
	return crashes
}

// clearReported applies what a peer reported of parts that completed or lasted.
func (p *crashingParts) clearReported(now time.Duration, cleared, outlasted map[uint64]time.Duration) {
	for part, age := range outlasted {
		p.outlast(part, now-age, ClearedByPeer, make(map[*partGroup]*partGroup))
	}
	for part, age := range cleared {
		p.clear(part, now-age, ClearedByPeer, make(map[*partGroup]*partGroup))
	}
}

// merge applies evidence of a peer, or of this gate before a restart (local). A completion at this
// gate that is newer than a crash is reported back.
func (p *crashingParts) merge(now time.Duration, suspects map[uint64][]PartCrash, local bool) {
	groups := make(derivedGroups)
	merged := make(map[*PartCrash][]PartCrash) // by the first crash of a list, which many parts share
	for part, crashes := range suspects {
		if len(crashes) == 0 {
			continue
		}
		dated, known := merged[&crashes[0]]
		if !known {
			dated = slices.Clone(crashes)
			for i := range dated {
				dated[i].At = now - dated[i].At
			}
			merged[&crashes[0]] = dated
		}
		for i := range dated {
			crash := &dated[i]
			if p.completedSince(part, crash.At) {
				p.reportCompleted(part)
			} else if p.recordRun(crash) {
				p.addCrash(part, crash, local, groups)
			}
		}
	}
}
