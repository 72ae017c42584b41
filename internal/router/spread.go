package router

import (
	"context"
	"time"

	"github.com/mastichollow/mastichollow/internal/placement"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
)

const (
	// maxDoublings bounds the growth of steps.
	maxDoublings = 8
	// orderAge is how long the order of agents is kept: less than the age of
	// the loads that it follows.
	orderAge = time.Second
)

// askHome offers the call to its home agent.
func (b *binding) askHome(ctx context.Context) {
	home := placement.Home(b.agents(), b.x.r.cfg.Site, b.x.c.content)
	if home != nil {
		b.home = b.ask(ctx, *home, true)
	}
}

// step asks further agents unless the call waits as a duplicate.
func (b *binding) step(ctx context.Context) {
	if !b.duplicate {
		b.widen(ctx)
	}
	b.steps++
}

// pause returns the time until the next step. It doubles with each step, as
// does the number of agents asked, but no multiple of SpillAfter is missed.
func (b *binding) pause() time.Duration {
	timing := b.x.r.cfg.Timing
	toSpill := timing.SpillAfter - time.Since(b.x.began)%timing.SpillAfter
	return min(timing.Widen<<min(b.steps-1, maxDoublings), toSpill)
}

// widen offers the call to the next agents and returns their number.
func (b *binding) widen(ctx context.Context) int {
	timing := b.x.r.cfg.Timing
	plan := b.plan()
	room := min(timing.OffersPerStep<<min(b.steps, maxDoublings), timing.OffersPerRound-len(b.asked))
	added := b.askAll(ctx, plan.LocalRegion, room)
	return added + b.askFar(ctx, plan.RemoteRegions, room-added)
}

// askFar offers the call to agents of other regions: to those of domains with
// free slots, and to the others one for each SpillAfter that the call has
// waited, or at once when nobody nearer is left.
func (b *binding) askFar(ctx context.Context, agents []target.VM, room int) int {
	n := 0
	for n < len(agents) && b.hasFree(agents[n].Domain) {
		n++
	}
	added := b.askAll(ctx, agents[:n], room)
	if b.open > 0 {
		waited := int(time.Since(b.x.began) / b.x.r.cfg.Timing.SpillAfter)
		room = min(room, waited-b.spilled+added)
	}
	spilled := b.askAll(ctx, agents[n:], room-added)
	b.spilled += spilled
	return added + spilled
}

// askAll offers the call to the first room agents that were not asked yet.
// Agents at which it failed before come last.
func (b *binding) askAll(ctx context.Context, agents []target.VM, room int) int {
	added := 0
	for _, again := range []bool{false, true} {
		for _, vm := range agents {
			if added >= room {
				return added
			}
			if b.asked[vm.ID] != nil || b.x.failed[vm.ID] != again {
				continue
			}
			b.ask(ctx, vm, false)
			added++
		}
	}
	return added
}

// hasFree reports whether the failure domain was last seen with free slots and
// nothing waiting.
func (b *binding) hasFree(domain string) bool {
	load, ok := b.x.r.cfg.Store.Load(domain, b.x.c.pool)
	return ok && load.Free > 0 && load.Queued == 0
}

// agents returns the agents that are live now.
func (b *binding) agents() []target.VM {
	if p := b.x.r.index.get().pools[b.x.c.pool]; p != nil {
		return p.agents
	}
	return nil
}

// agentOrder is the order of the agents of one snapshot for one call.
type agentOrder struct {
	plan placement.Plan
	of   *index // nil: none was made
	made time.Time
}

// plan orders the agents that are live now. An order is kept for orderAge, since
// it costs more than the offers of a step when the pool has many agents.
func (b *binding) plan() placement.Plan {
	now, idx := time.Now(), b.x.r.index.get()
	if b.order.of != idx || now.Sub(b.order.made) >= orderAge {
		plan := placement.NewPlan(b.agents(), b.x.r.cfg.Site, b.x.c.content, b.hasFree)
		b.order = agentOrder{plan: plan, of: idx, made: now}
	}
	return b.order.plan
}

// ask opens a stream with an offer to vm.
func (b *binding) ask(ctx context.Context, vm target.VM, home bool) *leg {
	c := b.x.c
	l := &leg{
		attempt: request.NewAttemptID(),
		agent:   vm,
		link:    b.x.r.cfg.Site.LinkTo(vm),
		home:    home,
		round:   b.x.round,
	}
	l.first = &wire.Offer{
		Request:     c.id,
		Attempt:     l.attempt,
		Workspace:   c.row.ID,
		Pool:        c.pool,
		Class:       c.class,
		CostHint:    c.costHint,
		Deadline:    time.Until(c.deadline),
		Claim:       c.claim,
		Fingerprint: c.content.Fingerprint,
		Version:     c.version,
		Region:      b.x.r.cfg.Site.Region,
		Suspect:     b.x.suspect || b.x.c.suspect,
		Home:        home,
	}
	b.asked[vm.ID] = l
	b.open++
	b.x.r.metrics.offered(l)
	b.x.legs.start(ctx, l)
	return l
}
