package target

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Instance is one run of a target, from its start to its end, as the platform lists it.
type Instance struct {
	ID      string
	Addr    string // IP:port
	Service string
	Domain  string // failure domain
	Slots   int
	// Draining targets finish their requests in flight and accept no new ones.
	Draining bool
	// StartedMillis is the target's start in Unix milliseconds. A target that restarts
	// under its old ID has a new value and has lost all state of the previous run.
	StartedMillis int64
	// Hash is HashID(ID); a Directory sets it.
	Hash uint64
	// Region is the region of Domain; a Directory sets it.
	Region RegionBit
	// ColdUntil is until when the target is treated as cold, on the monotonic clock of the
	// process; 0: never. A Directory sets it.
	ColdUntil time.Duration
	// ColdReported says that the entry tells how long the target stays cold, and
	// ReportedColdUntil until when, counted from the time at which this gate first saw the
	// content of the entry; 0: it is warm.
	ColdReported      bool
	ReportedColdUntil time.Duration
}

// HashID returns the hash of a target ID for rendezvous hashing.
func HashID(id string) uint64 { return xxhash.Sum64String(id) }

// storeReturnGrace is how long expired entries stay usable once the store is reachable
// again. The platform promises that a live target rewrites its entry within about 2 s.
// Targets that were removed while a gate was partitioned from the store must be dropped
// within 3 s of the end of the partition, and reconnecting to the store may take 0.7 s
// of that.
const storeReturnGrace = 2200 * time.Millisecond

// MinExpiryOutage is the shortest outage of the store in which the entry of a live target may
// expire: after three report intervals of silence (1.2 s each), of which one may have passed
// before the outage.
const MinExpiryOutage = 2400 * time.Millisecond

// Directory is the cached state of the live targets of all services.
//
// Invariants:
//   - An instance that was listed as draining, or was removed, is unavailable until its
//     entry in the store lists it as live again.
//   - An instance that left before the store was restored from a copy stays unavailable
//     until the entries of the copy have expired.
//   - An instance that announced its own drain is unavailable until it restarts, whatever
//     its entry says.
//   - An instance in an evacuated failure domain is listed but unavailable.
//   - Entries that expired while the store was unreachable stay available until
//     storeReturnGrace after the store is back.
type Directory struct {
	regions *Regions
	current atomic.Pointer[Snapshot]

	mu sync.Mutex // held while the snapshot is replaced
	// graceEnds holds until when expired entries are retained, by target ID, on the
	// monotonic clock of the caller.
	graceEnds map[string]time.Duration
	// drainNotices holds the drains that targets announced, by target ID.
	drainNotices map[string]drainNotice
	// departures holds the targets that left recently, by target ID.
	departures map[string]departure
	// restored is set for restoredRowLifetime after restoredAt, when the store was restored.
	restored   bool
	restoredAt time.Duration
	evacuated  map[string]bool // names of failure domains
	// coldPhases holds how long targets are cold after their start, by service.
	coldPhases map[string]time.Duration
	// notWarmSince holds, by target ID, since when a target is not known to be warm.
	notWarmSince map[string]time.Duration
	// listedSince holds, by target ID, since when targets are listed whose first entry did not
	// report whether they are cold.
	listedSince map[string]time.Duration
	// listedAt is the time of MarkListed, or neverOutdated.
	listedAt atomic.Int64
}

// Snapshot is an immutable state of a Directory.
type Snapshot struct {
	services map[string][]Instance // available targets by service, sorted by ID
	byID     map[string]Instance
}

// NewDirectory returns a directory with no targets. The argument maps the names of failure
// domains to those of their regions.
func NewDirectory(domainRegions map[string]string) *Directory {
	d := &Directory{regions: NewRegions(domainRegions), graceEnds: make(map[string]time.Duration), drainNotices: make(map[string]drainNotice), departures: make(map[string]departure), notWarmSince: make(map[string]time.Duration), listedSince: make(map[string]time.Duration)}
	d.listedAt.Store(int64(neverOutdated))
	d.current.Store(d.newSnapshot(nil))
	return d
}

