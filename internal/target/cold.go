package target

import (
	"maps"
	"slices"
	"time"
)

const (
	// coldMargin is added to the cold phase of a target that is not known to be warm: an entry
	// is written about every 1.2 s and read up to 0.8 s later.
	coldMargin = 2 * time.Second
	// minColdRenewal is the time that the cold phase of a target must move by for a further
	// failed connection to count, so that a series of them costs few snapshots.
	minColdRenewal = 500 * time.Millisecond
	// maxListAge is the age of the list of targets above which a gate that has not found the
	// store unreachable has been suspended: lists are read about every second, and within 3 s after
	// the loss of a relay.
	maxListAge = 4 * time.Second
)

// SetColdPhases replaces how long targets are cold after their start, by service. Targets of
// services without a cold phase are never cold.
func (d *Directory) SetColdPhases(phases map[string]time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if maps.Equal(phases, d.coldPhases) {
		return
	}
	d.coldPhases = maps.Clone(phases)
	d.rebuild()
}

// MarkUnreachable records that a target refused a connection or is presumed to have crashed:
// it may come back under its ID, and cold.
func (d *Directory) MarkUnreachable(id string, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	instance, listed := d.Current().byID[id]
	if _, hasPhase := d.coldPhases[instance.Service]; !listed || !hasPhase {
		return
	}
	if since, marked := d.notWarmSince[id]; marked && now-since < minColdRenewal {
		return
	}
	d.notWarmSince[id] = now
	d.rebuild()
}

// MarkStoreLost records that the store is unreachable, so that an old list of targets does not
// mean that this gate was suspended.
func (d *Directory) MarkStoreLost() {
	d.listedAt.Store(int64(neverOutdated))
}

// neverOutdated is the time of a list whose age says nothing.
const neverOutdated = time.Duration(1<<63 - 1)

// MarkListed records when a list of targets was applied, on a clock that includes the time for
// which the machine was suspended.
func (d *Directory) MarkListed(at time.Duration) { d.listedAt.Store(int64(at)) }

// Outdated reports whether this gate was suspended since the last list of targets, which may
// have become cold meanwhile. The first list after that ends it. now is on the clock of
// MarkListed.
func (d *Directory) Outdated(now time.Duration) bool {
	listedAt := time.Duration(d.listedAt.Load())
	return now > listedAt && now-listedAt > maxListAge
}

// ColdCount returns the number of available targets that are treated as cold.
func (s *Snapshot) ColdCount(now time.Duration) int {
	count := 0
	for _, available := range s.services {
		for i := range available {
			if available[i].ColdUntil > now {
				count++
			}
		}
	}
	return count
}

// rebuild replaces the snapshot by one of the same targets. The caller holds mu.
func (d *Directory) rebuild() {
	d.current.Store(d.newSnapshot(slices.Collect(maps.Values(d.Current().byID))))
}

// coldUntil returns until when a target is treated as cold, 0 if its service has no cold phase.
func (d *Directory) coldUntil(instance *Instance) time.Duration {
	phase, hasPhase := d.coldPhases[instance.Service]
	if !hasPhase {
		return 0
	}
	until := instance.ReportedColdUntil
	if since, marked := d.notWarmSince[instance.ID]; marked {
		until = max(until, since+phase+coldMargin)
	}
	if since, found := d.listedSince[instance.ID]; found && !instance.ColdReported {
		until = max(until, since+phase)
	}
	return until
}

// keepReportedCold returns the list of a restored store with the times until which targets
// reported earlier to stay cold: its entries may be older than those reports.
func keepReportedCold(previous *Snapshot, listed []Instance) []Instance {
	listed = slices.Clone(listed)
	for i := range listed {
		instance := &listed[i]
		if before, known := previous.byID[instance.ID]; known && before.StartedMillis == instance.StartedMillis {
			instance.ReportedColdUntil = max(instance.ReportedColdUntil, before.ReportedColdUntil)
		}
	}
	return listed
}

// HasColdPhase reports whether targets of the service are cold after their start.
func (d *Directory) HasColdPhase(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, found := d.coldPhases[service]
	return found
}

// recordNotWarm records which targets of a new list are not known to be warm. Entries of targets
// that were never listed, such as those of the first list, are taken at their word. The caller
// holds mu.
func (d *Directory) recordNotWarm(previous *Snapshot, listed []Instance, now time.Duration) {
	var usedAddrs map[string]string // IDs by address
	for i := range listed {
		instance := &listed[i]
		before, known := previous.byID[instance.ID]
		switch {
		case known && before.StartedMillis == instance.StartedMillis && before.Addr == instance.Addr:
			continue
		case !known && usedAddrs == nil:
			usedAddrs = d.usedAddrs(previous)
		}
		_, left := d.departures[instance.ID]
		owner, used := usedAddrs[instance.Addr]
		switch {
		case known || left || used && owner != instance.ID:
			d.notWarmSince[instance.ID] = now
		case !instance.ColdReported:
			d.listedSince[instance.ID] = now
		}
	}
}

// usedAddrs returns the IDs of the targets that are or recently were listed, by address.
func (d *Directory) usedAddrs(previous *Snapshot) map[string]string {
	used := make(map[string]string, len(previous.byID))
	for id, gone := range d.departures {
		used[gone.addr] = id
	}
	for id, instance := range previous.byID {
		used[instance.Addr] = id
	}
	return used
}

// recordEvacuationEnds records that the targets of failure domains whose evacuation ended are
// not known to be warm. The caller holds mu.
func (d *Directory) recordEvacuationEnds(evacuated map[string]bool, now time.Duration) {
	for id, instance := range d.Current().byID {
		if d.evacuated[instance.Domain] && !evacuated[instance.Domain] {
			d.notWarmSince[id] = now
		}
	}
}
