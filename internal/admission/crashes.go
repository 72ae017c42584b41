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

// maxTakeUpSteps bounds the steps before a report: 131,072 parts of lost requests.
const maxTakeUpSteps = 512

// takeUpLosses takes up the parts of lost requests. Other calls run between two steps.
func (c *Controller) takeUpLosses() {
	for range maxTakeUpSteps {
		if !c.takeUpStep() {
			return
		}
	}
}

func (c *Controller) takeUpStep() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.TakeUpLosses()
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

// DurableEvidence is quarantine.Tracker.Durable.
func (c *Controller) DurableEvidence(now time.Duration) quarantine.Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantine.Durable(now)
}

// RestoreEvidence is quarantine.Tracker.Restore.
func (c *Controller) RestoreEvidence(now time.Duration, evidence quarantine.Evidence) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantine.Restore(now, evidence)
}
