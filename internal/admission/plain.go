package admission

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
)

// plainQueue is how many requests a plain service may hold, as a multiple of its
// slots: those that run and two rounds that wait.
const plainQueue = 3

// placePlain takes the nearest target with a free slot, else the one with the
// shortest queue.
func (c *Controller) placePlain(now time.Duration, req *Request, targets []target.Instance, avoid avoided) Decision {
	best, bestCost := -1, 0.0
	refused := Decision{Refused: request.ReasonNoTarget}
	for i := range targets {
		in := &targets[i]
		if avoid.has(in) {
			continue
		}
		slots := max(in.Slots, 1)
		load := c.loads.of(in.ID)
		if load.Running >= plainQueue*slots {
			refused = Decision{Refused: request.ReasonOverloaded, Target: *in, Load: load, RetryAfter: req.returnAfter()}
			continue
		}
		cost := float64(load.Running) / float64(slots)
		if cost < 1 {
			cost = 0.1*cost + 0.3*float64(c.config.Site.distance(in))
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return refused
	}
	return c.place(now, req, targets[best], 0, false)
}
