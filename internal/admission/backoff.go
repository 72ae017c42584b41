package admission

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/target"
)

// backoffs holds the targets that asked gates to back off when they rejected a request.
// A backoff requested of this gate is binding. One requested of a peer is a hint: such a
// target is tried only when no other target has capacity.
type backoffs struct {
	local, hints map[string]backoffEnd // by target ID
}

type backoffEnd struct {
	targetStarted int64 // start of the target that asked, Unix milliseconds
	until         time.Duration
}

// Backoff is a target's request to back off, as gates report it to each other.
type Backoff struct {
	TargetStarted int64 // start of the target, Unix milliseconds
	Remaining     time.Duration
}

func newBackoffs() *backoffs {
	return &backoffs{local: make(map[string]backoffEnd), hints: make(map[string]backoffEnd)}
}

// recordBackoff stores a backoff. For the same start of a target, the later end wins.
func recordBackoff(backoffs map[string]backoffEnd, id string, targetStarted int64, until time.Duration) {
	if known, found := backoffs[id]; found && known.targetStarted == targetStarted && known.until >= until {
		return
	}
	backoffs[id] = backoffEnd{targetStarted: targetStarted, until: until}
}

// remainingBackoff returns how long to send nothing to the target; 0 means no backoff. A
// backoff ends when the target restarts.
func remainingBackoff(backoffs map[string]backoffEnd, now time.Duration, instance *target.Instance) time.Duration {
	if len(backoffs) == 0 {
		return 0
	}
	backoff, found := backoffs[instance.ID]
	if !found || backoff.targetStarted != instance.StartedMillis {
		return 0
	}
	return max(backoff.until-now, 0)
}

// soonestEnd returns the time until the first local backoff among the targets in regions
// ends; 0 means that none of them has one.
func (b *backoffs) soonestEnd(now time.Duration, regions target.RegionSet, targets []target.Instance) time.Duration {
	soonest := time.Duration(0)
	for i := range targets {
		if !regions.Contains(targets[i].Region) {
			continue
		}
		if remaining := remainingBackoff(b.local, now, &targets[i]); remaining > 0 && (soonest == 0 || remaining < soonest) {
			soonest = remaining
		}
	}
	return soonest
}

// listLocal returns the backoffs that targets requested of this gate and removes expired
// ones.
func (b *backoffs) listLocal(now time.Duration) map[string]Backoff {
	removeExpired(b.local, now)
	removeExpired(b.hints, now)
	if len(b.local) == 0 {
		return nil
	}
	listed := make(map[string]Backoff, len(b.local))
	for id, backoff := range b.local {
		listed[id] = Backoff{TargetStarted: backoff.targetStarted, Remaining: backoff.until - now}
	}
	return listed
}

func removeExpired(backoffs map[string]backoffEnd, now time.Duration) {
	for id, backoff := range backoffs {
		if now >= backoff.until {
			delete(backoffs, id)
		}
	}
}

// BackOff records that a target, in rejecting a request, asked this gate to send nothing
// for the time wait. It does not affect the target's health.
func (c *Controller) BackOff(now time.Duration, instance target.Instance, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	recordBackoff(c.backoffs.local, instance.ID, instance.StartedMillis, now+wait)
}
