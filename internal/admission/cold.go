package admission

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/warmup"
)

const (
	// maxColdWorkFactor bounds the work of a request that a cold target gets although warm ones
	// are available, as a multiple of the mean work of the service's requests: cold targets get
	// few requests, and long ones would miss their objectives there.
	maxColdWorkFactor = 2
	// minColdRetryAfter is the least time after which a caller may try again that was refused
	// because all targets are cold: the latency objectives are some hundred milliseconds.
	minColdRetryAfter = 50 * time.Millisecond
)

// SetGates replaces the gates that the metadata store lists, including this one if it is
// listed. They decide which gates may send requests to a cold target.
func (c *Controller) SetGates(node string, gates []warmup.Gate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.warmup.SetGates(node, gates)
}

// SetWarmupPlans replaces the plans for cold targets, by service.
func (c *Controller) SetWarmupPlans(plans map[string]warmup.Plan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.warmup.SetPlans(plans)
}

// ColdUse counts requests of services with cold targets.
type ColdUse struct {
	Sends    int // placed on a cold target
	Diverted int // whose first choice was a cold target that did not get them
}

// TakeColdUse returns the counts since the previous call.
func (c *Controller) TakeColdUse() ColdUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	use := c.coldUse
	c.coldUse = ColdUse{}
	return use
}

// cold reports whether a target is treated as cold.
func (a *avoidedTargets) cold(instance *target.Instance) bool {
	return instance.ColdUntil > a.now || a.allCold
}

func (c *Controller) admitsCold(now time.Duration, req *Request, instance *target.Instance) bool {
	return c.warmup.Admits(now, instance, c.regionOf(instance), req.Workspace)
}

func (c *Controller) regionOf(instance *target.Instance) string {
	return c.config.Site.Regions[instance.Domain]
}

// coldCandidates are the cold targets that are the first choices of a request in the local region
// and in all regions, whether or not this gate may send to them.
type coldCandidates struct {
	local, global candidateList
}

// firstAdmittedCold returns the first cold target by rendezvous hash that this gate may send to.
func (c *Controller) firstAdmittedCold(req *Request, targets []target.Instance, avoided *avoidedTargets) (admitted candidateList) {
	key := affinityHash(req.Parts, req.Hash)
	for i := range targets {
		instance := &targets[i]
		if score := mixBits(key ^ instance.Hash); admitted.accepts(score, 1) && avoided.cold(instance) && !avoided.contains(instance) && !avoided.limited(instance) && c.admitsCold(avoided.now, req, instance) {
			admitted.add(score, i, 1)
		}
	}
	return admitted
}

// chooseCold adds a cold target to the warm candidates of a request for an engine, as the first
// one, if it is the first choice of the request: later requests with the same prompt parts come
// to it again. Without any warm candidate, the request may go to any cold target that this gate
// may send to. global holds the warm candidates of all regions, and warmLocal says that some of
// warm are in the local region. diverted reports whether the first choice is a cold target that
// the request may not go to.
func (c *Controller) chooseCold(req *Request, targets []target.Instance, avoided *avoidedTargets, cold *coldCandidates, warm, global candidateList, warmLocal bool) (candidates candidateList, diverted bool) {
	if warm.n == 0 {
		admitted := c.firstAdmittedCold(req, targets, avoided)
		return admitted, admitted.n == 0
	}
	first, isFirstChoice := -1, true
	switch {
	case cold.local.n > 0 && (!warmLocal || cold.local.scores[0] > warm.scores[0]):
		first = cold.local.indexes[0]
	case cold.global.scores[0] > global.scores[0]:
		// A gate owns targets of another region only if that has few gates, whose requests may
		// not suffice to warm them up.
		first, isFirstChoice = cold.global.indexes[0], !warmLocal
	}
	if first < 0 {
		return warm, false
	}
	mean := c.engines[req.Service].meanWork
	if mean > 0 && req.work() > maxColdWorkFactor*mean || !c.admitsCold(avoided.now, req, &targets[first]) {
		return warm, isFirstChoice
	}
	copy(warm.indexes[1:], warm.indexes[:])
	warm.indexes[0], warm.n = first, min(warm.n+1, len(warm.indexes))
	return warm, false
}

// placeColdPlain places a request of a plain service on a cold target if it is the first choice
// of the request by rendezvous hash or there is no warm target with capacity, and if this gate
// may send to it. It returns the index of that target, -1 if there is none.
func (c *Controller) placeColdPlain(req *Request, targets []target.Instance, avoided *avoidedTargets, warmFound bool) (index int, diverted bool) {
	var first, admitted candidateList
	for i := range targets {
		instance := &targets[i]
		if avoided.contains(instance) || avoided.limited(instance) {
			continue
		}
		score := mixBits(req.Hash ^ instance.Hash)
		first.add(score, i, 1)
		if avoided.cold(instance) && admitted.accepts(score, 1) && c.loads.total(instance.ID).InFlight < max(instance.Slots, 1) && c.admitsCold(avoided.now, req, instance) {
			admitted.add(score, i, 1)
		}
	}
	switch {
	case first.n == 0 || warmFound && !avoided.cold(&targets[first.indexes[0]]):
		return -1, false
	case admitted.n == 0 || warmFound && admitted.indexes[0] != first.indexes[0]:
		return -1, true
	default:
		return admitted.indexes[0], false
	}
}

// coldWait returns the time until this gate may send to one of the cold targets that it owns, or
// else until the first target is warm; 0 if no target is cold.
func (c *Controller) coldWait(targets []target.Instance, avoided *avoidedTargets) time.Duration {
	owned, unowned := time.Duration(0), time.Duration(0)
	for i := range targets {
		instance := &targets[i]
		if !avoided.cold(instance) || avoided.contains(instance) {
			continue
		}
		if wait, owner := c.warmup.Wait(avoided.now, instance, c.regionOf(instance)); owner {
			owned = earlier(owned, wait)
			continue
		}
		unowned = earlier(unowned, instance.ColdUntil-avoided.now)
	}
	if owned > 0 {
		return owned
	}
	return unowned
}

// earlier returns the lesser of a wait and a further one, which counts as at least
// minColdRetryAfter; 0 means no wait yet.
func earlier(wait, further time.Duration) time.Duration {
	if further = max(further, minColdRetryAfter); wait == 0 || further < wait {
		return further
	}
	return wait
}
