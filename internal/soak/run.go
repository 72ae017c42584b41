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

// Config configures a run.
type Config struct {
	ProgramPath   string        // path of the mastichollow-gate binary
	Dir           string        // existing directory for settings and logs
	FaultDuration time.Duration // duration of the phase with faults
	Gates         int
	Targets       int  // per service
	Callers       int  // per gate
	Evacuations   bool // failure domains are evacuated too
}

// Result is the outcome of a run.
type Result struct {
	Seed    uint64
	Profile Profile
	Steps   int
	Calls   int
	// Statuses counts calls by response status; 0 is no response. Abandoned calls are
	// left out.
	Statuses    map[int]int
	Violations  []Violation
	Plan        []Step
	Crashes     int // of targets, by calls with the crashing part
	LimitUses   int // times that a target named a request limit
	Restores    int // of the store from a copy
	Evacuations int // of failure domains
}

const (
	// maxRecoveryTime is the time after the last fault within which every gate serves
	// every route again. The platform specifies 12 s.
	maxRecoveryTime = 12 * time.Second
	// faultFreeDuration is the length of the fault-free phase that follows, in which
	// every call must succeed.
	faultFreeDuration = 2 * time.Second
	// startTimeout bounds the time until all gates of a run serve for the first time.
	startTimeout = 30 * time.Second
	// targetStepTime is the duration of a plain call and the time between two events
	// of a stream.
	targetStepTime = 30 * time.Millisecond
	// deregisterDelay is how long the row of a crashed target stays in the store:
	// three reporting intervals of 0.4 s.
	deregisterDelay = 1200 * time.Millisecond
	// drainDuration is how long a draining target continues to serve at least.
	drainDuration = maxDrainDelay + time.Second
)

// deployment is the deployment of one seed: the processes, their stand-ins and the
// records of the run.
type deployment struct {
	cfg      Config
	history  *History
	store    *standin.Store
	ledger   *standin.Ledger
	operator *operator
	gates    []*Gate
	targets  []*target
	// crashStage is how far responses with the crashing part get.
	crashStage standin.CrashStage

	mu          sync.Mutex
	records     []CallRecord
	violations  []Violation
	drainedAt   map[string]time.Time
	crashes     []time.Time // of targets, by calls with the crashing part
	limitUses   []limitUse
	restores    int // of the store
	evacuations []evacuation
}

// Run executes the plan of a seed against a new deployment and checks the outcome.
func Run(ctx context.Context, seed uint64, cfg Config) (*Result, error) {
	profile, steps := PlanForSeed(seed, cfg.FaultDuration)
	if cfg.Evacuations {
		steps = withEvacuations(seed, steps, cfg.FaultDuration)
	}
	d := &deployment{cfg: cfg, history: NewHistory(), ledger: standin.NewLedger(), drainedAt: make(map[string]time.Time), crashStage: crashStageOf(seed)}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	if err := d.execute(ctx, seed, steps); err != nil {
		return nil, err
	}
	violations, err := d.check()
	result := &Result{
		Seed: seed, Profile: profile, Steps: len(steps), Plan: steps, Calls: len(d.records),
		Statuses: make(map[int]int), Violations: violations, Crashes: len(d.crashes), LimitUses: len(d.limitUses), Restores: d.restores,
		Evacuations: len(d.evacuations),
	}
	for i := range d.records {
		if d.records[i].AbandonedAt.IsZero() {
			result.Statuses[d.records[i].Response.Status]++
		}
	}
	return result, err
}

