package fairness_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mastichollow/mastichollow/internal/fairness"
	_ "github.com/mastichollow/mastichollow/internal/fixedseed"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

const (
	slots        = 4  // of each agent; a slot produces one unit a step
	maxCost      = 30 // units of a request
	reportPeriod = 5  // steps
	maxDelay     = 3  // steps of a report on its way
	maxLosses    = 2  // reports lost in a row
	// maxAge is the age of the sums of another agent, in steps.
	maxAge = (maxLosses+1)*reportPeriod + maxDelay
)

// tenant is one workspace of a model fleet.
type tenant struct {
	weight float64
	depth  int   // offers that wait at each agent
	only   int   // agent at which it waits, -1: all
	from   int   // step from which it is backlogged
	served int   // units
	grants []int // steps
}

// model is a fleet of agents with real ledgers and queues. Reports between them
// are lost, late and repeated by chance.
type model struct {
	step    int
	agents  []*worker
	tenants []*tenant
	chance  func(n int) int
	lowest  map[[2]int]float64
	highest map[[2]int]float64
}

type worker struct {
	name    string
	ledger  *fairness.Ledger
	queue   *fairness.Queue
	running []*job
	reports uint64
	losses  []int // in a row, by receiver
	inbox   []mail
	offers  int
}

type job struct {
	tenant  int
	left    int
	account *fairness.Running
}

type mail struct {
	due    int
	update fairness.Update
}

func newModel(agents int, tenants []*tenant, chance func(int) int) *model {
	m := &model{
		tenants: tenants, chance: chance,
		lowest: make(map[[2]int]float64), highest: make(map[[2]int]float64),
	}
	weights := make(map[workspace.RowID]float64)
	for i, t := range tenants {
		weights[workspace.RowID(i)] = t.weight
	}
	for i := range agents {
		w := &worker{name: fmt.Sprint("a", i), ledger: fairness.NewLedger(), losses: make([]int, agents)}
		w.queue = fairness.NewQueue(w.ledger)
		w.ledger.SetWeights(weights)
		m.agents = append(m.agents, w)
	}
	return m
}

// capacity is what the fleet produces, in units a step.
func (m *model) capacity() float64 { return float64(len(m.agents) * slots) }

// bound is U + C·T.
func (m *model) bound() float64 { return m.capacity()*maxCost + m.capacity()*maxAge }

func (m *model) run(steps int) {
	for range steps {
		for i, w := range m.agents {
			m.read(w)
			m.offer(i, w)
			m.produce(w)
			m.grant(w)
			if (m.step+i)%reportPeriod == 0 {
				m.report(i, w)
			}
		}
		m.compare()
		m.step++
	}
}

func (m *model) now() time.Time { return start.Add(time.Duration(m.step) * 100 * time.Millisecond) }

// offer fills the queue of an agent.
func (m *model) offer(agent int, w *worker) {
	for i, t := range m.tenants {
		if m.step < t.from || (t.only >= 0 && t.only != agent) {
			continue
		}
		for w.queue.LenOf(workspace.RowID(i)) < t.depth {
			w.offers++
			e := fairness.Entry{
				Attempt:   request.AttemptID(fmt.Sprint(w.offers)),
				Workspace: workspace.RowID(i), Class: request.ClassBatch,
			}
			_ = w.queue.Push(e, t.depth)
		}
	}
}

func (m *model) produce(w *worker) {
	kept := w.running[:0]
	for _, j := range w.running {
		j.left--
		j.account.Charge(1)
		m.tenants[j.tenant].served++
		if j.left > 0 {
			kept = append(kept, j)
			continue
		}
		j.account.Finish()
	}
	w.running = kept
}

func (m *model) grant(w *worker) {
	for len(w.running) < slots {
		e, ok := w.queue.Pop(nil)
		if !ok {
			return
		}
		t := m.tenants[e.Workspace]
		t.grants = append(t.grants, m.step)
		j := &job{tenant: int(e.Workspace), left: 1 + m.chance(maxCost), account: w.ledger.Start(e.Workspace, 0)}
		w.running = append(w.running, j)
	}
}

// report sends the sums of an agent to all others.
func (m *model) report(from int, w *worker) {
	w.reports++
	u := fairness.Update{
		Source:   fairness.Source{Name: w.name, Incarnation: 1},
		Sequence: w.reports,
		Full:     true,
		Totals:   w.ledger.Own(),
	}
	for i := range u.Totals {
		u.Totals[i].Queued = uint32(w.queue.LenOf(u.Totals[i].Workspace))
	}
	for to, other := range m.agents {
		if to != from {
			m.send(w, to, other, u)
		}
	}
}

func (m *model) send(w *worker, to int, other *worker, u fairness.Update) {
	if m.chance(3) == 0 && w.losses[to] < maxLosses {
		w.losses[to]++
		return
	}
	w.losses[to] = 0
	other.inbox = append(other.inbox, mail{due: m.step + 1 + m.chance(maxDelay), update: u})
	if m.chance(3) == 0 {
		other.inbox = append(other.inbox, mail{due: m.step + 10*reportPeriod, update: u})
	}
}

func (m *model) read(w *worker) {
	kept := w.inbox[:0]
	for _, l := range w.inbox {
		if l.due > m.step {
			kept = append(kept, l)
			continue
		}
		l.update.At = m.now()
		w.ledger.Apply(l.update)
	}
	w.inbox = kept
	w.ledger.Expire(m.now())
}

