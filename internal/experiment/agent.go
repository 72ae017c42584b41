package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/fairness"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

const (
	// productionInterval is the interval at which running requests produce units.
	productionInterval = 100 * time.Millisecond
	// extraGrants is the number of grants beyond the slots, so that a request is staged
	// when a slot gets free.
	extraGrants = 1
	// prefillTime is the time from the start of a request to its first token.
	prefillTime = 100 * time.Millisecond
)

// agent is a fake agent and its target. Its ledger and queue are the real ones.
type agent struct {
	sim                *simulation
	region             int
	index              int
	vm                 target.VM
	ledger             *fairness.Ledger
	queue              *fairness.Queue
	offers             map[request.AttemptID]*offer
	granted            int
	occupiedBatchSlots int // batch requests granted, staged or running
	staged             []*call
	running            []*call
	draining           bool
	reportSequence     uint64
	homeOffers         map[workspace.RowID]int
	lastReported       map[workspace.RowID]wire.Total
}

// offer is a request that waits for a grant at one agent.
type offer struct {
	call  *call
	entry fairness.WaitingOffer
	home  bool
}

func newAgent(sim *simulation, region, index int) *agent {
	settings := fairness.Settings{LocalSource: regionName(region), Estimate: sim.policy.Estimate}
	a := &agent{
		sim: sim, region: region, index: index,
		ledger:       fairness.NewLedgerWith(settings),
		offers:       make(map[request.AttemptID]*offer),
		homeOffers:   make(map[workspace.RowID]int),
		lastReported: make(map[workspace.RowID]wire.Total),
	}
	a.queue = fairness.NewQueue(a.ledger)
	a.ledger.SetWeights(sim.weights())
	a.vm = target.VM{
		ID: fmt.Sprint("agent-", index), Role: target.RoleAgent, Pool: pool, Kind: target.KindModel,
		Region: regionName(region), Domain: regionName(region), State: target.StateLive,
	}
	return a
}

func (a *agent) start() {
	a.sim.Every(a.sim.jitter(productionInterval), productionInterval, a.produce)
	a.sim.Every(a.sim.jitter(a.sim.policy.ReportPeriod), a.sim.policy.ReportPeriod, a.sendReport)
	a.sim.Every(a.sim.jitter(time.Second), time.Second, func() { a.ledger.Expire(a.sim.wallTime()) })
}

// slots returns the number of requests that may run at once.
func (a *agent) slots() int { return a.sim.deployment.Slots + a.sim.policy.ExtraSlots }

// batchSlots returns the number of slots that batch requests may occupy.
func (a *agent) batchSlots() int { return a.sim.deployment.Slots - a.sim.policy.ReservedSlots }

func (a *agent) occupied() int { return a.granted + len(a.staged) + len(a.running) }

// enqueue queues an offer of c; home says that this is its home agent.
func (a *agent) enqueue(c *call, home bool) {
	if a.draining || c.granted || c.lost {
		return
	}
	id := request.AttemptID(fmt.Sprint(c.id, "-", a.index))
	if a.offers[id] != nil {
		return
	}
	entry := fairness.WaitingOffer{Attempt: id, Workspace: c.workspace, Class: c.class, CostHint: c.costHint}
	if err := a.queue.Push(entry, queueLimit); err != nil {
		return
	}
	a.offers[id] = &offer{call: c, entry: entry, home: home}
	if home {
		a.homeOffers[c.workspace]++
	}
	a.dispatch()
}

// withdraw removes the offer of c, if there is one.
func (a *agent) withdraw(c *call) {
	if o := a.offers[request.AttemptID(fmt.Sprint(c.id, "-", a.index))]; o != nil {
		a.queue.Remove(o.entry)
		a.removeOffer(o)
	}
}

func (a *agent) removeOffer(o *offer) {
	delete(a.offers, o.entry.Attempt)
	if o.home {
		a.homeOffers[o.call.workspace]--
	}
}

// dispatch starts staged requests and grants offers as far as the slots allow.
func (a *agent) dispatch() {
	a.startStaged()
	for !a.draining && a.occupied() < a.slots()+extraGrants {
		e, ok := a.queue.Pop(a.eligible)
		if !ok {
			return
		}
		o := a.offers[e.Attempt]
		a.removeOffer(o)
		a.grant(o.call)
	}
}

func (a *agent) eligible(e fairness.WaitingOffer) bool {
	return e.Class != request.ClassBatch || a.occupiedBatchSlots < a.batchSlots()+extraGrants
}

// grant reserves a slot for c until its router responds.
func (a *agent) grant(c *call) {
	a.granted++
	a.addBatchSlots(c, 1)
	running := a.ledger.Start(c.workspace, c.costHint)
	sent := a.sim.net.send(a.region, c.router.region, func() {
		accepted := c.router.acceptGrant(c, a)
		a.sim.After(a.sim.net.delay(a.region, c.router.region), func() { a.settleGrant(c, running, accepted) })
	})
	if !sent {
		a.settleGrant(c, running, false)
		c.router.offerDropped(c, a)
	}
}

// settleGrant handles the router's response to a grant: the body of the request, or a
// refusal.
func (a *agent) settleGrant(c *call, running *fairness.RunningRequest, accepted bool) {
	a.granted--
	if accepted {
		c.running = running
		a.staged = append(a.staged, c)
	} else {
		running.Cancel()
		a.addBatchSlots(c, -1)
	}
	a.dispatch()
}

func (a *agent) addBatchSlots(c *call, n int) {
	if c.class == request.ClassBatch {
		a.occupiedBatchSlots += n
	}
}

