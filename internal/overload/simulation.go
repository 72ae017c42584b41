package overload

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/agenda"
	"github.com/mastichollow/mastichollow/internal/pace"
	"github.com/mastichollow/mastichollow/internal/prompt"
	"github.com/mastichollow/mastichollow/internal/quarantine"
	reasons "github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/starvation"
	"github.com/mastichollow/mastichollow/internal/target"
)

// Kind is a kind of request with its distribution of sizes and its time limits.
type Kind struct {
	Name                string
	Fraction            float64 // of all requests
	SharedTokens        int     // in the part of the prompt that requests share
	SharedParts         int     // number of different shared parts
	UniqueTokens        int     // mean of the unshared part of the prompt
	OutputTokens        int     // mean
	FirstTokenObjective time.Duration
	Deadline            time.Duration
}

// Workspace sends requests with Poisson arrivals to some of the gates.
type Workspace struct {
	Name              string
	RequestsPerSecond float64
	Gates             []int // indexes; nil: all
	// LongPromptsOnly restricts the requests to the first of the Kinds, which has
	// the longest prompts.
	LongPromptsOnly bool
}

// Load describes a simulation run: the requests and the fleet that serves them.
type Load struct {
	Kinds           []Kind
	Workspaces      []Workspace
	Gates, Engines  int
	Length          time.Duration
	TokensPerSecond float64 // nominal capacity of all engines, in tokens of work
	// ReportDelay is the delay of the reports that gates exchange.
	ReportDelay time.Duration
	// ReportLossRate is the fraction of reports that are lost.
	ReportLossRate float64
	// SlowEngines is the number of engines whose steps take SlowdownFactor times as long.
	// The gates can only detect them by the times to first events.
	SlowEngines    int
	SlowdownFactor float64
	// LimitedEngines is the number of engines that name RequestLimit, in requests per second,
	// in each response. A third of them do so all the time, the others for half of the load.
	LimitedEngines int
	RequestLimit   float64
	// Outages are engine crashes. The gates detect them only by failed sends.
	Outages []Outage
	// CrashingParts are parts of prompts that crash engines.
	CrashingParts []CrashingPart
	// ReadTokensPerMS is the engines' speed in prompt tokens per millisecond; 0: that of
	// the first user's specification.
	ReadTokensPerMS float64
	// Speeds describes engines of different speed. The gates learn it from the times of
	// responses and what the engines state.
	Speeds Speeds
	// BaseStepTime and CacheTokens are the step time of an idle engine and its memory; 0:
	// those of the first user's specification.
	BaseStepTime, StepTimePerSlot time.Duration
	CacheTokens                   int
	// RetryAtSameGate: refused callers come back to the gate that refused them, as callers
	// do that keep their connection.
	RetryAtSameGate bool
	Seed            uint64
}

// Outcome counts the requests of one workspace or kind by result. Refused counts the
// requests that were refused and not retried, or refused again on the retry; Lost counts
// those that were at an engine when it crashed, before their first event.
type Outcome struct {
	Requests, InTime, Late, Refused, Lost int
	// Worth is what callers earned by responses, MaxWorth what they would earn if all were in
	// time; see kindWorth.
	Worth, MaxWorth float64
	// PromptTokens is the total of the admitted requests.
	PromptTokens int
	// MaxWait is the longest time from arrival to the first event.
	MaxWait time.Duration
	waits   []time.Duration // times to the first event
}

// WaitQuantile returns the time to the first event that a fraction of the served requests
// did not exceed.
func (o *Outcome) WaitQuantile(fraction float64) time.Duration {
	if len(o.waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(o.waits))
	return sorted[int(fraction*float64(len(sorted)-1))]
}

// InTimeFraction returns the fraction of requests whose first event came in time.
func (o *Outcome) InTimeFraction() float64 { return float64(o.InTime) / float64(max(o.Requests, 1)) }

// Result is the outcome of a simulation run.
type Result struct {
	Workspaces map[string]*Outcome
	Kinds      map[string]*Outcome
	// LargestTenth holds the tenth of the requests of each kind with the longest prompts.
	LargestTenth map[string]*Outcome
	Total        Outcome
	// Fairness holds the work requested by and served to each workspace, by second.
	Fairness *starvation.Meter
	// Crashing holds what became of the requests of each CrashingPart, Arrivals the
	// requests without one, in a load that has such parts.
	Crashing []*CrashingOutcome
	Arrivals []Arrival
	// Quarantined counts the attempts of requests without such a part that were refused as
	// suspects.
	Quarantined int
}

