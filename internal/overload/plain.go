package overload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/agenda"
	"github.com/mastichollow/mastichollow/internal/pace"
	"github.com/mastichollow/mastichollow/internal/quarantine"
	"github.com/mastichollow/mastichollow/internal/target"
)

// Parameters of plain targets, from the users' specifications.
const (
	plainSlots    = 6
	plainQueue    = 24
	minPlainWork  = 15 * time.Millisecond
	maxPlainWork  = 60 * time.Millisecond
	meanPlainWork = (minPlainWork + maxPlainWork) / 2
	// oneWayTime and remoteOneWayTime are the times from a gate to a target in the same
	// region and in another one.
	oneWayTime       = time.Millisecond
	remoteOneWayTime = 8 * time.Millisecond
	// plainRegions is the number of regions, over which gates and targets are spread.
	plainRegions = 3
	// shedRetries is how many times a gate sends a request that was shed to another target.
	shedRetries = 1
)

// plainObjectives are the latency objectives of the kinds of plain requests.
var plainObjectives = []time.Duration{120 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond}

// PlainLoad describes a run with a plain service.
type PlainLoad struct {
	Speeds
	Gates, Targets, Workspaces int
	// OfferedLoad is the rate of requests relative to what all targets serve when none is
	// busy.
	OfferedLoad float64
	Length      time.Duration
	// RestartAt is when the last gate restarts and forgets what it learned; 0: never.
	RestartAt    time.Duration
	IgnoreSpeeds bool
	Seed         uint64
}

// PlainResult is the outcome of a run with a plain service.
type PlainResult struct {
	Kinds      map[string]*Outcome
	Workspaces map[string]*Outcome
	Total      Outcome
	// PlacedBySecond counts the requests sent to each target in each second.
	PlacedBySecond [][]int
	// LongestQueue is the largest number of requests that were at a target of at least
	// nominal speed at one time.
	LongestQueue int
	// Placements are the targets of all requests, in order.
	Placements []string
	// LastGate holds the share of the last gate's requests to each target after RestartAt.
	LastGate []int
}

// WorstTenth returns the fraction served in time of the worst tenth of the workspaces.
func WorstTenth(outcomes map[string]*Outcome) float64 {
	fractions := make([]float64, 0, len(outcomes))
	for _, o := range outcomes {
		fractions = append(fractions, o.InTimeFraction())
	}
	slices.Sort(fractions)
	n := max(len(fractions)/10, 1)
	sum := 0.0
	for _, f := range fractions[:n] {
		sum += f
	}
	return sum / float64(n)
}

type plainRequest struct {
	arrivedAt time.Duration
	objective time.Duration
	work      time.Duration
	outcomes  []*Outcome
	request   admission.Request
	gate      int
	lease     *admission.Lease
}

type plainTarget struct {
	machine
	index            int
	running, waiting int
	queue            []*plainRequest
}

type plainSimulation struct {
	load    *PlainLoad
	rng     *rand.Rand
	gates   []*admission.Controller
	fleet   []admission.FleetGate
	targets []*plainTarget
	list    []target.Instance
	events  agenda.Scheduler
	result  *PlainResult
}

// SimulatePlain runs a load of plain requests.
func SimulatePlain(load *PlainLoad) *PlainResult {
	sim := &plainSimulation{
		load: load, rng: rand.New(rand.NewPCG(load.Seed, 21)),
		result: &PlainResult{Kinds: make(map[string]*Outcome), Workspaces: make(map[string]*Outcome), LastGate: make([]int, load.Targets)},
	}
	for i := range load.Targets {
		t := &plainTarget{machine: machine{pace: 1}, index: i}
		sim.targets = append(sim.targets, t)
		id := fmt.Sprint("p", i)
		sim.list = append(sim.list, target.Instance{ID: id, Service: "plain", Domain: plainDomain(i), Slots: plainSlots, Hash: target.HashID(id), StartedMillis: 1})
		if load.SharedMachines {
			scheduleMachine(&t.machine, rand.New(rand.NewPCG(load.Seed, 100+uint64(i))), load.Length, sim.after)
		}
	}
	for i := range load.Gates {
		sim.fleet = append(sim.fleet, admission.NewFleetGate(gateName(i), plainDomain(i)))
	}
	for i := range load.Gates {
		sim.gates = append(sim.gates, sim.newGate(i))
		sim.after(time.Duration(i)*reportInterval/time.Duration(load.Gates), func(now time.Duration) { sim.report(now, i) })
	}
	if load.RestartAt > 0 {
		sim.after(load.RestartAt, func(time.Duration) { sim.gates[load.Gates-1] = sim.newGate(load.Gates - 1) })
	}
	sim.scheduleArrival()
	sim.events.Drain()
	return sim.result
}

func plainDomain(index int) string { return fmt.Sprint("d", index%plainRegions) }

func (sim *plainSimulation) newGate(index int) *admission.Controller {
	regions := make(map[string]string)
	for i := range plainRegions {
		regions[plainDomain(i)] = plainDomain(i)
	}
	c := admission.NewController(admission.Config{
		Site:  admission.Site{Region: plainDomain(index), Domain: plainDomain(index), Regions: regions},
		Retry: admission.RetryBudget{Ratio: 0.1, Slack: 10, Window: 10 * time.Second}, IgnoreSpeeds: sim.load.IgnoreSpeeds,
	})
	c.SetFleet(admission.Fleet{Node: gateName(index), Alive: sim.fleet, Known: len(sim.fleet)})
	return c
}

func (sim *plainSimulation) after(d time.Duration, do func(now time.Duration)) {
	sim.events.After(d, func() { do(sim.events.Now()) })
}

// reportDelay is the delay of reports between gates.
const reportDelay = 100 * time.Millisecond

