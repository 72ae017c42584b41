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

// simulation is the state of one run.
type simulation struct {
	agenda.Scheduler
	deployment   Deployment
	scenario     Scenario
	policy       Policy
	rng          *rand.Rand
	net          network
	agents       []*agent // including drained agents
	routers      []*router
	relays       []*relay // by region
	meter        *meter
	requests     uint64
	vmsChangedAt time.Duration // time of the last change of the VMs
}

// epoch is the virtual time at which each run starts.
var epoch = time.Unix(1_700_000_000, 0).UTC()

// wallTime returns the current virtual time as a time of day.
func (sim *simulation) wallTime() time.Time { return epoch.Add(sim.Now()) }

// Run simulates the scenario on the deployment under the policy and returns the measures.
func Run(d Deployment, s Scenario, p Policy) Result {
	sim := newSimulation(d, s, p)
	sim.Run(s.Length)
	return sim.meter.result()
}

func newSimulation(d Deployment, s Scenario, p Policy) *simulation {
	sim := &simulation{deployment: d, scenario: s, policy: p, rng: rand.New(rand.NewPCG(1, 2))}
	sim.net.sim = sim
	sim.meter = newMeter(sim)
	sim.startProcesses()
	sim.scheduleEvents()
	return sim
}

// startProcesses creates and starts the relays, agents and routers.
func (sim *simulation) startProcesses() {
	d := &sim.deployment
	for r := range d.Regions {
		sim.relays = append(sim.relays, newRelay(sim, r))
	}
	for i := range d.Agents {
		sim.addAgent(i % d.Regions)
	}
	routers := d.Routers
	if sim.scenario.Routers > 0 {
		routers = sim.scenario.Routers
	}
	for i := range routers {
		sim.routers = append(sim.routers, newRouter(sim, i%d.Regions))
	}
	for _, r := range sim.relays {
		r.start()
	}
}

// addAgent starts an agent without state in region.
func (sim *simulation) addAgent(region int) {
	a := newAgent(sim, region, len(sim.agents))
	sim.agents = append(sim.agents, a)
	sim.vmsChangedAt = sim.Now()
	a.start()
}

// scheduleEvents starts the callers and schedules the events of the scenario.
func (sim *simulation) scheduleEvents() {
	s := &sim.scenario
	for i := range sim.deployment.Workspaces {
		newCallers(sim, workspace.RowID(i+1)).start()
	}
	if s.RestartAt > 0 {
		for r := range sim.deployment.Regions {
			sim.After(s.RestartAt+time.Duration(r)*5*time.Second, func() { sim.restartRouters(r) })
		}
	}
	if s.PartitionEnd > 0 {
		sim.After(s.PartitionStart, sim.startPartition)
	}
	if s.DrainAt > 0 {
		sim.After(s.DrainAt, func() { sim.agents[0].drain(); sim.agents[4].drain() })
		sim.After(s.DrainAt+30*time.Second, func() { sim.addAgent(0); sim.addAgent(1) })
	}
	sim.meter.start()
}

func (sim *simulation) restartRouters(region int) {
	for _, r := range sim.routers {
		if r.region == region {
			r.restart()
		}
	}
}

// startPartition drops the offers at agents that their routers can't reach any more.
func (sim *simulation) startPartition() {
	for _, a := range sim.agents {
		a.dropPartitionedOffers()
	}
}

// liveVMs returns the VMs of the agents that aren't draining.
func (sim *simulation) liveVMs() []target.VM {
	vms := make([]target.VM, 0, len(sim.agents))
	for _, a := range sim.agents {
		if !a.draining {
			vms = append(vms, a.vm)
		}
	}
	return vms
}

func (sim *simulation) chance(p float64) bool { return p > 0 && sim.rng.Float64() < p }

// regionName is the name of a region and of its failure domain.
func regionName(r int) string { return fmt.Sprint("r", r) }