// Policy is the admission policy of one gate; see admission.Controller.
type Policy interface {
	Admit(now time.Duration, r *admission.Request, targets []target.Instance) admission.Decision
	Report(now time.Duration) admission.Report
	Merge(now time.Duration, node string, r admission.Report)
	SetFleet(fleet admission.Fleet)
}

// request is a caller's request, with its retry.
type request struct {
	kind                       *Kind
	workspace                  string
	sharedHash                 uint64
	sharedTokens               int
	uniqueTokens, outputTokens int
	arrivedAt                  time.Duration
	deadline                   time.Duration
	lease                      *admission.Lease
	outcomes                   []*Outcome
	admissionRequest           admission.Request
	retried                    bool
	fairness                   *starvation.Meter
	crashing                   *CrashingOutcome // nil: the request crashes no engine
	crashingPart               *CrashingPart    // set with crashing
	limit                      admission.RequestLimit
	stated                     pace.Statement
	events                     int // of the response, besides the first
}

// recordFirstEvent counts the request as in time or late and calls Lease.Began.
func (r *request) recordFirstEvent(now time.Duration) {
	wait := now - r.arrivedAt
	r.fairness.AddServed(r.workspace, now, r.work())
	if wait > r.kind.FirstTokenObjective {
		r.fairness.MarkDegraded(r.workspace, r.arrivedAt+r.kind.FirstTokenObjective, now)
	}
	for _, o := range r.outcomes {
		if wait <= r.kind.FirstTokenObjective {
			o.InTime++
			o.Worth += kindWorth[r.kind.Name]
		} else {
			o.Late++
			o.Worth += kindWorth[r.kind.Name] / 2
		}
		o.MaxWait = max(o.MaxWait, wait)
		o.waits = append(o.waits, wait)
	}
	r.lease.RecordStatement(now, r.stated)
	r.lease.RecordRequestLimit(now, r.limit)
	r.lease.Began(now)
}

// simulation is the state of a run.
type simulation struct {
	load        *Load
	rng         *rand.Rand
	gates       []Policy
	engines     []*engine
	enginesByID map[string]*engine
	targets     []target.Instance
	events      agenda.Scheduler
	result      *Result
	restarts    int // of engines that a request crashed
}

// reportInterval is the time between two reports of a gate.
const reportInterval = 200 * time.Millisecond

// Simulate runs the load against gates whose policies newPolicy creates.
func Simulate(load *Load, newPolicy func() Policy) *Result {
	sim := &simulation{
		load: load, rng: rand.New(rand.NewPCG(load.Seed, 1)), enginesByID: make(map[string]*engine),
		result: &Result{
			Workspaces: make(map[string]*Outcome), Kinds: make(map[string]*Outcome), LargestTenth: make(map[string]*Outcome),
			Fairness: starvation.NewMeter(0, int(load.Length/time.Second)),
		},
	}
	for i := range load.Engines {
		e := &engine{id: fmt.Sprintf("e%02d", i), cachedParts: make(map[uint64]time.Duration), slowdownFactor: 1, readTokensPerMS: load.ReadTokensPerMS}
		if e.readTokensPerMS == 0 {
			e.readTokensPerMS = defaultReadTokensPerMS
		}
		if i < load.SlowEngines {
			e.slowdownFactor = load.SlowdownFactor
		}
		e.baseStepTime, e.stepTimePerSlot = cmp.Or(load.BaseStepTime, baseStepTime), cmp.Or(load.StepTimePerSlot, stepTimePerSlot)
		sim.engines = append(sim.engines, e)
		e.machine.pace, e.index, e.speeds = 1, i, &load.Speeds
		if load.Speeds.SharedMachines {
			scheduleMachine(&e.machine, rand.New(rand.NewPCG(load.Seed, 100+uint64(i))), load.Length, sim.schedule)
		}
		sim.enginesByID[e.id] = e
		sim.targets = append(sim.targets, target.Instance{ID: e.id, Service: "engines", Domain: "d", Slots: batchSlots, Hash: target.HashID(e.id)})
	}
	var alive []admission.FleetGate
	for i := range load.Gates {
		alive = append(alive, admission.NewFleetGate(gateName(i), "r"))
	}
	for i := range load.Gates {
		sim.gates = append(sim.gates, newPolicy())
		sim.gates[i].SetFleet(admission.Fleet{Node: gateName(i), Alive: alive, Known: len(alive)})
		sim.schedule(time.Duration(i)*reportInterval/time.Duration(load.Gates), func(now time.Duration) { sim.sendReport(now, i) })
	}
	for i := range load.Workspaces {
		sim.scheduleArrival(0, &load.Workspaces[i])
	}
	for i := range load.Outages {
		sim.scheduleOutage(&load.Outages[i])
	}
	for i := range load.CrashingParts {
		sim.scheduleCrashing(&load.CrashingParts[i])
	}
	sim.events.Drain()
	return sim.result
}