func (sim *plainSimulation) report(now time.Duration, from int) {
	if now > sim.load.Length {
		return
	}
	r := sim.gates[from].Report(now)
	sim.after(reportDelay, func(now time.Duration) {
		for i, g := range sim.gates {
			if i != from {
				g.Merge(now, gateName(from), r)
			}
		}
	})
	sim.after(reportInterval, func(now time.Duration) { sim.report(now, from) })
}

// capacity returns the requests per second of all targets when none is busy.
func (sim *plainSimulation) capacity() float64 {
	total := 0.0
	for i := range sim.targets {
		total += plainSlots / sim.load.relative(0, i) / meanPlainWork.Seconds()
	}
	return total
}

func (sim *plainSimulation) scheduleArrival() {
	delay := time.Duration(sim.rng.ExpFloat64() / (sim.load.OfferedLoad * sim.capacity()) * float64(time.Second))
	if sim.events.Now()+delay > sim.load.Length {
		return
	}
	sim.after(delay, func(now time.Duration) {
		sim.arrive(now)
		sim.scheduleArrival()
	})
}

func (sim *plainSimulation) arrive(now time.Duration) {
	kind := sim.rng.IntN(len(plainObjectives))
	workspace := fmt.Sprint("w", sim.rng.IntN(sim.load.Workspaces))
	r := &plainRequest{
		arrivedAt: now, objective: plainObjectives[kind], gate: sim.rng.IntN(sim.load.Gates),
		work:     minPlainWork + time.Duration(sim.rng.Int64N(int64(maxPlainWork-minPlainWork))),
		outcomes: []*Outcome{sim.outcomeOf(sim.result.Kinds, plainObjectives[kind].String()), sim.outcomeOf(sim.result.Workspaces, workspace), &sim.result.Total},
		request:  admission.Request{Workspace: workspace, Service: "plain", Hash: sim.rng.Uint64(), Fingerprint: quarantine.Fingerprint(sim.rng.Uint64())},
	}
	for _, o := range r.outcomes {
		o.Requests++
	}
	sim.send(now, r)
}

func (sim *plainSimulation) outcomeOf(all map[string]*Outcome, name string) *Outcome {
	if all[name] == nil {
		all[name] = &Outcome{}
	}
	return all[name]
}

func (sim *plainSimulation) send(now time.Duration, r *plainRequest) {
	d := sim.gates[r.gate].Admit(now, &r.request, sim.list)
	if d.Refused != "" {
		r.refuse()
		return
	}
	r.lease = d.Lease
	index := slices.IndexFunc(sim.list, func(i target.Instance) bool { return i.ID == d.Target.ID })
	sim.result.Placements = append(sim.result.Placements, d.Target.ID)
	for len(sim.result.PlacedBySecond) <= int(now/time.Second) {
		sim.result.PlacedBySecond = append(sim.result.PlacedBySecond, make([]int, sim.load.Targets))
	}
	sim.result.PlacedBySecond[now/time.Second][index]++
	if sim.load.RestartAt > 0 && r.gate == sim.load.Gates-1 && now >= sim.load.RestartAt {
		sim.result.LastGate[index]++
	}
	sim.after(sim.oneWay(r, index), func(now time.Duration) { sim.accept(now, sim.targets[index], r) })
}

func (sim *plainSimulation) oneWay(r *plainRequest, index int) time.Duration {
	if plainDomain(r.gate) == plainDomain(index) {
		return oneWayTime
	}
	return remoteOneWayTime
}

func (r *plainRequest) refuse() {
	for _, o := range r.outcomes {
		o.Refused++
	}
}

func (sim *plainSimulation) accept(now time.Duration, t *plainTarget, r *plainRequest) {
	if t.running+t.waiting >= plainSlots+plainQueue {
		sim.after(sim.oneWay(r, t.index), func(now time.Duration) {
			r.lease.RecordStatement(now, sim.load.statement(t.running, t.waiting, plainSlots, t.pace))
			r.lease.End(now, admission.ResultRejected, sim.list)
			r.request.Retry = true
			r.request.Exclude = append(r.request.Exclude, sim.list[t.index].ID)
			if len(r.request.Exclude) > shedRetries {
				r.refuse()
				return
			}
			sim.send(now, r)
		})
		return
	}
	if t.running < plainSlots {
		sim.run(now, t, r)
	} else {
		t.waiting++
		t.queue = append(t.queue, r)
	}
	if sim.load.relative(now, t.index) <= 1 {
		sim.result.LongestQueue = max(sim.result.LongestQueue, t.running+t.waiting)
	}
}

func (sim *plainSimulation) run(now time.Duration, t *plainTarget, r *plainRequest) {
	t.running++
	work := time.Duration(float64(r.work) * sim.load.relative(now, t.index) * t.pace)
	sim.after(work, func(now time.Duration) {
		t.running--
		stated := sim.load.statement(t.running, t.waiting, plainSlots, t.pace)
		if len(t.queue) > 0 {
			next := t.queue[0]
			t.queue = t.queue[1:]
			t.waiting--
			sim.run(now, t, next)
		}
		sim.after(sim.oneWay(r, t.index), func(now time.Duration) { r.finish(now, stated, sim.list) })
	})
}

func (r *plainRequest) finish(now time.Duration, stated pace.Statement, list []target.Instance) {
	r.lease.RecordStatement(now, stated)
	r.lease.Responded(now)
	r.lease.End(now, admission.ResultDone, list)
	wait := now - r.arrivedAt
	for _, o := range r.outcomes {
		if wait <= r.objective {
			o.InTime++
		} else {
			o.Late++
		}
		o.MaxWait = max(o.MaxWait, wait)
		o.waits = append(o.waits, wait)
	}
}