// startStaged starts staged requests, whose bodies have arrived, in free slots;
// interactive requests first.
func (a *agent) startStaged() {
	for len(a.running) < a.slots() {
		i := a.nextStaged()
		if i < 0 {
			return
		}
		c := a.staged[i]
		a.staged = slices.Delete(a.staged, i, i+1)
		c.startedAt = a.sim.Now()
		a.running = append(a.running, c)
		a.sim.meter.recordFirstToken(c, a)
	}
}

func (a *agent) nextStaged() int {
	if i := slices.IndexFunc(a.staged, func(c *call) bool { return c.class == request.ClassInteractive }); i >= 0 {
		return i
	}
	batch := 0
	for _, c := range a.running {
		if c.class == request.ClassBatch {
			batch++
		}
	}
	if len(a.staged) > 0 && batch < a.batchSlots() {
		return 0
	}
	return -1
}

// produce advances the running requests by one productionInterval and charges their
// workspaces.
func (a *agent) produce() {
	d := &a.sim.deployment
	rateFactor := min(1, float64(d.Slots)/float64(max(len(a.running), 1)))
	units := d.UnitsPerSecond * rateFactor * productionInterval.Seconds()
	unfinished := a.running[:0]
	for _, c := range a.running {
		produced := min(units, c.remaining)
		c.remaining -= produced
		c.produced += produced
		due := int64(c.produced) - c.charged
		c.charged += due
		c.running.Charge(due)
		a.sim.meter.recordService(c, a, produced)
		if c.remaining > 0 {
			unfinished = append(unfinished, c)
			continue
		}
		a.finish(c)
	}
	clear(a.running[len(unfinished):])
	a.running = unfinished
	a.dispatch()
}

func (a *agent) finish(c *call) {
	c.running.Finish()
	a.addBatchSlots(c, -1)
	a.sim.After(a.sim.net.delay(a.region, c.router.region), c.done)
}

// drain drops all offers and accepts no more; running requests complete.
func (a *agent) drain() {
	a.draining = true
	a.sim.vmsChangedAt = a.sim.Now()
	for _, o := range a.sortedOffers() {
		a.queue.Remove(o.entry)
		a.removeOffer(o)
		o.call.router.offerDropped(o.call, a)
	}
}

// dropPartitionedOffers drops the offers of routers that are unreachable.
func (a *agent) dropPartitionedOffers() {
	for _, o := range a.sortedOffers() {
		if a.sim.net.partitioned(a.region, o.call.router.region) {
			a.queue.Remove(o.entry)
			a.removeOffer(o)
			o.call.router.offerDropped(o.call, a)
		}
	}
}

func (a *agent) sortedOffers() []*offer {
	list := make([]*offer, 0, len(a.offers))
	for _, o := range a.offers {
		list = append(list, o)
	}
	slices.SortFunc(list, func(x, y *offer) int { return int(x.call.id) - int(y.call.id) })
	return list
}

// sendReport sends the totals to the relay. Only changed totals are counted as bytes on
// the wire; the relay gets all of them, since it would have the others from earlier
// reports.
func (a *agent) sendReport() {
	a.reportSequence++
	totals := a.totals()
	r := &wire.Report{
		Member: a.vm.ID, Incarnation: 1, Sequence: a.reportSequence, TableVersion: 1,
		Pools: []wire.PoolTotals{totals},
	}
	sent := *r
	sent.Pools = []wire.PoolTotals{a.changedTotals(totals)}
	a.sim.meter.countMessage(&sent, a.region, a.region)
	a.sim.net.sendControl(a.region, a.region, func() { a.sim.relays[a.region].storeReport(r) })
}

// changedTotals returns totals without the rows that haven't changed since the last
// report.
func (a *agent) changedTotals(totals wire.PoolTotals) wire.PoolTotals {
	all := totals.Totals
	totals.Totals = nil
	for _, s := range all {
		if a.lastReported[s.Workspace] != s {
			a.lastReported[s.Workspace] = s
			totals.Totals = append(totals.Totals, s)
		}
	}
	return totals
}

func (a *agent) totals() wire.PoolTotals {
	p := wire.PoolTotals{Pool: pool, Free: uint32(max(a.slots()-a.occupied(), 0)), Queued: uint32(a.queue.Len())}
	totals := make(map[workspace.RowID]wire.Total)
	for _, t := range a.ledger.LocalTotals() {
		totals[t.Workspace] = wire.Total{Workspace: t.Workspace, Service: t.Service, Running: t.Running}
	}
	for ws, n := range a.homeOffers {
		s := totals[ws]
		s.Workspace = ws
		s.Queued = uint32(n)
		totals[ws] = s
	}
	p.Totals = sortTotals(totals)
	return p
}

// applyDigest applies the totals of a region to the ledger, if the policy counts them.
func (a *agent) applyDigest(region int, incarnation, sequence uint64, totals []wire.Total) {
	if a.sim.policy.Scope == ScopeAgent || (a.sim.policy.Scope == ScopeRegion && region != a.region) {
		return
	}
	u := fairness.Update{
		Source:   fairness.Source{Name: regionName(region), Incarnation: incarnation},
		Sequence: sequence,
		Full:     true,
		At:       a.sim.wallTime(),
	}
	for _, s := range totals {
		u.Totals = append(u.Totals, fairness.Total{
			Workspace: s.Workspace, Service: s.Service, Running: s.Running, Queued: s.Queued,
		})
	}
	a.ledger.Apply(u)
	a.dispatch()
}
