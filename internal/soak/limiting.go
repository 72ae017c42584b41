package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/platform/standin"
)

const (
	// limitingSeedStep selects the seeds in which targets name request limits, of all
	// profiles.
	limitingSeedStep = 5
	// limitDuration is how long a target names its limit: the time until the platform's
	// bound holds, and one window of it.
	limitDuration = minUndisruptedTime + limitWindow + time.Second
	// limitWindow, limitTolerance and limitSlack are the platform's bound on the calls that
	// a limited target gets.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
)

// namedLimits are the limits that targets name, in calls per second.
var namedLimits = []float64{0, 0.5, 2, 5, 12}

func namesRequestLimits(seed uint64) bool { return seed%limitingSeedStep == 0 }

// startLimiting makes targets name request limits, one of each service at a time. The
// returned function ends that.
func (d *deployment) startLimiting(ctx context.Context, seed uint64) func() {
	if !namesRequestLimits(seed) {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for service := range 3 {
		random := rand.New(rand.NewPCG(seed, 1<<41|uint64(service)))
		wg.Go(func() {
			for ctx.Err() == nil {
				t := d.targets[service*d.cfg.Targets+random.IntN(d.cfg.Targets)]
				t.playLimit(ctx, namedLimits[random.IntN(len(namedLimits))])
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// playLimit makes the target name a limit for a while and checks the calls that it got.
func (t *target) playLimit(ctx context.Context, perSecond float64) {
	endDisruption := t.deployment.history.BeginDisruption(Subject{PartRequestLimit, t.index})
	defer endDisruption()
	t.BeginLimit(perSecond)
	clock.Sleep(ctx, limitDuration)
	t.deployment.addLimitUse(t.index, t.EndLimit())
	clock.Sleep(ctx, settleTime)
}

// limitUse is the use of a target's request limit.
type limitUse struct {
	standin.LimitUse
	target int
}

func (d *deployment) addLimitUse(target int, use standin.LimitUse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limitUses = append(d.limitUses, limitUse{use, target})
}

// checkRequestLimits: undisrupted gates together stay within the limit that a target names.
func (c *checker) checkRequestLimits(recordByID map[string]*CallRecord) {
	for _, use := range c.limitUses {
		allowed := int(limitTolerance*use.PerSecond*limitWindow.Seconds()) + limitSlack
		var window []time.Time
		for _, arrival := range use.Arrivals {
			r := recordByID[arrival.CallID]
			if r == nil || arrival.At.Before(use.NamedAt.Add(minUndisruptedTime)) || !c.countsForLimit(r.Gate, use.target, arrival.At) {
				continue
			}
			window = append(window, arrival.At)
			for arrival.At.Sub(window[0]) >= limitWindow {
				window = window[1:]
			}
			if len(window) > allowed {
				c.violations = append(c.violations, Violation{
					Rule: "request limit", CallID: arrival.CallID,
					Detail: fmt.Sprintf("target %d got %d calls in %v at a limit of %.1f a second", use.target, len(window), limitWindow, use.PerSecond),
				})
				break
			}
		}
	}
}

// countsForLimit reports whether the gate and the way to the target were undisrupted.
func (c *checker) countsForLimit(gate, target int, at time.Time) bool {
	from := at.Add(-minUndisruptedTime)
	return c.history.Undisrupted(Subject{PartGate, gate}, from, at) && c.history.Undisrupted(Subject{PartPlannedStop, gate}, from, at) &&
		c.history.Undisrupted(Subject{PartTarget, target}, from, at)
}
