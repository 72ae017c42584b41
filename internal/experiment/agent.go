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
	// tick is how often running requests produce.
	tick = 100 * time.Millisecond
	// spareGrants is the number of grants beyond the slots.
	spareGrants = 1
	// prefill is the time from the start of a request to its first token.
	prefill = 100 * time.Millisecond
)

// agent is a fake agent with its target around the real ledger and queue.
type agent struct {
	w       *world
	region  int
	index   int
	vm      target.VM
	ledger  *fairness.Ledger
	queue   *fairness.Queue
	offers  map[request.AttemptID]*offer
	granted int
	batch   int // batch requests granted, staged or running
	staged  []*call
	running []*call
	leaving bool
	reports uint64
	homes   map[workspace.RowID]int
	told    map[workspace.RowID]wire.Sum // as last reported
}

// offer is a request that waits at one agent.
type offer struct {
	call  *call
	entry fairness.WaitingOffer
	home  bool
}

func newAgent(w *world, region, index int) *agent {
	settings := fairness.Settings{LocalSource: regionName(region), Estimate: w.policy.Estimate}
	a := &agent{
		w: w, region: region, index: index,
		ledger: fairness.NewLedgerWith(settings),
		offers: make(map[request.AttemptID]*offer),
		homes:  make(map[workspace.RowID]int),
		told:   make(map[workspace.RowID]wire.Sum),
	}
	a.queue = fairness.NewQueue(a.ledger)
	a.ledger.SetWeights(w.weights())
	a.vm = target.VM{
		ID: fmt.Sprint("agent-", index), Role: target.RoleAgent, Pool: pool, Kind: target.KindModel,
		Region: regionName(region), Domain: regionName(region), State: target.StateLive,
	}
	return a
}

func (a *agent) start() {
	a.w.Every(a.w.jitter(tick), tick, a.produce)
	a.w.Every(a.w.jitter(a.w.policy.Report), a.w.policy.Report, a.report)
	a.w.Every(a.w.jitter(time.Second), time.Second, func() { a.ledger.Expire(a.w.time()) })
}

// slots is the number of requests that may run at once.
func (a *agent) slots() int { return a.w.deployment.Slots + a.w.policy.Extra }

// batchSlots is the number of them that batch requests may take.
func (a *agent) batchSlots() int { return a.w.deployment.Slots - a.w.policy.Reserved }

func (a *agent) occupied() int { return a.granted + len(a.staged) + len(a.running) }

// push queues an offer.
func (a *agent) push(c *call, home bool) {
	if a.leaving || c.bound || c.lost {
		return
	}
	id := request.AttemptID(fmt.Sprint(c.id, "-", a.index))
	if a.offers[id] != nil {
		return
	}
	entry := fairness.WaitingOffer{Attempt: id, Workspace: c.ws, Class: c.class, CostHint: c.hint}
	if err := a.queue.Push(entry, queueLimit); err != nil {
		return
	}
	a.offers[id] = &offer{call: c, entry: entry, home: home}
	if home {
		a.homes[c.ws]++
	}
	a.dispatch()
}

// withdraw takes an offer back.
func (a *agent) withdraw(c *call) {
	if o := a.offers[request.AttemptID(fmt.Sprint(c.id, "-", a.index))]; o != nil {
		a.queue.Remove(o.entry)
		a.forget(o)
	}
}

func (a *agent) forget(o *offer) {
	delete(a.offers, o.entry.Attempt)
	if o.home {
		a.homes[o.call.ws]--
	}
}

// dispatch starts and grants what the slots allow.
func (a *agent) dispatch() {
	a.startStaged()
	for !a.leaving && a.occupied() < a.slots()+spareGrants {
		e, ok := a.queue.Pop(a.eligible)
		if !ok {
			return
		}
		o := a.offers[e.Attempt]
		a.forget(o)
		a.grant(o.call)
	}
}

func (a *agent) eligible(e fairness.WaitingOffer) bool {
	return e.Class != request.ClassBatch || a.batch < a.batchSlots()+spareGrants
}

// grant gives c a slot and waits for its body.
func (a *agent) grant(c *call) {
	a.granted++
	a.countBatch(c, 1)
	account := a.ledger.Start(c.ws, c.hint)
	ok := a.w.net.send(a.region, c.router.region, func() {
		won := c.router.take(c, a)
		a.w.After(a.w.net.delay(a.region, c.router.region), func() { a.settle(c, account, won) })
	})
	if !ok {
		a.settle(c, account, false)
		c.router.handBack(c, a)
	}
}

