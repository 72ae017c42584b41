package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxReportedParts bounds the parts in a report to peers.
	maxReportedParts = 48
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
	return Report{
		Crashes: t.listConfirmed(now), SuspectParts: t.parts.report(now), DisprovedCrashes: t.parts.listDisproved(now),
		ClearedParts: reportTimes(now, t.parts.cleared), OutlastedParts: reportTimes(now, t.parts.outlasted), Suspects: t.reportRequests(now),
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
	t.parts.merge(now, report.SuspectParts, report.ClearedParts, report.OutlastedParts)
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

// report returns the suspects for peers: those with a recent crash, and those at the limit,
// which gates that have just started must learn too.
func (p *crashingParts) report(now time.Duration) map[uint64][]PartCrash {
	var reported []uint64
	for part, suspect := range p.suspects {
		if now-suspect.lastCrash <= suspect.reportAge() || len(suspect.crashes) >= PartCrashLimit && !suspect.expired(now) {
			reported = append(reported, part)
		}
	}
	slices.SortFunc(reported, func(a, b uint64) int {
		s, t := p.suspects[a], p.suspects[b]
		return cmp.Or(cmp.Compare(len(t.crashes), len(s.crashes)), cmp.Compare(t.lastCrash, s.lastCrash), cmp.Compare(a, b))
	})
	suspects := make(map[uint64][]PartCrash)
	for _, part := range reported[:min(len(reported), maxReportedParts)] {
		suspects[part] = p.agedCrashes(now, part)
	}
	return suspects
}

// reportTimes returns the recent ones of the times of parts, cleared or outlasted, as the time
// since, and removes the others.
func reportTimes(now time.Duration, times map[uint64]time.Duration) map[uint64]time.Duration {
	maps.DeleteFunc(times, func(_ uint64, at time.Duration) bool { return now-at > suspectReportAge })
	ages := make(map[uint64]time.Duration)
	for part, at := range times {
		if len(ages) < maxReportedParts {
			ages[part] = now - at
		}
	}
	return ages
}

// blockedCrashes returns the newest crashes of the blocked parts, with the time since.
func (p *crashingParts) blockedCrashes(now time.Duration) map[uint64][]PartCrash {
	p.refreshBlocks(now)
	blocked := make(map[uint64][]PartCrash)
	for i := range p.blocks {
		for _, part := range p.blocks[i].parts {
			blocked[part] = p.agedCrashes(now, part)
		}
	}
	return blocked
}

// agedCrashes returns the newest crashes of a suspect, with the time since.
func (p *crashingParts) agedCrashes(now time.Duration, part uint64) []PartCrash {
	var crashes []PartCrash
	for _, crash := range p.suspects[part].newestCrashes(maxReportedCrashes) {
		crashes = append(crashes, PartCrash{Run: crash.Run, At: now - crash.At, Workspaces: slices.Clone(crash.Workspaces), Phase: crash.Phase})
	}
	return crashes
}

// merge applies the report of a peer. A completion at this gate that is newer than a
// crash is reported back.
func (p *crashingParts) merge(now time.Duration, suspects map[uint64][]PartCrash, cleared, outlasted map[uint64]time.Duration) {
	for part, age := range outlasted {
		p.outlast(part, now-age, ClearedByPeer)
	}
	for part, age := range cleared {
		p.clear(part, now-age, ClearedByPeer)
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
