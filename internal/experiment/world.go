package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/mastichollow/mastichollow/internal/agenda"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// pool is the name of the pool of models.
const pool = "model"

// world is one run.
type world struct {
	agenda.Scheduler
	deployment Deployment
	scenario   Scenario
	policy     Policy
	rng        *rand.Rand
	net        network
	agents     []*agent // also those that have left
	routers    []*router
	relays     []*relay // by region
	meter      *meter
	requests   uint64
	changed    time.Duration // when the VMs changed last
}

// epoch is the virtual time at which each run starts.
var epoch = time.Unix(1_700_000_000, 0).UTC()

// time returns the present moment.
func (w *world) time() time.Time { return epoch.Add(w.Now()) }

// Run plays scenario on deployment under policy and returns the measures.
func Run(d Deployment, s Scenario, p Policy) Result {
	w := newWorld(d, s, p)
	w.Run(s.Length)
	return w.meter.result()
}

func newWorld(d Deployment, s Scenario, p Policy) *world {
	w := &world{deployment: d, scenario: s, policy: p, rng: rand.New(rand.NewPCG(1, 2))}
	w.net.w = w
	w.meter = newMeter(w)
	w.build()
	w.plan()
	return w
}

// build makes the processes.
func (w *world) build() {
	d := &w.deployment
	for r := range d.Regions {
		w.relays = append(w.relays, newRelay(w, r))
	}
	for i := range d.Agents {
		w.addAgent(i % d.Regions)
	}
	routers := d.Routers
	if w.scenario.Routers > 0 {
		routers = w.scenario.Routers
	}
	for i := range routers {
		w.routers = append(w.routers, newRouter(w, i%d.Regions))
	}
	for _, r := range w.relays {
		r.start()
	}
}

// addAgent starts an agent with empty memory in region.
func (w *world) addAgent(region int) {
	a := newAgent(w, region, len(w.agents))
	w.agents = append(w.agents, a)
	w.changed = w.Now()
	a.start()
}

// plan schedules the demand and the events of the scenario.
func (w *world) plan() {
	s := &w.scenario
	for i := range w.deployment.Workspaces {
		newCallers(w, workspace.RowID(i+1)).start()
	}
	if s.Restart > 0 {
		for r := range w.deployment.Regions {
			w.After(s.Restart+time.Duration(r)*5*time.Second, func() { w.restartRouters(r) })
		}
	}
	if s.CutTo > 0 {
		w.After(s.CutFrom, w.sever)
	}
	if s.Leave > 0 {
		w.After(s.Leave, func() { w.agents[0].leave(); w.agents[4].leave() })
		w.After(s.Leave+30*time.Second, func() { w.addAgent(0); w.addAgent(1) })
	}
	w.meter.start()
}

func (w *world) restartRouters(region int) {
	for _, r := range w.routers {
		if r.region == region {
			r.restart()
		}
	}
}

// sever drops the offers that wait across the cut.
func (w *world) sever() {
	for _, a := range w.agents {
		a.dropCut()
	}
}

// live returns the VMs of the agents that take work.
func (w *world) live() []target.VM {
	vms := make([]target.VM, 0, len(w.agents))
	for _, a := range w.agents {
		if !a.leaving {
			vms = append(vms, a.vm)
		}
	}
	return vms
}

func (w *world) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

// regionName is the name of a region and of its failure domain.
func regionName(r int) string { return fmt.Sprint("r", r) }