func gateName(index int) string { return fmt.Sprint("gate", index) }

// requestLimit returns what an engine states about its request limit.
func (sim *simulation) requestLimit(now time.Duration, e *engine) admission.RequestLimit {
	index := slices.Index(sim.engines, e)
	if index >= sim.load.LimitedEngines || index%3 != 0 && now > sim.load.Length/2 {
		return admission.RequestLimit{}
	}
	return admission.RequestLimit{Statement: admission.LimitNamed, PerSecond: sim.load.RequestLimit}
}

// schedule runs do after d.
func (sim *simulation) schedule(d time.Duration, do func(now time.Duration)) {
	sim.events.After(d, func() { do(sim.events.Now()) })
}

// sendReport delivers a gate's report to the other gates after ReportDelay, unless it is
// lost.
func (sim *simulation) sendReport(now time.Duration, from int) {
	if now > sim.load.Length {
		return
	}
	r := sim.gates[from].Report(now)
	lost := sim.load.ReportLossRate > 0 && sim.rng.Float64() < sim.load.ReportLossRate
	sim.schedule(sim.load.ReportDelay, func(now time.Duration) {
		for i, g := range sim.gates {
			if i != from && !lost {
				g.Merge(now, gateName(from), r)
			}
		}
	})
	sim.schedule(reportInterval, func(now time.Duration) { sim.sendReport(now, from) })
}

func (sim *simulation) scheduleArrival(now time.Duration, w *Workspace) {
	delay := time.Duration(sim.rng.ExpFloat64() / w.RequestsPerSecond * float64(time.Second))
	if now+delay > sim.load.Length {
		return
	}
	sim.schedule(delay, func(now time.Duration) {
		sim.handleArrival(now, w)
		sim.scheduleArrival(now, w)
	})
}

// largestTenthFactor is the 90th percentile of randomTokens, as a multiple of the mean.
const largestTenthFactor = 2.02

// randomTokens draws a number of tokens from a log-normal distribution with the given
// mean, as the users' specifications do: most values are below the mean, some far above.
func (sim *simulation) randomTokens(mean int) int {
	const sigma = 0.8
	return max(1, int(float64(mean)*math.Exp(sigma*sim.rng.NormFloat64()-sigma*sigma/2)))
}

func (sim *simulation) randomKind(longPromptsOnly bool) *Kind {
	draw := sim.rng.Float64()
	for i := range sim.load.Kinds {
		k := &sim.load.Kinds[i]
		if draw -= k.Fraction; draw < 0 && (!longPromptsOnly || i == 0) {
			return k
		}
	}
	return &sim.load.Kinds[0]
}

func (sim *simulation) handleArrival(now time.Duration, w *Workspace) {
	r := sim.newRequest(now, w)
	r.outcomes = []*Outcome{sim.outcomeOf(sim.result.Workspaces, w.Name), sim.outcomeOf(sim.result.Kinds, r.kind.Name), &sim.result.Total}
	if float64(r.uniqueTokens) > largestTenthFactor*float64(r.kind.UniqueTokens) {
		r.outcomes = append(r.outcomes, sim.outcomeOf(sim.result.LargestTenth, r.kind.Name))
	}
	for _, o := range r.outcomes {
		o.Requests++
		o.MaxWorth += kindWorth[r.kind.Name]
	}
	r.fairness.AddRequested(w.Name, now, r.work())
	sim.submit(now, w, sim.chooseGate(w), r)
}

// newRequest draws a request of a workspace.
func (sim *simulation) newRequest(now time.Duration, w *Workspace) *request {
	k := sim.randomKind(w.LongPromptsOnly)
	part := sim.rng.IntN(k.SharedParts)
	r := &request{
		kind: k, workspace: w.Name, sharedHash: uint64(part)<<8 | uint64(len(k.Name)), sharedTokens: k.SharedTokens,
		uniqueTokens: sim.randomTokens(k.UniqueTokens), outputTokens: sim.randomTokens(k.OutputTokens), arrivedAt: now, deadline: now + k.Deadline,
		fairness: sim.result.Fairness,
	}
	r.admissionRequest = admission.Request{
		Workspace: w.Name, Service: "engines", Slots: batchSlots, CacheTokens: cmp.Or(sim.load.CacheTokens, cacheTokens),
		Parts:        []prompt.Part{{Hash: r.sharedHash, Tokens: r.sharedTokens}, {Hash: sim.rng.Uint64(), Tokens: r.uniqueTokens}},
		PromptTokens: r.sharedTokens + r.uniqueTokens, OutputTokens: r.outputTokens, FirstTokenObjective: k.FirstTokenObjective, Hash: sim.rng.Uint64(), Fingerprint: quarantine.Fingerprint(sim.rng.Uint64()),
	}
	return r
}

