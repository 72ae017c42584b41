package quarantine

import (
	"hash/maphash"
	"math"
	"time"
)

// never is a time before all others.
const never = time.Duration(math.MinInt64 / 2)

// partTimeEntries is the number of parts whose time is held, in 512 KiB: those of 18 prompts of 1,800
// parts.
const partTimeEntries = 32 << 10

// partTimes holds the latest time of each of many parts, in a table of fixed size. A part may lose
// its time to another one that has a later one.
type partTimes struct {
	seed    maphash.Seed
	entries []partTime // in pairs; nil until the first time is recorded
}

type partTime struct {
	part uint64
	at   time.Duration
}

func newPartTimes() *partTimes { return &partTimes{seed: maphash.MakeSeed()} }

// pair returns the two entries that a part may have.
func (t *partTimes) pair(part uint64) (a, b *partTime) {
	// Callers choose the hashes of parts: without a seed, they could choose colliding ones.
	first := maphash.Comparable(t.seed, part) % (partTimeEntries / 2) * 2
	return &t.entries[first], &t.entries[first+1]
}

// record sets the time of a part, unless a later one is known.
func (t *partTimes) record(part uint64, at time.Duration) {
	if t.entries == nil {
		t.entries = make([]partTime, partTimeEntries)
		for i := range t.entries {
			t.entries[i].at = never
		}
	}
	a, b := t.pair(part)
	if a.part != part && (b.part == part || b.at < a.at) {
		a = b
	}
	if a.part != part || a.at < at {
		*a = partTime{part, at}
	}
}

// at returns the time of a part, and whether it is known.
func (t *partTimes) at(part uint64) (time.Duration, bool) {
	if t.entries == nil {
		return 0, false
	}
	a, b := t.pair(part)
	if a.part != part {
		a = b
	}
	return a.at, a.part == part && a.at != never
}

// maxClearedParts bounds the parts of which peers are told that they were cleared.
const maxClearedParts = 4096

// clearedParts holds the suspected parts that were cleared at this gate in the last
// suspectReportAge, with the latest time.
type clearedParts struct {
	at map[uint64]time.Duration
	// weak and strong hold the parts as added, by whether they had more than one crash.
	weak, strong []uint64
	round        uint64 // of reports
}

func newClearedParts() *clearedParts { return &clearedParts{at: make(map[uint64]time.Duration)} }

func (c *clearedParts) add(part uint64, at time.Duration, strength evidenceStrength) {
	known, found := c.at[part]
	if !found && len(c.at) >= maxClearedParts {
		if len(c.weak) > 0 {
			c.weak = c.drop(c.weak)
		} else {
			c.strong = c.drop(c.strong)
		}
	}
	c.at[part] = max(at, known)
	switch {
	case found:
	case strength >= twoCrashes:
		c.strong = append(c.strong, part)
	default:
		c.weak = append(c.weak, part)
	}
}

// drop removes the first of the parts.
func (c *clearedParts) drop(parts []uint64) []uint64 {
	delete(c.at, parts[0])
	return parts[1:]
}

// report returns the recent parts with the time since, those first that had more crashes, at most
// maxReportedParts. Those for which there is no room take turns.
func (c *clearedParts) report(now time.Duration) map[uint64]time.Duration {
	c.round++
	ages := make(map[uint64]time.Duration)
	for _, parts := range []*[]uint64{&c.strong, &c.weak} {
		for len(*parts) > 0 && now-c.at[(*parts)[0]] > suspectReportAge {
			*parts = c.drop(*parts)
		}
		first, end := turn(len(*parts), maxReportedParts-len(ages), c.round)
		for _, part := range (*parts)[first:end] {
			if age := now - c.at[part]; age <= suspectReportAge {
				ages[part] = age
			}
		}
	}
	return ages
}
