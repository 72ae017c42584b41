package overload

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/admission"
)

// Outage is a crash of the first Engines engines. They lose their requests and their
// cache, refuse connections, and restart under the same ID.
type Outage struct {
	Start, Length time.Duration
	Engines       int
}

func (sim *simulation) scheduleOutage(o *Outage) {
	crashed := sim.engines[:o.Engines]
	sim.schedule(o.Start, func(now time.Duration) {
		for _, e := range crashed {
			sim.crash(now, e)
		}
	})
	sim.schedule(o.Start+o.Length, func(time.Duration) {
		for _, e := range crashed {
			e.down = false
		}
	})
}

// crash loses the requests of an engine. Their callers get no answer that says whether
// they ran, so they don't retry.
func (sim *simulation) crash(now time.Duration, e *engine) {
	e.down = true
	for _, j := range append(e.jobs, e.waiting...) {
		j.request.lease.End(now, admission.ResultLost, sim.targets)
		if j.started {
			continue
		}
		for _, o := range j.request.outcomes {
			o.Lost++
		}
	}
	e.jobs, e.waiting = nil, nil
	clear(e.cachedParts)
}
