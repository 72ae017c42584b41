package target

import (
	"maps"
	"slices"
	"time"
)

// restoredEvacuationHold is how long a failure domain stays evacuated after the store was
// restored from a copy, even if no row lists it: the operator's newest rows may be lost and
// are written again.
const restoredEvacuationHold = 8 * time.Second

// EvacuationList is the list of evacuated failure domains at a revision of the store.
type EvacuationList struct {
	Domains []string // listed as evacuated
	// Era and Revision are those of the store. Revisions are comparable only within an
	// era, which rises when the store is restored from a copy; 0: not read from the store.
	Era, Revision int64
	// Held holds the failure domains that were evacuated before a restore, with the time
	// for which they stay evacuated although they need not be listed.
	Held map[string]time.Duration
}

// Evacuations decides which failure domains are evacuated, from lists that arrive from the
// store and from peers in any order. It is not safe for concurrent use.
//
// Invariants:
//   - A list that is older than the current one never ends an evacuation.
//   - A domain that was evacuated, as far as any list of an earlier era tells, stays evacuated
//     until restoredEvacuationHold after the newest era was first seen.
//   - Without a new list, nothing changes but the end of holds.
type Evacuations struct {
	listed        map[string]bool
	era, revision int64
	eraSeenAt     time.Duration
	heldUntil     map[string]time.Duration
}

// NewEvacuations returns the state in which no failure domain is evacuated.
func NewEvacuations() *Evacuations {
	return &Evacuations{listed: make(map[string]bool), heldUntil: make(map[string]time.Duration)}
}

// Apply records a list that arrived at now.
func (e *Evacuations) Apply(list EvacuationList, now time.Duration) {
	switch {
	case list.Era > e.era:
		if e.era > 0 {
			e.hold(slices.Collect(maps.Keys(e.listed)), now+restoredEvacuationHold)
		}
		e.era, e.revision, e.eraSeenAt = list.Era, list.Revision, now
		e.replace(list.Domains)
	case list.Era < e.era:
		// A peer has not read the restored store yet. This gate may have started only since.
		e.hold(list.Domains, e.eraSeenAt+restoredEvacuationHold)
	case list.Revision >= e.revision:
		e.revision = list.Revision
		e.replace(list.Domains)
	}
	for domain, remaining := range list.Held {
		e.hold([]string{domain}, now+min(remaining, restoredEvacuationHold))
	}
	maps.DeleteFunc(e.heldUntil, func(_ string, until time.Duration) bool { return now >= until })
}

func (e *Evacuations) replace(domains []string) {
	clear(e.listed)
	for _, domain := range domains {
		e.listed[domain] = true
	}
}

func (e *Evacuations) hold(domains []string, until time.Duration) {
	for _, domain := range domains {
		e.heldUntil[domain] = max(e.heldUntil[domain], until)
	}
}

// Evacuated returns the names of the evacuated failure domains, sorted.
func (e *Evacuations) Evacuated() []string {
	evacuated := slices.Collect(maps.Keys(e.listed))
	for domain := range e.heldUntil {
		if !e.listed[domain] {
			evacuated = append(evacuated, domain)
		}
	}
	slices.Sort(evacuated)
	return evacuated
}

// List returns the current list, for peers.
func (e *Evacuations) List(now time.Duration) EvacuationList {
	list := EvacuationList{Domains: slices.Sorted(maps.Keys(e.listed)), Era: e.era, Revision: e.revision}
	for domain, until := range e.heldUntil {
		if remaining := until - now; remaining > 0 {
			if list.Held == nil {
				list.Held = make(map[string]time.Duration)
			}
			list.Held[domain] = remaining
		}
	}
	return list
}

// SetEvacuated replaces the names of the evacuated failure domains. Their targets stay listed
// but are not available, whether they were listed before or are listed later. When an
// evacuation ends, they are not known to be warm. It reports whether the names changed.
func (d *Directory) SetEvacuated(domains []string, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	evacuated := make(map[string]bool, len(domains))
	for _, domain := range domains {
		evacuated[domain] = true
	}
	if maps.Equal(evacuated, d.evacuated) {
		return false
	}
	d.recordEvacuationEnds(evacuated, now)
	d.evacuated = evacuated
	d.rebuild()
	return true
}
