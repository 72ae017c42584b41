package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/platform/standin"
)

const (
	// maxEvacuationDelay is the bound of the platform for the last request that reaches a
	// target of an evacuated failure domain.
	maxEvacuationDelay = 5 * time.Second
	// maxStoreExtension is by how much a disturbance of the store extends it.
	maxStoreExtension = 6 * time.Second
	// evacuationContactTime is how long a gate must have been running and in contact with
	// the store before the bound applies.
	evacuationContactTime = 4 * time.Second
	// minEvacuation leaves a time after the bound in which requests are checked.
	minEvacuation = maxEvacuationDelay + time.Second
	// maxEvacuationExtra and maxEvacuationPause bound the random parts of the time that an
	// evacuation lasts and of the time before it.
	maxEvacuationExtra = 2 * time.Second
	maxEvacuationPause = time.Second
)

// withEvacuations adds steps that evacuate failure domains to a plan, one domain at a time.
// They have a random source of their own, so that the other steps stay as they are.
func withEvacuations(seed uint64, steps []Step, length time.Duration) []Step {
	random := rand.New(rand.NewPCG(seed, 1<<43))
	upTo := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	steps = slices.Clone(steps)
	for end := time.Duration(0); ; {
		step := Step{Start: end + upTo(maxEvacuationPause), Duration: minEvacuation + upTo(maxEvacuationExtra), Kind: EvacuateDomain, Index: random.IntN(variantCount)}
		if end > 0 && step.Start+step.Duration > length {
			break
		}
		steps = append(steps, step)
		end = step.Start + step.Duration
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.Start - b.Start) })
	return steps
}

// evacuation is a time for which the operator evacuated a failure domain.
type evacuation struct {
	domain         string
	acknowledgedAt time.Time
	endedAt        time.Time      // when the removal of the row began
	targets        map[string]int // indexes of the targets of the domain, by address
}

// evacuate evacuates a failure domain for the duration of the step.
func (d *deployment) evacuate(ctx context.Context, s Step) {
	e := evacuation{domain: domains[s.Index%len(domains)], targets: make(map[string]int)}
	for _, t := range d.targets {
		if domains[t.index%len(domains)] == e.domain {
			e.targets[t.Addr()] = t.index
		}
	}
	endDisruption := d.history.BeginDisruption(Subject{Part: PartEvacuation})
	defer endDisruption()
	d.store.Evacuate(e.domain)
	e.acknowledgedAt = time.Now()
	clock.Sleep(ctx, s.Duration)
	e.endedAt = time.Now()
	d.store.EndEvacuation(e.domain)
	d.mu.Lock()
	d.evacuations = append(d.evacuations, e)
	d.mu.Unlock()
	clock.Sleep(ctx, settleTime)
}

// checkEvacuation: a gate in contact with the store sends no request to an evacuated failure
// domain after the bound.
func (c *checker) checkEvacuation(r *CallRecord, run *standin.Run) {
	for _, e := range c.evacuations {
		late := run.Arrived.After(e.acknowledgedAt.Add(maxEvacuationDelay)) && run.Arrived.Before(e.endedAt)
		target, found := e.targets[run.Addr]
		if found && late && c.evacuationBoundApplies(r, target, run.Arrived) {
			c.addViolation("evacuated domain", r, "%s of %s got it %v after the evacuation", run.Instance, e.domain, run.Arrived.Sub(e.acknowledgedAt))
		}
	}
}

func (c *checker) evacuationBoundApplies(r *CallRecord, target int, at time.Time) bool {
	from := at.Add(-evacuationContactTime)
	for _, part := range []Part{PartGate, PartPlannedStop, PartStoreLink} {
		if !c.history.Undisrupted(Subject{part, r.Gate}, from, at) {
			return false
		}
	}
	// A link that held a request back delays its arrival.
	return c.history.Undisrupted(Subject{PartTarget, target}, r.Start, at) && c.history.Undisrupted(Subject{Part: PartStore}, at.Add(-maxStoreExtension), at)
}
