package admission

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
)

// plainQueueFactor bounds the requests in flight at a target of a plain service, as a
// multiple of its slots: one round that runs and two that wait.
const plainQueueFactor = 3

// placePlain places the request on the nearest target with a free slot, otherwise on the
// one with the shortest queue relative to its slots. If the targets differ in speed, it
// chooses by the expected end of the request instead.
func (c *Controller) placePlain(now time.Duration, req *Request, targets []target.Instance, avoided avoidedTargets) Decision {
	cheapest, minCost, anyCold := -1, 0.0, false
	expected := expectedEnds{speeds: c.speedsOf(now, req.Service)}
	refusal := Decision{Refused: request.ReasonNoTarget}
	for i := range targets {
		instance := &targets[i]
		if avoided.contains(instance) {
			continue
		}
		if avoided.limited(instance) {
			c.requestLimits.countDemand(now, instance)
			refusal = Decision{Refused: request.ReasonOverloaded, Target: *instance, Load: c.loads.total(instance.ID), RetryAfter: req.retryAfter()}
			continue
		}
		slots := max(instance.Slots, 1)
		if avoided.cold(instance) {
			anyCold = true
			continue
		}
		load := c.loads.total(instance.ID)
		if load.InFlight >= plainQueueFactor*slots {
			refusal = Decision{Refused: request.ReasonOverloaded, Target: *instance, Load: load, RetryAfter: req.retryAfter()}
			continue
		}
		if expected.speeds != nil {
			expected.add(&c.config.Site, req, instance, i)
			continue
		}
		// Targets with a free slot cost less than 1, by distance and then by load.
		cost := float64(load.InFlight) / float64(slots)
		if cost < 1 {
			cost = 0.1*cost + 0.3*float64(c.config.Site.distance(instance))
		}
		if cheapest < 0 || cost < minCost {
			cheapest, minCost = i, cost
		}
	}
	if expected.speeds != nil {
		cheapest = expected.soonest(c, now, targets)
	}
	diverted := false
	if anyCold {
		var coldChoice int
		if coldChoice, diverted = c.placeColdPlain(req, targets, &avoided, cheapest >= 0); coldChoice >= 0 {
			return c.place(now, req, targets[coldChoice], 0, false, true)
		}
	}
	decision := refusal
	if cheapest >= 0 {
		decision = c.place(now, req, targets[cheapest], 0, false, false)
	}
	decision.Diverted = diverted
	return decision
}
