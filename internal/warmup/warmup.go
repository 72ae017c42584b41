// Package warmup decides which gates may send requests to a cold target, and at what pace.
// A cold target tolerates few requests per second from all gates together, and gates cannot
// rely on messages between each other: some may be partitioned, stale or just started.
//
// Each cold target has a few owners among the gates that the metadata store lists, those of
// its region first, by rendezvous hash. An owner paces its sends by a token bucket; all other
// gates send nothing.
//
// Invariants:
//   - A gate that has not read the list of gates, or is not in it, owns nothing.
//   - A bucket starts empty, holds at most one request and refills at Plan.PerSecond, so that
//     an owner sends at most 1 + PerSecond requests within any second, however long it was
//     suspended before.
//   - If gates see two disjoint lists of gates, there are at most 2 * Plan.Owners owners, and
//     they send at most 2 * Owners * (1 + PerSecond) requests within any second. NewPlan keeps
//     this within the bound of the platform.
package warmup

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mastichollow/mastichollow/internal/target"
)

const (
	// maxOwners is the number of owners of a target if its bound allows it. With three, the
	// target still warms up if two of them are down or get no requests for it.
	maxOwners = 3
	// minOwnerRate is the rate, in requests per second, that each owner must have for there
	// to be a further one: the requests of one burst would use the bound up otherwise.
	minOwnerRate = 1
	// viewCount is the number of disjoint lists of gates for which the bound must hold.
	viewCount = 2
	// singleSendRate is the rate, in requests per second, for bounds that allow each owner
	// one request within a second: two sends are then always more than a second apart.
	singleSendRate = 0.9
	// repeatedWorkspaceDelay is how long a request that could be sent is left to other
	// workspaces than that of the previous request to the target.
	repeatedWorkspaceDelay = 200 * time.Millisecond
)

// Plan is how the requests to a cold target of a service are divided among gates.
type Plan struct {
	Owners    int     // of each target; 0: no gate may send
	PerSecond float64 // requests per second of each owner
}

// NewPlan returns the plan for targets that tolerate perSecond requests per second while cold,
// where maxPerSecond requests within any second are a violation. If the bound does not allow
// one request of one owner in each of two disjoint views, no gate may send.
func NewPlan(perSecond, maxPerSecond float64) Plan {
	for owners := maxOwners; owners >= 1; owners-- {
		allowed := maxPerSecond / float64(viewCount*owners) // requests of one owner within a second
		rate := allowed - 1
		if owners > 1 && min(rate, perSecond/float64(owners)) < minOwnerRate {
			continue
		}
		if allowed >= 1 {
			rate = max(rate, singleSendRate)
		}
		if rate = min(rate, perSecond/float64(owners)); rate > 0 {
			return Plan{Owners: owners, PerSecond: rate}
		}
	}
	return Plan{}
}

// WorstCase returns the most requests within any second that all gates together send to a
// target if they see the given number of disjoint lists of gates.
func (p Plan) WorstCase(views int) float64 {
	perOwner := 1 + p.PerSecond
	if p.PerSecond < 1 {
		perOwner = 1
	}
	return float64(views*p.Owners) * perOwner
}

// Gate is a gate that the metadata store lists.
type Gate struct {
	Node   string
	Region string
}

// Pacer holds the owned targets of one gate and their buckets. It is not safe for concurrent
// use. Times are of a clock that need not advance while the machine is suspended.
type Pacer struct {
	node   string
	gates  []Gate // sorted by node
	listed bool   // this gate is in the list of gates
	// generation counts the changes of gates and plans, which may change the owners.
	generation uint64
	plans      map[string]Plan  // by service
	paces      map[string]*pace // by target ID
}

// pace is the state of one target.
type pace struct {
	startedMillis int64
	generation    uint64 // of owned
	owned         bool
	perSecond     float64
	tokens        float64 // as of refilledAt, at most 1
	refilledAt    time.Duration
	fullSince     time.Duration // when the bucket became full; valid while it is
	workspace     string        // of the previous request
}

// NewPacer returns a pacer that owns nothing.
func NewPacer() *Pacer { return &Pacer{paces: make(map[string]*pace)} }