// retryJitterFraction spreads the retries of refused callers between 1 and 1.5 times the
// retry delay, as the gate does.
const retryJitterFraction = 0.5

// maxRetryDelayFraction is the fraction of their remaining time up to which callers honour a
// retry delay.
const maxRetryDelayFraction = 1.0 / 3

// submit sends a request to a gate. A refused caller that is given a retry delay retries
// once.
func (sim *simulation) submit(now time.Duration, w *Workspace, gate Policy, r *request) {
	d := sim.send(now, gate, r)
	if len(sim.load.CrashingParts) > 0 && !r.retried {
		if d.Refused == reasons.ReasonQuarantined {
			sim.result.Quarantined++
		}
		sim.result.Arrivals = append(sim.result.Arrivals, Arrival{At: now, Workspace: w.Name, SharedHash: r.sharedHash, Admitted: d.Refused == ""})
	}
	if d.Refused == "" {
		sim.place(now, r, d)
		return
	}
	r.fairness.MarkDegraded(w.Name, now, now)
	if d.RetryAfter > 0 && !r.retried {
		r.retried = true
		retryDelay := time.Duration(float64(d.RetryAfter) * (1 + retryJitterFraction*sim.rng.Float64()))
		sim.schedule(min(retryDelay, time.Duration(maxRetryDelayFraction*float64(r.deadline-now))), func(now time.Duration) {
			if !sim.load.RetryAtSameGate {
				gate = sim.chooseGate(w)
			}
			sim.submit(now, w, gate, r)
		})
		return
	}
	for _, o := range r.outcomes {
		o.Refused++
	}
}

// maxTargetsTried bounds the targets that a gate tries for one request, as in the gate.
const maxTargetsTried = 4

// send has a gate admit a request. If the target is down, the gate tries another one.
func (sim *simulation) send(now time.Duration, gate Policy, r *request) admission.Decision {
	attempt := r.admissionRequest
	for {
		d := gate.Admit(now, &attempt, sim.targets)
		if d.Refused != "" || !sim.enginesByID[d.Target.ID].down {
			return d
		}
		d.Lease.End(now, admission.ResultUnreachable, sim.targets)
		attempt.Retry = true
		attempt.Exclude = append(attempt.Exclude, d.Target.ID)
		if len(attempt.Exclude) == maxTargetsTried {
			return admission.Decision{Refused: reasons.ReasonTargetDown, RetryAfter: baselineRetryAfter}
		}
	}
}

func (sim *simulation) place(now time.Duration, r *request, d admission.Decision) {
	for _, o := range r.outcomes {
		o.PromptTokens += r.sharedTokens + r.uniqueTokens
	}
	r.lease = d.Lease
	e := sim.enginesByID[d.Target.ID]
	r.limit = sim.requestLimit(now, e)
	e.accept(now, r)
	if !e.stepping {
		sim.runStep(e)
	}
}

func (sim *simulation) chooseGate(w *Workspace) Policy {
	if w.Gates == nil {
		return sim.gates[sim.rng.IntN(len(sim.gates))]
	}
	return sim.gates[w.Gates[sim.rng.IntN(len(w.Gates))]]
}

func (sim *simulation) outcomeOf(all map[string]*Outcome, name string) *Outcome {
	o := all[name]
	if o == nil {
		o = &Outcome{}
		all[name] = o
	}
	return o
}

func (sim *simulation) runStep(e *engine) {
	length := time.Duration(float64(e.startStep()) * e.relativeTime(sim.events.Now()))
	e.stepping = length > 0
	if !e.stepping {
		return
	}
	sim.schedule(length, func(now time.Duration) {
		finished := e.finishStep(now)
		if sim.crashIfBegun(now, e, finished) {
			e.stepping = false
			return
		}
		for _, j := range finished {
			j.request.lease.End(now, admission.ResultDone, nil)
		}
		sim.runStep(e)
	})
}