// start starts the deployment and waits until all gates serve every route.
func (d *deployment) start(ctx context.Context) error {
	var err error
	if d.store, err = standin.ListenStore("127.0.0.1:0"); err != nil {
		return err
	}
	if d.operator, err = newOperator(d.store, d.history); err != nil {
		return err
	}
	for _, service := range []string{shopService, depotService, lettersService} {
		for range d.cfg.Targets {
			t, err := newTarget(ctx, d, len(d.targets), service)
			if err != nil {
				return err
			}
			d.targets = append(d.targets, t)
		}
	}
	for i := range d.cfg.Gates {
		g, err := newGate(i, d.cfg.ProgramPath, d.cfg.Dir, d.store.Addr(), d.history, d.addViolation)
		if err != nil {
			return err
		}
		d.gates = append(d.gates, g)
		g.markDown()
		if err := g.Start(ctx); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, g := range d.gates {
		if !g.waitServing(ctx, d) {
			return errors.Newf("gate %d does not serve", g.index)
		}
	}
	return nil
}

func (d *deployment) close() {
	for _, g := range d.gates {
		g.Close()
	}
	for _, t := range d.targets {
		t.close()
	}
	if d.store != nil {
		d.store.Close()
	}
}

// execute sends calls while the steps of the plan run, clears all faults and checks
// that every call succeeds again.
func (d *deployment) execute(ctx context.Context, seed uint64, steps []Step) error {
	stop := d.startCallers(ctx, seed, "a", false)
	stopCrashers := d.startCrashers(ctx, seed)
	stopLimiting := d.startLimiting(ctx, seed)
	stopRestoring := d.startRestoring(ctx, seed)
	stepErr := d.runSteps(ctx, steps)
	stopRestoring()
	stopLimiting()
	stopCrashers()
	stop()
	if err := errors.Join(stepErr, d.restore(ctx)); err != nil {
		return err
	}
	recoverCtx, cancel := context.WithTimeout(ctx, maxRecoveryTime)
	defer cancel()
	for _, g := range d.gates {
		if !g.waitServing(recoverCtx, d) {
			d.addViolation(Violation{Rule: "not recovered", Detail: fmt.Sprintf("gate %d does not serve all routes", g.index)})
			return ctx.Err()
		}
	}
	stop = d.startCallers(ctx, seed, "b", true)
	clock.Sleep(ctx, faultFreeDuration)
	stop()
	d.stopGates()
	return ctx.Err()
}

// stopGates terminates all gates as a planned stop does.
func (d *deployment) stopGates() {
	var wg sync.WaitGroup
	for _, g := range d.gates {
		wg.Go(g.terminate)
	}
	wg.Wait()
}

// startCallers starts the callers of each gate. The returned function stops them.
func (d *deployment) startCallers(ctx context.Context, seed uint64, phase string, faultFree bool) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for gate := range d.gates {
		for i := range d.cfg.Callers {
			c := &caller{
				deployment: d, gate: gate, faultFree: faultFree, name: fmt.Sprintf("%s%05x%04x", phase, gate, i),
				random: rand.New(rand.NewPCG(seed, uint64(gate)<<32|uint64(i))),
			}
			wg.Go(func() { c.loop(ctx) })
		}
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// runSteps starts each step at its time and returns when all have ended.
func (d *deployment) runSteps(ctx context.Context, steps []Step) error {
	begin := time.Now()
	var group errgroup.Group
	for _, step := range steps {
		clock.Sleep(ctx, time.Until(begin.Add(step.Start)))
		group.Go(func() error { return errors.Wrap(d.runStep(ctx, step), step.String()) })
	}
	clock.Sleep(ctx, time.Until(begin.Add(d.cfg.FaultDuration)))
	return group.Wait()
}

// restore clears the remaining faults and restarts all targets with their first
// service.
func (d *deployment) restore(ctx context.Context) error {
	d.store.SetFault(standin.StoreFault{})
	for _, g := range d.gates {
		g.CallerLink.SetFault(LinkFault{})
		g.StoreLink.SetFault(LinkFault{})
	}
	for _, t := range d.targets {
		if err := t.restore(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) addRecord(r CallRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records = append(d.records, r)
}

func (d *deployment) addViolation(v Violation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, v)
}

// check returns all violations of the run.
func (d *deployment) check() ([]Violation, error) {
	c := &checker{history: d.history, operator: d.operator, records: d.records, runsByCall: d.ledger.Runs(), drainedAt: d.drainedAt, crashes: d.crashes, limitUses: d.limitUses, evacuations: d.evacuations}
	c.check()
	logs := make([]string, 0, len(d.gates))
	for _, g := range d.gates {
		logs = append(logs, g.logFile())
	}
	err := c.checkLogged(logs)
	return append(d.violations, c.violations...), err
}

// waitServing waits until the gate has served one call of each route. It returns false
// if ctx ends first.
func (g *Gate) waitServing(ctx context.Context, d *deployment) bool {
	c := &caller{deployment: d, gate: g.index, faultFree: true, name: fmt.Sprintf("c%05x%04x", g.index, 0), random: rand.New(rand.NewPCG(0, 0))}
	c.sent = d.firstProbeNumber()
	served := make(map[string]bool)
	for len(served) < len(routes) {
		if ctx.Err() != nil {
			return false
		}
		r := c.send(c.nextCall())
		c.closeConn()
		r.FaultFree = false // sent before the fault-free phase, so it may fail
		d.addRecord(r)
		if r.Response.Status == 200 && !r.Response.Truncated {
			served[r.Route.Name] = true
			continue
		}
		clock.Sleep(ctx, pollInterval)
	}
	return true
}

// firstProbeNumber returns a sequence number from which call IDs of waitServing are
// unique.
func (d *deployment) firstProbeNumber() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.records)
}