func (d *Directory) newSnapshot(instances []Instance) *Snapshot {
	snapshot := &Snapshot{services: make(map[string][]Instance), byID: make(map[string]Instance, len(instances))}
	for _, instance := range instances {
		instance.Hash, instance.Region = HashID(instance.ID), d.regions.Of(instance.Domain)
		instance.ColdUntil = d.coldUntil(&instance)
		snapshot.byID[instance.ID] = instance
		if !instance.Draining && !d.evacuated[instance.Domain] {
			snapshot.services[instance.Service] = append(snapshot.services[instance.Service], instance)
		}
	}
	for _, available := range snapshot.services {
		slices.SortFunc(available, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	}
	return snapshot
}

// Regions returns the regions of the failure domains.
func (d *Directory) Regions() *Regions { return d.regions }

// Current returns the newest snapshot.
func (d *Directory) Current() *Snapshot { return d.current.Load() }

// Replace applies a full list of targets that was read at now. storeWasUnavailable says
// that the store was unreachable since the previous list, so that entries of live targets
// may have expired; such entries are retained until their grace period ends. It returns
// the IDs of targets that were added, started to drain, were removed or are retained from now on.
func (d *Directory) Replace(instances []Instance, now time.Duration, storeWasUnavailable bool) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.Current()
	instances = d.applyDrainNotices(d.applyDepartures(instances, now), now)
	if d.restored {
		instances = keepReportedCold(previous, instances)
	}
	d.recordNotWarm(previous, instances, now)
	listed := d.newSnapshot(instances)
	var change Change
	for id, instance := range previous.byID {
		if _, stillListed := listed.byID[id]; stillListed {
			delete(d.graceEnds, id)
			continue
		}
		_, inGrace := d.graceEnds[id]
		if d.retainExpired(instance, now, storeWasUnavailable) {
			instances = append(instances, instance)
			if !inGrace {
				change.Retained = append(change.Retained, id)
			}
			continue
		}
		change.Removed = append(change.Removed, id)
		d.recordRemoved(&instance, now)
	}
	for id, instance := range listed.byID {
		previousInstance, known := previous.byID[id]
		switch {
		case !known || previousInstance.StartedMillis != instance.StartedMillis:
			change.Added = append(change.Added, id)
		case instance.Draining && !previousInstance.Draining:
			change.Draining = append(change.Draining, id)
		}
	}
	d.current.Store(d.newSnapshot(instances))
	return change
}

// recordRemoved forgets what is known of a target that was removed and records its departure. The
// caller holds mu.
func (d *Directory) recordRemoved(instance *Instance, now time.Duration) {
	delete(d.notWarmSince, instance.ID)
	delete(d.listedSince, instance.ID)
	delete(d.graceEnds, instance.ID)
	d.departures[instance.ID] = departure{instance.StartedMillis, now, instance.Addr}
}

// RemoveExpired removes the retained targets whose grace period has ended and returns their IDs
// as removed.
func (d *Directory) RemoveExpired(now time.Duration) Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var change Change
	remaining := maps.Clone(d.Current().byID)
	for id, graceEnd := range d.graceEnds {
		if instance := remaining[id]; now >= graceEnd {
			change.Removed = append(change.Removed, id)
			delete(remaining, id)
			d.recordRemoved(&instance, now)
		}
	}
	if !change.Empty() {
		d.current.Store(d.newSnapshot(slices.Collect(maps.Values(remaining))))
	}
	return change
}

// NextExpiry returns the time from now until the first grace period of an expired entry
// ends; false means that no expired entry is retained.
func (d *Directory) NextExpiry(now time.Duration) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	remaining, found := time.Duration(0), false
	for _, graceEnd := range d.graceEnds {
		if entryRemaining := max(graceEnd-now, 0); !found || entryRemaining < remaining {
			remaining, found = entryRemaining, true
		}
	}
	return remaining, found
}

// retainExpired reports whether a target that is missing from the list is retained. It
// starts a grace period if the store was unavailable.
func (d *Directory) retainExpired(instance Instance, now time.Duration, storeWasUnavailable bool) bool {
	if instance.Draining {
		return false
	}
	graceEnd, inGrace := d.graceEnds[instance.ID]
	if !inGrace {
		if !storeWasUnavailable {
			return false
		}
		graceEnd = now + storeReturnGrace
		d.graceEnds[instance.ID] = graceEnd
	}
	return now < graceEnd
}

// Change holds the IDs of the targets that a new list changed. Added includes targets
// that restarted. Retained targets are no longer listed, and stay until their grace period ends.
type Change struct {
	Added, Draining, Removed []string
	Retained                 []string
}

// Empty reports whether the listed targets stay the same for requests.
func (c Change) Empty() bool { return len(c.Added)+len(c.Draining)+len(c.Removed) == 0 }

// Available returns the targets of a service that accept new requests, sorted by ID. The
// caller must not modify the slice.
func (s *Snapshot) Available(service string) []Instance { return s.services[service] }

// Accepts reports whether the target, as an earlier snapshot listed it, still accepts new
// requests.
func (s *Snapshot) Accepts(instance *Instance) bool { return s.Accepting(instance) != nil }

// Accepting returns the target as this snapshot lists it, nil if it no longer accepts new
// requests. The caller must not modify it.
func (s *Snapshot) Accepting(instance *Instance) *Instance {
	available := s.services[instance.Service]
	i, found := slices.BinarySearchFunc(available, instance.ID, func(a Instance, id string) int { return strings.Compare(a.ID, id) })
	if !found || available[i].Addr != instance.Addr || available[i].StartedMillis != instance.StartedMillis {
		return nil
	}
	return &available[i]
}

// Len returns the number of targets, including draining ones.
func (s *Snapshot) Len() int { return len(s.byID) }

// Contains reports whether the target is listed, draining or not.
func (s *Snapshot) Contains(id string) bool {
	_, listed := s.byID[id]
	return listed
}

// Addr returns the address of a target, or "" if it is not listed.
func (s *Snapshot) Addr(id string) string { return s.byID[id].Addr }
