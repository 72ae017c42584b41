package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/platform/standin"
)

// Config is the size of a run.
type Config struct {
	Program string        // path of mastichollow-gate
	Dir     string        // for settings and logs, exists
	Length  time.Duration // of the time with faults
	Gates   int
	Targets int // of each service
	Callers int // of each gate
}

// Result is what a run saw.
type Result struct {
	Seed    uint64
	Profile Profile
	Steps   int
	Calls   int
	// Statuses counts calls by what their callers got; 0: no answer.
	Statuses   map[int]int
	Violations []Violation
	Plan       []Step
}

const (
	// recoverWithin is how soon after the last fault every gate serves every
	// route; the platform's figure.
	recoverWithin = 12 * time.Second
	// steadyLength is how long callers then find all calls served.
	steadyLength = 2 * time.Second
	// firstReady bounds the start of all gates of a run.
	firstReady = 30 * time.Second
	// targetTime is that of a plain call and between two events.
	targetTime = 30 * time.Millisecond
	// unlistedAfter is how long the row of a target that crashed stays: three
	// reports of 0.4 s.
	unlistedAfter = 1200 * time.Millisecond
	// leavesAfter is how long a target serves after it said that it leaves.
	leavesAfter = drainedWithin + time.Second
)

// run is one seed's deployment and its history.
type run struct {
	cfg      Config
	history  *History
	store    *standin.Store
	ledger   *standin.Ledger
	operator *operator
	gates    []*Gate
	targets  []*target

	mu         sync.Mutex
	records    []Record
	violations []Violation
	drained    map[string]time.Time
}

// Run plays a seed.
func Run(ctx context.Context, seed uint64, cfg Config) (*Result, error) {
	profile, steps := PlanFor(seed, cfg.Length)
	r := &run{cfg: cfg, history: NewHistory(), ledger: standin.NewLedger(), drained: make(map[string]time.Time)}
	defer r.close()
	if err := r.build(ctx); err != nil {
		return nil, err
	}
	if err := r.play(ctx, seed, steps); err != nil {
		return nil, err
	}
	violations, err := r.check()
	result := &Result{
		Seed: seed, Profile: profile, Steps: len(steps), Plan: steps, Calls: len(r.records),
		Statuses: make(map[int]int), Violations: violations,
	}
	for i := range r.records {
		if r.records[i].Left.IsZero() {
			result.Statuses[r.records[i].Answer.Status]++
		}
	}
	return result, err
}

// build starts the deployment and waits until all gates are ready.
func (r *run) build(ctx context.Context) error {
	var err error
	if r.store, err = standin.ListenStore("127.0.0.1:0"); err != nil {
		return err
	}
	if r.operator, err = newOperator(r.store, r.history); err != nil {
		return err
	}
	for _, service := range []string{shop, depot, letters} {
		for range r.cfg.Targets {
			t, err := newTarget(r, len(r.targets), service)
			if err != nil {
				return err
			}
			r.targets = append(r.targets, t)
		}
	}
	for i := range r.cfg.Gates {
		g, err := newGate(i, r.cfg.Program, r.cfg.Dir, r.store.Addr(), r.history, r.violate)
		if err != nil {
			return err
		}
		r.gates = append(r.gates, g)
		g.notUp()
		if err := g.Start(ctx); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, firstReady)
	defer cancel()
	for _, g := range r.gates {
		if !g.waitServes(ctx, r) {
			return errors.Newf("gate %d does not serve", g.index)
		}
	}
	return nil
}

func (r *run) close() {
	for _, g := range r.gates {
		g.Close()
	}
	for _, t := range r.targets {
		t.close()
	}
	if r.store != nil {
		r.store.Close()
	}
}

// play lets callers send while the steps strike, heals everything, and checks
// that all is served again.
func (r *run) play(ctx context.Context, seed uint64, steps []Step) error {
	stop := r.startCallers(ctx, seed, "a", false)
	failed := r.strike(ctx, steps)
	stop()
	if err := errors.Join(failed, r.heal(ctx)); err != nil {
		return err
	}
	healed, cancel := context.WithTimeout(ctx, recoverWithin)
	defer cancel()
	for _, g := range r.gates {
		if !g.waitServes(healed, r) {
			r.violate(Violation{Rule: "not recovered", What: fmt.Sprintf("gate %d does not serve all routes", g.index)})
			return ctx.Err()
		}
	}
	stop = r.startCallers(ctx, seed, "b", true)
	clock.Sleep(ctx, steadyLength)
	stop()
	r.stopGates()
	return ctx.Err()
}

// stopGates lets all gates end as planned.
func (r *run) stopGates() {
	var all sync.WaitGroup
	for _, g := range r.gates {
		all.Go(g.end)
	}
	all.Wait()
}

// startCallers starts the callers of each gate. The returned function ends them.
func (r *run) startCallers(ctx context.Context, seed uint64, phase string, steady bool) func() {
	ctx, cancel := context.WithCancel(ctx)
	var all sync.WaitGroup
	for gate := range r.gates {
		for i := range r.cfg.Callers {
			c := &caller{
				run: r, gate: gate, steady: steady, name: fmt.Sprintf("%s%05x%04x", phase, gate, i),
				random: rand.New(rand.NewPCG(seed, uint64(gate)<<32|uint64(i))),
			}
			all.Go(func() { c.loop(ctx) })
		}
	}
	return func() {
		cancel()
		all.Wait()
	}
}

// strike plays the steps and returns when all are over.
func (r *run) strike(ctx context.Context, steps []Step) error {
	begin := time.Now()
	var all errgroup.Group
	for _, step := range steps {
		clock.Sleep(ctx, time.Until(begin.Add(step.At)))
		all.Go(func() error { return errors.Wrap(r.strikeOne(ctx, step), step.String()) })
	}
	clock.Sleep(ctx, time.Until(begin.Add(r.cfg.Length)))
	return all.Wait()
}

// heal ends all troubles that are left.
func (r *run) heal(ctx context.Context) error {
	r.store.SetFault(standin.StoreFault{})
	for _, g := range r.gates {
		g.Callers.Set(LinkFault{})
		g.Store.Set(LinkFault{})
	}
	for _, t := range r.targets {
		if err := t.heal(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) record(one Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, one)
}

func (r *run) violate(v Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, v)
}

// check returns all that was broken.
func (r *run) check() ([]Violation, error) {
	c := &checker{history: r.history, operator: r.operator, records: r.records, runs: r.ledger.Runs(), drained: r.drained}
	c.check()
	logs := make([]string, 0, len(r.gates))
	for _, g := range r.gates {
		logs = append(logs, g.logFile())
	}
	err := c.checkLogs(logs)
	return append(r.violations, c.found...), err
}

// waitServes waits until a call of each route is served by the gate.
func (g *Gate) waitServes(ctx context.Context, r *run) bool {
	c := &caller{run: r, gate: g.index, steady: true, name: fmt.Sprintf("c%05x%04x", g.index, 0), random: rand.New(rand.NewPCG(0, 0))}
	c.sent = r.probes()
	served := make(map[string]bool)
	for len(served) < len(routes) {
		if ctx.Err() != nil {
			return false
		}
		one := c.call(c.choose())
		c.hangUp()
		one.Steady = false // it may come too early
		r.record(one)
		if one.Answer.Status == 200 && !one.Answer.Truncated {
			served[one.Route.Name] = true
			continue
		}
		clock.Sleep(ctx, readyPoll)
	}
	return true
}

// probes returns a number from which the IDs of a waiting caller are new.
func (r *run) probes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}