// compare notes the difference in service of each pair that is backlogged.
func (m *model) compare() {
	for i, a := range m.tenants {
		for j, b := range m.tenants[:i] {
			if m.step < max(a.from, b.from)+maxAge {
				continue
			}
			diff := float64(a.served)/a.weight - float64(b.served)/b.weight
			pair := [2]int{i, j}
			if _, known := m.lowest[pair]; !known {
				m.lowest[pair], m.highest[pair] = diff, diff
			}
			m.lowest[pair] = min(m.lowest[pair], diff)
			m.highest[pair] = max(m.highest[pair], diff)
		}
	}
}

// gap is the widest range of a difference.
func (m *model) gap() float64 {
	widest := 0.0
	for pair, low := range m.lowest {
		widest = max(widest, m.highest[pair]-low)
	}
	return widest
}

// drawTenants draws workspaces of which the first waits at one agent only. Its
// due is at most what that agent produces.
func drawTenants(t *rapid.T, agents int) []*tenant {
	n := rapid.IntRange(2*agents, 2*agents+6).Draw(t, "workspaces")
	tenants := make([]*tenant, n)
	for i := range tenants {
		weight := rapid.IntRange(1, 8).Draw(t, "weight")
		tenants[i] = &tenant{weight: float64(weight), depth: slots + 1, only: -1}
	}
	tenants[0].weight = 1
	tenants[0].only = rapid.IntRange(0, agents-1).Draw(t, "only")
	return tenants
}

// chanceOf returns a source of chance drawn by t.
func chanceOf(t *rapid.T) func(int) int {
	state := rapid.Uint64().Draw(t, "seed") | 1
	return func(n int) int {
		state ^= state << 13
		state ^= state >> 7
		state ^= state << 17
		return int(state % uint64(n))
	}
}

// TestGapIsBounded holds the bound of the gap for any weights, spread, length and fate
// of the reports. The bound does not contain the length.
func TestGapIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := rapid.IntRange(1, 5).Draw(t, "agents")
		m := newModel(agents, drawTenants(t, agents), chanceOf(t))
		m.run(rapid.IntRange(1, 12).Draw(t, "length") * 100)
		if m.gap() > m.bound() {
			t.Fatalf("gap is %.0f, the bound is %.0f", m.gap(), m.bound())
		}
	})
}

// TestFloodGetsItsShareOnly holds the bound with one workspace that has 100
// times the offers of the others.
func TestFloodGetsItsShareOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := rapid.IntRange(1, 4).Draw(t, "agents")
		tenants := drawTenants(t, agents)
		tenants[1].depth = 200
		m := newModel(agents, tenants, chanceOf(t))
		m.run(500)
		if m.gap() > m.bound() {
			t.Fatalf("gap is %.0f, the bound is %.0f", m.gap(), m.bound())
		}
	})
}

// TestLateArrivalBringsNoSavings lets a workspace begin after the others have
// produced for long: from then on the bound holds, and none of the others waits
// longer than its bound.
func TestLateArrivalBringsNoSavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		agents := rapid.IntRange(1, 4).Draw(t, "agents")
		tenants := drawTenants(t, agents)
		late := tenants[len(tenants)-1]
		late.from = rapid.IntRange(300, 700).Draw(t, "from")
		m := newModel(agents, tenants, chanceOf(t))
		m.run(late.from + 400)
		if m.gap() > m.bound() {
			t.Fatalf("gap is %.0f, the bound is %.0f", m.gap(), m.bound())
		}
		checkWaits(t, m, agents*slots)
	})
}

// TestNoWorkspaceStarves holds the bound of the wait of a workspace of weight 1
// beside others of weight 1,000 in all.
func TestNoWorkspaceStarves(t *testing.T) {
	for agents := 1; agents <= 3; agents++ {
		for large := 1; large <= 4; large++ {
			t.Run(fmt.Sprint(agents, " agents, ", large, " large"), func(t *testing.T) {
				tenants := []*tenant{{weight: 1, depth: slots + 1, only: -1}}
				for range large {
					tenants = append(tenants, &tenant{weight: 1000 / float64(large), depth: 50, only: -1})
				}
				chance := rand.New(rand.NewPCG(uint64(agents), uint64(large)))
				m := newModel(agents, tenants, chance.IntN)
				m.run(10_000)
				checkWaits(t, m, agents)
			})
		}
	}
}

// checkWaits compares the longest wait of each workspace with
// A·c·W/(w·C) + B·c/C + c/r + T, with the largest cost for c. ahead is A, the
// requests that a workspace may have in flight beyond its due.
func checkWaits(t fataler, m *model, ahead int) {
	total := 0.0
	for _, tn := range m.tenants {
		total += tn.weight
	}
	for i, tn := range m.tenants {
		c := m.capacity()
		bound := float64(ahead)*maxCost*total/(tn.weight*c) + float64(len(m.tenants))*maxCost/c + maxCost + maxAge
		if wait := longestWait(tn, m.step); float64(wait) > math.Ceil(bound) {
			t.Fatalf("workspace %d of weight %.0f of %.0f waited %d steps, the bound is %.0f", i, tn.weight, total, wait, bound)
		}
	}
}

type fataler interface{ Fatalf(string, ...any) }

// longestWait is the longest time without a grant, in steps.
func longestWait(tn *tenant, end int) int {
	longest, last := 0, tn.from
	for _, step := range append(tn.grants, end) {
		longest = max(longest, step-last)
		last = step
	}
	return longest
}
