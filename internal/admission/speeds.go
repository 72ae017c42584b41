package admission

import (
	"math"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/pace"
	"github.com/mastichollow/mastichollow/internal/target"
)

const (
	// domainCost and regionCost are the times that a request to another failure domain or
	// region takes longer, relative to the mean work of plain services: round trips take
	// about 2 and 16 ms, work 15 to 60 ms.
	domainCost = 0.05
	regionCost = 0.45
	// freeSlotCost is the part of the work by which a request takes longer on a target
	// whose slots are nearly all used. It spreads requests over targets with free slots.
	freeSlotCost = 0.1
	// enginePresentFraction is the part of a request's time at an engine for which the
	// present pace is expected to last: requests run for a second or more, a slowdown of a
	// shared machine for 600 ms, half of which is over on average.
	enginePresentFraction = 0.5
	// minCapacity and maxCapacity bound what a target takes, relative to the mean of its
	// service. An engine that is slower than that is rather failing, and the bound on the
	// predicted wait applies in full; no engine is trusted with a batch much above
	// maxBatchFraction, where streams miss their inter-token objective.
	minCapacity = 0.3
	maxCapacity = 1.4
)

// speedsOf returns the learned speeds of a service, nil if its targets are alike.
func (c *Controller) speedsOf(now time.Duration, service string) *pace.Service {
	if c.config.IgnoreSpeeds || c.config.SpeedsByStatedPace && !c.statesPace[service] {
		return nil
	}
	return c.speeds.Service(now, service)
}

func (c *Controller) reportSpeeds(now time.Duration) map[string]pace.ServiceReport {
	if c.config.IgnoreSpeeds {
		return nil
	}
	return c.speeds.Report(now)
}

// engineSpeedsOf is the same for engines. They are treated as alike if they differ in their
// present pace only: the simulation shows no gain from following slowdowns that are shorter
// than the requests.
func (c *Controller) engineSpeedsOf(now time.Duration, service string) *pace.Service {
	if speeds := c.speedsOf(now, service); speeds != nil && speeds.OwnSpeedsDiffer() {
		return speeds
	}
	return nil
}

// expectedEnds samples one target of a plain service in the local region and one in the
// others, each with a probability that falls with the time that work takes there, and finds
// the one where the request is expected to end first. If all are in the local region or in
// others, it samples two of them. In a large service, a hash of request and target preselects
// a few targets, since the estimates of each cost more than the hash.
//
// Gates that see the same figure sample different targets, so that a target which looks best
// until the next figure gets a part of the requests only. Comparing two targets of each
// instead had 0.75 of the requests in time, and one 0.93 (simulation of shared machines that
// state their pace, at 0.7 of the capacity).
type expectedEnds struct {
	speeds    *pace.Service
	near, far candidateList
}

// add considers a target.
func (e *expectedEnds) add(site *Site, req *Request, instance *target.Instance, index int) {
	score := mixBits(req.Hash ^ instance.Hash)
	if !e.near.accepts(score, maxCandidates) && !e.far.accepts(score, maxCandidates) {
		return
	}
	list := &e.near
	if site.distance(instance) == remoteRegion {
		list = &e.far
	}
	list.add(score, index, maxCandidates)
}

// sample holds the two targets with the lowest keys, lowest first.
type sample struct {
	keys, costs [2]float64
	indexes     [2]int
	n           int
}

func (s *sample) add(key, cost float64, index int) {
	position := s.n
	for position > 0 && s.keys[position-1] > key {
		position--
	}
	if position >= len(s.keys) {
		return
	}
	s.n = min(s.n+1, len(s.keys))
	copy(s.keys[position+1:s.n], s.keys[position:s.n-1])
	copy(s.costs[position+1:s.n], s.costs[position:s.n-1])
	copy(s.indexes[position+1:s.n], s.indexes[position:s.n-1])
	s.keys[position], s.costs[position], s.indexes[position] = key, cost, index
}

// sampleFrom samples targets of a list.
func (e *expectedEnds) sampleFrom(c *Controller, now time.Duration, targets []target.Instance, list *candidateList) sample {
	var sampled sample
	for i, index := range list.indexes[:list.n] {
		instance := &targets[index]
		local := 0
		if l := c.loads.local[instance.ID]; l != nil {
			local = l.InFlight
		}
		slots := float64(max(instance.Slots, 1))
		queue := e.speeds.Queue(now, instance.ID, instance.StartedMillis, c.loads.total(instance.ID).InFlight, local)
		relative := e.speeds.Relative(now, instance.ID, instance.StartedMillis, queue/slots, 1)
		cost := relative * (1 + max(queue+1-slots, 0)/slots + freeSlotCost*min(queue/slots, 1))
		switch c.config.Site.distance(instance) {
		case localRegion:
			cost += domainCost
		case remoteRegion:
			cost += regionCost
		}
		// The smallest of exponentially distributed keys with the rates slots/relative
		// belongs to a target with a probability in proportion to its rate. The scores that
		// were preselected are high, and therefore mixed once more.
		uniform := (float64(mixBits(list.scores[i]+1)>>11) + 0.5) / (1 << 53)
		sampled.add(-math.Log(uniform)*relative/slots, cost, index)
	}
	return sampled
}