// settle takes the router's answer to a grant.
func (a *agent) settle(c *call, account *fairness.RunningRequest, won bool) {
	a.granted--
	if won {
		c.account = account
		a.staged = append(a.staged, c)
	} else {
		account.Cancel()
		a.countBatch(c, -1)
	}
	a.dispatch()
}

func (a *agent) countBatch(c *call, n int) {
	if c.class == request.ClassBatch {
		a.batch += n
	}
}

// startStaged gives free slots to requests whose bodies are here, interactive
// ones first.
func (a *agent) startStaged() {
	for len(a.running) < a.slots() {
		i := a.nextStaged()
		if i < 0 {
			return
		}
		c := a.staged[i]
		a.staged = slices.Delete(a.staged, i, i+1)
		c.started = a.w.Now()
		a.running = append(a.running, c)
		a.w.meter.first(c, a)
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

// produce lets the running requests produce for one tick.
func (a *agent) produce() {
	d := &a.w.deployment
	share := min(1, float64(d.Slots)/float64(max(len(a.running), 1)))
	units := d.Speed * share * tick.Seconds()
	kept := a.running[:0]
	for _, c := range a.running {
		produced := min(units, c.left)
		c.left -= produced
		c.produced += produced
		due := int64(c.produced) - c.charged
		c.charged += due
		c.account.Charge(due)
		a.w.meter.served(c, a, produced)
		if c.left > 0 {
			kept = append(kept, c)
			continue
		}
		a.finish(c)
	}
	clear(a.running[len(kept):])
	a.running = kept
	a.dispatch()
}

func (a *agent) finish(c *call) {
	c.account.Finish()
	a.countBatch(c, -1)
	a.w.After(a.w.net.delay(a.region, c.router.region), c.done)
}

// leave lets the running requests end and takes no more.
func (a *agent) leave() {
	a.leaving = true
	a.w.changed = a.w.Now()
	for _, o := range a.sortedOffers() {
		a.queue.Remove(o.entry)
		a.forget(o)
		o.call.router.handBack(o.call, a)
	}
}

// dropCut drops the offers of routers that are cut off.
func (a *agent) dropCut() {
	for _, o := range a.sortedOffers() {
		if a.w.net.cut(a.region, o.call.router.region) {
			a.queue.Remove(o.entry)
			a.forget(o)
			o.call.router.handBack(o.call, a)
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

// report sends the sums to the relay. On the wire are those that have changed;
// the relay is given all, as it would know them from the reports before.
func (a *agent) report() {
	a.reports++
	sums := a.sums()
	r := &wire.Report{
		Member: a.vm.ID, Incarnation: 1, Sequence: a.reports, Confirmed: 1,
		Pools: []wire.PoolSums{sums},
	}
	sent := *r
	sent.Pools = []wire.PoolSums{a.changed(sums)}
	a.w.meter.sent(&sent, a.region, a.region)
	a.w.net.control(a.region, a.region, func() { a.w.relays[a.region].take(r) })
}

// changed returns sums without the rows that are as they were reported last.
func (a *agent) changed(sums wire.PoolSums) wire.PoolSums {
	all := sums.Sums
	sums.Sums = nil
	for _, s := range all {
		if a.told[s.Workspace] != s {
			a.told[s.Workspace] = s
			sums.Sums = append(sums.Sums, s)
		}
	}
	return sums
}

func (a *agent) sums() wire.PoolSums {
	p := wire.PoolSums{Pool: pool, Free: uint32(max(a.slots()-a.occupied(), 0)), Queued: uint32(a.queue.Len())}
	figures := make(map[workspace.RowID]wire.Sum)
	for _, t := range a.ledger.LocalTotals() {
		figures[t.Workspace] = wire.Sum{Workspace: t.Workspace, Service: t.Service, Running: t.Running}
	}
	for ws, n := range a.homes {
		s := figures[ws]
		s.Workspace = ws
		s.Queued = uint32(n)
		figures[ws] = s
	}
	p.Sums = sortedSums(figures)
	return p
}

// applyDigest takes in the sums of a region.
func (a *agent) applyDigest(region int, incarnation, sequence uint64, sums []wire.Sum) {
	if a.w.policy.Sharing == ShareNone || (a.w.policy.Sharing == ShareRegion && region != a.region) {
		return
	}
	u := fairness.Update{
		Source:   fairness.Source{Name: regionName(region), Incarnation: incarnation},
		Sequence: sequence,
		Full:     true,
		At:       a.w.time(),
	}
	for _, s := range sums {
		u.Totals = append(u.Totals, fairness.Total{
			Workspace: s.Workspace, Service: s.Service, Running: s.Running, Queued: s.Queued,
		})
	}
	a.ledger.Apply(u)
	a.dispatch()
}
