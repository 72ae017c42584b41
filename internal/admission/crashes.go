package admission

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/quarantine"
	"github.com/mastichollow/mastichollow/internal/target"
)

// RecordRefused records that a target refused a connection that carried no request.
func (c *Controller) RecordRefused(now time.Duration, instance *target.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantine.RecordUnreachable(now, instance)
}

// TakePresumedCrashes is quarantine.Tracker.TakePresumedCrashes.
func (c *Controller) TakePresumedCrashes() []quarantine.PresumedCrash {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.TakePresumedCrashes()
}

// TakeCrashedTargets is quarantine.Tracker.TakeCrashedTargets.
func (c *Controller) TakeCrashedTargets() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.TakeCrashedTargets()
}

// TakePartBlockChanges is quarantine.Tracker.TakePartBlockChanges.
func (c *Controller) TakePartBlockChanges(now time.Duration) ([]quarantine.PartBlockChange, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.TakePartBlockChanges(now)
}

// TakePartClearings is quarantine.Tracker.TakePartClearings.
func (c *Controller) TakePartClearings() []quarantine.PartClearing {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.TakePartClearings()
}

// TakeAdmittedSuspects is quarantine.Tracker.TakeAdmittedSuspects.
func (c *Controller) TakeAdmittedSuspects() map[quarantine.AdmittedReason]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.TakeAdmittedSuspects()
}

// TakeLossesInCrashes is quarantine.Tracker.TakeLossesInCrashes.
func (c *Controller) TakeLossesInCrashes() map[quarantine.CrashPhase]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.TakeLossesInCrashes()
}

// TakeSuspectedParts returns quarantine.Tracker.SuspectedParts and TakeDroppedParts.
func (c *Controller) TakeSuspectedParts() (suspected, dropped int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.SuspectedParts(), c.quarantine.TakeDroppedParts()
}

// DurableRequests is quarantine.Tracker.DurableRequests.
func (c *Controller) DurableRequests(now time.Duration) map[quarantine.Fingerprint]quarantine.RequestEvidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.DurableRequests(now)
}

// RestoreRequests is quarantine.Tracker.RestoreRequests.
func (c *Controller) RestoreRequests(now time.Duration, evidence map[quarantine.Fingerprint]quarantine.RequestEvidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantine.RestoreRequests(now, evidence)
}

// BlockedParts is quarantine.Tracker.BlockedParts.
func (c *Controller) BlockedParts(now time.Duration) map[uint64][]quarantine.PartCrash {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.BlockedParts(now)
}

// RestoreParts is quarantine.Tracker.RestoreParts.
func (c *Controller) RestoreParts(now time.Duration, crashes map[uint64][]quarantine.PartCrash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantine.RestoreParts(now, crashes)
}