// soonest returns the index of the sampled target where the request is expected to end
// first, -1 if there is none.
func (e *expectedEnds) soonest(c *Controller, now time.Duration, targets []target.Instance) int {
	first, second := e.sampleFrom(c, now, targets, &e.near), e.sampleFrom(c, now, targets, &e.far)
	if first.n == 0 {
		first, second = second, first
	}
	switch {
	case first.n == 0:
		return -1
	case second.n > 0 && second.costs[0] < first.costs[0]:
		return second.indexes[0]
	case second.n == 0 && first.n > 1 && first.costs[1] < first.costs[0]:
		return first.indexes[1]
	default:
		return first.indexes[0]
	}
}

// scaled returns the limit and the prompt tokens that a target may have to read, scaled by
// what the target takes relative to the mean of its service. learnedPromptTokens are those
// by the slowdown that times to first events show, which stays a bound.
func (l limit) scaled(now time.Duration, speeds *pace.Service, instance *target.Instance, slots int, load Load, maxPromptTokens, learnedPromptTokens int) (limit, int) {
	relative := speeds.Relative(now, instance.ID, instance.StartedMillis, float64(load.InFlight)/float64(max(slots, 1)), enginePresentFraction)
	l.batchFraction = min(l.batchFraction*min(max(1/relative, minCapacity), maxCapacity), speeds.LoadLimit(instance.ID, instance.StartedMillis))
	return l, min(int(float64(maxPromptTokens)/relative), int(maxCapacity*float64(learnedPromptTokens)))
}

// RecordStatement records what the response to the request states about the load of its
// target.
func (l *Lease) RecordStatement(now time.Duration, stated pace.Statement) {
	c := l.controller
	if c.config.IgnoreSpeeds || !stated.Valid() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	others := 0
	if local := c.loads.local[l.target.ID]; local != nil {
		others = local.InFlight - l.load.InFlight
	}
	l.statedPace = stated.Pace
	if stated.Pace > 0 {
		c.statesPace[l.target.Service] = true
	}
	c.speeds.State(now, l.target.Service, l.target.ID, l.target.StartedMillis, stated, others)
}

// observeSpeed records a time of the request relative to what it takes on average.
func (l *Lease) observeSpeed(now time.Duration, measure pace.Measure, load, weight float64, observed, expected time.Duration) {
	c := l.controller
	if c.config.IgnoreSpeeds || observed <= 0 {
		return
	}
	c.speeds.Observe(now, l.target.Service, l.target.ID, l.target.StartedMillis, pace.Observation{
		Measure: measure, Distance: c.config.Site.distance(&l.target), Load: load, Weight: weight, Ratio: float64(observed) / float64(expected), StatedPace: l.statedPace,
	})
}

// queuedWeight is the weight of the time to a response that waited in a queue. The gates
// know the queues of others 200 to 400 ms late, so that such a time says less about the
// target.
const queuedWeight = 0.25

// observeResponse records the time to the response of a plain service, relative to the
// rounds of work that it waited for.
func (l *Lease) observeResponse() {
	rounds, weight := 1+max(l.relativeLoad-1, 0), 1.0
	if rounds > 1 {
		weight = queuedWeight
	}
	l.observeSpeed(l.respondedAt, pace.ResponseTime, l.relativeLoad, weight, l.respondedAt-l.placedAt, time.Duration(rounds*float64(time.Second)))
}

const (
	// observedEvents is the number of events after the first whose intervals are observed.
	observedEvents = 8
	// observedInterval is the position of the observed interval among them, shortest first.
	// Long intervals contain the reading of other prompts, the shortest ones may be of
	// events that the gate read together.
	observedInterval = 2
)

// observeEvent records an event of the response of an engine.
func (l *Lease) observeEvent(now time.Duration) {
	if l.events <= observedEvents {
		if l.events > 0 {
			l.intervals[l.events-1] = float32((now - l.lastEventAt).Seconds())
		}
		l.lastEventAt = now
		l.events++
	}
	if l.events == observedEvents+1 {
		l.events++
		slices.Sort(l.intervals[:])
		load := float64(l.controller.loads.total(l.target.ID).InFlight) / l.slots
		l.observeSpeed(now, pace.EventInterval, load, 1, time.Duration(float64(l.intervals[observedInterval])*float64(time.Second)), time.Second)
	}
}

// Speeds returns a summary of the learned speeds of each service.
func (c *Controller) Speeds(now time.Duration) []pace.Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config.IgnoreSpeeds {
		return nil
	}
	return c.speeds.Summaries(now)
}