// SetGates replaces the list of gates; node is this gate. Buckets of targets that stay owned
// keep their content.
func (p *Pacer) SetGates(node string, gates []Gate) {
	listed := slices.Clone(gates)
	slices.SortFunc(listed, func(a, b Gate) int { return cmp.Compare(a.Node, b.Node) })
	if p.node == node && slices.Equal(p.gates, listed) {
		return
	}
	p.node, p.gates = node, listed
	p.listed = slices.ContainsFunc(listed, func(g Gate) bool { return g.Node == node })
	p.generation++
}

// SetPlans replaces the plans, by service. A service without one has no cold phase.
func (p *Pacer) SetPlans(plans map[string]Plan) {
	if maps.Equal(plans, p.plans) {
		return
	}
	p.plans = maps.Clone(plans)
	p.generation++
}

// HasPlan reports whether the service has a cold phase.
func (p *Pacer) HasPlan(service string) bool {
	_, found := p.plans[service]
	return found
}

// Admits reports whether this gate may send a request of the workspace to a cold target now.
// The region is that of the target.
func (p *Pacer) Admits(now time.Duration, instance *target.Instance, region, workspace string) bool {
	t := p.paceOf(now, instance, region)
	if t == nil || t.tokens < 1 {
		return false
	}
	return workspace == "" || workspace != t.workspace || now-t.fullSince >= repeatedWorkspaceDelay
}

// Consume counts a request of the workspace that this gate sends to a cold target.
func (p *Pacer) Consume(now time.Duration, instance *target.Instance, region, workspace string) {
	if t := p.paceOf(now, instance, region); t != nil {
		t.tokens--
		t.workspace = workspace
	}
}

// Wait returns the time until this gate may send a request to a cold target, and false if it
// does not own it.
func (p *Pacer) Wait(now time.Duration, instance *target.Instance, region string) (time.Duration, bool) {
	t := p.paceOf(now, instance, region)
	if t == nil {
		return 0, false
	}
	return time.Duration(max(1-t.tokens, 0) / t.perSecond * float64(time.Second)), true
}

// Retain removes the state of targets for which live returns false.
func (p *Pacer) Retain(live func(id string) bool) {
	maps.DeleteFunc(p.paces, func(id string, _ *pace) bool { return !live(id) })
}

// paceOf returns the state of a target, refilled until now; nil if this gate does not own it.
func (p *Pacer) paceOf(now time.Duration, instance *target.Instance, region string) *pace {
	t := p.paces[instance.ID]
	if t == nil {
		t = &pace{generation: p.generation - 1}
		p.paces[instance.ID] = t
	}
	if t.generation != p.generation {
		plan := p.plans[instance.Service]
		owned := p.owns(plan, instance.ID, region)
		if !t.owned {
			t.tokens, t.refilledAt = 0, now
		}
		t.generation, t.owned, t.perSecond = p.generation, owned, plan.PerSecond
	}
	if !t.owned {
		return nil
	}
	if t.startedMillis != instance.StartedMillis {
		t.startedMillis, t.tokens, t.refilledAt = instance.StartedMillis, 0, now
	}
	t.refill(now)
	return t
}

func (t *pace) refill(now time.Duration) {
	elapsed := (now - t.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	if t.tokens < 1 {
		t.tokens += t.perSecond * elapsed
		if t.tokens >= 1 {
			t.fullSince = now - time.Duration((t.tokens-1)/t.perSecond*float64(time.Second))
			t.tokens = 1
		}
	}
	t.refilledAt = now
}

// owns reports whether this gate is one of the first plan.Owners gates for the target: those
// of its region come before the others, each by rendezvous hash.
func (p *Pacer) owns(plan Plan, id, region string) bool {
	if !p.listed || plan.Owners == 0 || plan.PerSecond <= 0 {
		return false
	}
	self := slices.IndexFunc(p.gates, func(g Gate) bool { return g.Node == p.node })
	local, score := p.gates[self].Region == region, rendezvousScore(p.node, id)
	before := 0
	for i := range p.gates {
		g := &p.gates[i]
		if i == self {
			continue
		}
		if inRegion := g.Region == region; inRegion != local {
			if inRegion {
				before++
			}
			continue
		}
		if other := rendezvousScore(g.Node, id); other > score || other == score && g.Node < p.node {
			before++
		}
	}
	return before < plan.Owners
}

func rendezvousScore(node, id string) uint64 { return xxhash.Sum64String(node + "\x00" + id) }
