package target

import (
	"slices"
	"time"
)

const (
	// drainNoticeRetention is how long the notice of a target that is no longer listed is
	// retained. Its old entry may reappear when the store recovers.
	drainNoticeRetention = 2 * time.Minute
	// drainNoticeReportTime is how long this gate reports a local notice to its peers. It
	// spans ten reports to other regions, since some of them are lost.
	drainNoticeReportTime = 4 * time.Second
)

// restoredRowLifetime is how long after a restore the store may list entries of targets that
// have left: such an entry expires after three report intervals of silence, and a live target
// writes its own within about two seconds.
const restoredRowLifetime = 8 * time.Second

// departure is a target that was listed as draining or was removed.
type departure struct {
	startedMillis int64 // start of the target, Unix milliseconds
	at            time.Duration
	addr          string
}

// MarkRestored records that the store was restored from an older copy, which may list targets
// as live that have left since. Until their entries have expired, targets that left before now
// stay unavailable.
func (d *Directory) MarkRestored(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restoredAt, d.restored = now, true
}

// applyDepartures returns the list with the targets marked as draining that left before the
// store was restored, and records those that it lists as draining.
func (d *Directory) applyDepartures(instances []Instance, now time.Duration) []Instance {
	if now-d.restoredAt > restoredRowLifetime {
		d.restored = false
	}
	for id, left := range d.departures {
		if now-left.at > drainNoticeRetention {
			delete(d.departures, id)
		}
	}
	cloned := false
	for i := range instances {
		instance := &instances[i]
		if instance.Draining {
			d.departures[instance.ID] = departure{instance.StartedMillis, now, instance.Addr}
			continue
		}
		left, found := d.departures[instance.ID]
		if !d.restored || !found || left.at > d.restoredAt || left.startedMillis != instance.StartedMillis {
			continue
		}
		if !cloned {
			instances, cloned = slices.Clone(instances), true
		}
		instances[i].Draining = true
	}
	return instances
}

// drainNotice is a target's announcement that it is draining.
type drainNotice struct {
	startedMillis int64 // start of the target, Unix milliseconds
	receivedAt    time.Duration
	local         bool // received from the target itself, not from a peer
}

// MarkDraining records that a target announced its drain. The instance with this start
// gets no new requests from now on, whatever its entry says later. local says that the
// target told this gate directly and not a peer. It reports whether the notice is new.
func (d *Directory) MarkDraining(id string, startedMillis int64, now time.Duration, local bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	// A notice from a peer may be outdated; one from the target itself is not.
	if previous, found := d.drainNotices[id]; found && (previous.startedMillis == startedMillis || previous.startedMillis > startedMillis && !local) {
		return false
	}
	d.drainNotices[id] = drainNotice{startedMillis: startedMillis, receivedAt: now, local: local}
	instance, listed := d.Current().byID[id]
	if !listed || instance.StartedMillis != startedMillis || instance.Draining {
		return true
	}
	instances := make([]Instance, 0, d.Current().Len())
	for listedID, listedInstance := range d.Current().byID {
		listedInstance.Draining = listedInstance.Draining || listedID == id
		instances = append(instances, listedInstance)
	}
	d.current.Store(d.newSnapshot(instances))
	return true
}

// LocalDrainNotices returns the targets that announced their drain to this gate within
// drainNoticeReportTime. The values are the starts of the targets in Unix milliseconds.
func (d *Directory) LocalDrainNotices(now time.Duration) map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	notices := make(map[string]int64)
	for id, notice := range d.drainNotices {
		if notice.local && now-notice.receivedAt < drainNoticeReportTime {
			notices[id] = notice.startedMillis
		}
	}
	return notices
}

// applyDrainNotices returns the list with the targets marked that announced their drain.
// It removes the notices of targets that restarted and those past drainNoticeRetention.
func (d *Directory) applyDrainNotices(instances []Instance, now time.Duration) []Instance {
	if len(d.drainNotices) == 0 {
		return instances
	}
	instances = slices.Clone(instances)
	for i := range instances {
		instance := &instances[i]
		notice, noticed := d.drainNotices[instance.ID]
		switch {
		case !noticed:
		case notice.startedMillis < instance.StartedMillis:
			delete(d.drainNotices, instance.ID)
		case notice.startedMillis == instance.StartedMillis:
			instance.Draining = true
			notice.receivedAt = max(notice.receivedAt, now-drainNoticeReportTime) // retained while listed, but not reported again
			d.drainNotices[instance.ID] = notice
		}
	}
	for id, notice := range d.drainNotices {
		if now-notice.receivedAt > drainNoticeRetention {
			delete(d.drainNotices, id)
		}
	}
	return instances
}
