package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/agenda"
	"github.com/mastichollow/mastichollow/internal/target"
)

// Kind is a kind of request.
type Kind struct {
	Name         string
	Share        float64 // of all requests
	SharedTokens int     // of the part that requests have in common
	SharedParts  int     // how many such parts there are
	OwnTokens    int     // mean of the part of its own
	Output       int     // mean tokens to generate
	Goal         time.Duration
	Deadline     time.Duration
}

// Workspace sends requests at a rate, to some of the gates.
type Workspace struct {
	Name      string
	PerSecond float64
	Gates     []int // nil: all
	// Long makes it send only kinds with long prompts (true) or all (false).
	Long bool
}

// Load is what is played.
type Load struct {
	Kinds           []Kind
	Workspaces      []Workspace
	Gates, Engines  int
	Length          time.Duration
	TokensPerSecond float64
	// ReportDelay is how late gates learn of each other.
	ReportDelay time.Duration
	// LostReports is the part of the reports that is lost.
	LostReports float64
	// SlowEngines work SlowFactor times as long, unknown to the gates.
	SlowEngines int
	SlowFactor  float64
	// ReadPerMS is the engines' speed, in prompt tokens a millisecond; 0: that of the
	// first users' sheets.
	ReadPerMS float64
	Seed      uint64
}

// Outcome is what callers of one workspace or kind got. Refused counts those that
// were refused again when they came back.
type Outcome struct {
	Asked, InTime, Late, Refused int
	// Tokens is the prompt tokens of requests that were taken.
	Tokens int
	// LongestWait is the longest time to a first event.
	LongestWait time.Duration
}

// InTimeShare returns the part of the requests that got their first event in time.
func (o *Outcome) InTimeShare() float64 { return float64(o.InTime) / float64(max(o.Asked, 1)) }

// Result is the outcome of a play.
type Result struct {
	Workspaces map[string]*Outcome
	Kinds      map[string]*Outcome
	Total      Outcome
	// Seconds is what each workspace asked for and got, second by second.
	Seconds map[string][]Second
	// Largest is the work of the largest request.
	Largest float64
}

// Policy decides for one gate.
type Policy interface {
	Admit(now time.Duration, r *admission.Request, targets []target.Instance) admission.Decision
	Report(now time.Duration) admission.Report
	Merge(now time.Duration, node string, r admission.Report)
}

// request is a caller's request.
type request struct {
	kind         *Kind
	workspace    string
	shared       uint64
	sharedTokens int
	own, output  int
	arrived      time.Duration
	deadline     time.Duration
	lease        *admission.Lease
	outcomes     []*Outcome
	policy       admission.Request
	returned     bool
	seconds      []Second // of the workspace
}

// first notes the first event.
func (r *request) first(now time.Duration) {
	wait := now - r.arrived
	r.secondOf(now).Begun += r.work()
	if wait > r.kind.Goal {
		r.trouble(r.arrived+r.kind.Goal, now)
	}
	for _, o := range r.outcomes {
		if wait <= r.kind.Goal {
			o.InTime++
		} else {
			o.Late++
		}
		o.LongestWait = max(o.LongestWait, wait)
	}
	r.lease.Began(now)
}

// play is a run under way.
type play struct {
	load    *Load
	rng     *rand.Rand
	gates   []Policy
	engines []*engine
	byID    map[string]*engine
	targets []target.Instance
	events  agenda.Scheduler
	result  *Result
}

// reportInterval is the pause between two reports of a gate.
const reportInterval = 200 * time.Millisecond

// Play plays the load against gates that newPolicy makes.
func Play(load *Load, newPolicy func() Policy) *Result {
	p := &play{
		load: load, rng: rand.New(rand.NewPCG(load.Seed, 1)), byID: make(map[string]*engine),
		result: &Result{Workspaces: make(map[string]*Outcome), Kinds: make(map[string]*Outcome), Seconds: make(map[string][]Second)},
	}
	for i := range load.Engines {
		e := &engine{id: fmt.Sprintf("e%02d", i), kept: make(map[uint64]time.Duration), slowness: 1, speed: load.ReadPerMS}
		if e.speed == 0 {
			e.speed = readPerMS
		}
		if i < load.SlowEngines {
			e.slowness = load.SlowFactor
		}
		p.engines = append(p.engines, e)
		p.byID[e.id] = e
		p.targets = append(p.targets, target.Instance{ID: e.id, Service: "engines", Domain: "d", Slots: batch, Hash: target.HashID(e.id)})
	}
	for i := range load.Gates {
		p.gates = append(p.gates, newPolicy())
		p.after(time.Duration(i)*reportInterval/time.Duration(load.Gates), func(now time.Duration) { p.report(now, i) })
	}
	for i := range load.Workspaces {
		p.nextArrival(0, &load.Workspaces[i])
	}
	p.events.Drain()
	return p.result
}

// after runs do once d has passed.
func (p *play) after(d time.Duration, do func(now time.Duration)) {
	p.events.After(d, func() { do(p.events.Now()) })
}

// report tells the other gates, some time later.
func (p *play) report(now time.Duration, from int) {
	if now > p.load.Length {
		return
	}
	r := p.gates[from].Report(now)
	lost := p.load.LostReports > 0 && p.rng.Float64() < p.load.LostReports
	p.after(p.load.ReportDelay, func(now time.Duration) {
		for i, g := range p.gates {
			if i != from && !lost {
				g.Merge(now, fmt.Sprint("gate", from), r)
			}
		}
	})
	p.after(reportInterval, func(now time.Duration) { p.report(now, from) })
}

func (p *play) nextArrival(now time.Duration, w *Workspace) {
	wait := time.Duration(p.rng.ExpFloat64() / w.PerSecond * float64(time.Second))
	if now+wait > p.load.Length {
		return
	}
	p.after(wait, func(now time.Duration) {
		p.arrive(now, w)
		p.nextArrival(now, w)
	})
}

// spread draws around a mean, as the sheets do: most below, some far above.
func (p *play) spread(mean int) int {
	const sigma = 0.8
	return max(1, int(float64(mean)*math.Exp(sigma*p.rng.NormFloat64()-sigma*sigma/2)))
}

func (p *play) kind(long bool) *Kind {
	at := p.rng.Float64()
	for i := range p.load.Kinds {
		k := &p.load.Kinds[i]
		if at -= k.Share; at < 0 && (!long || i == 0) {
			return k
		}
	}
	return &p.load.Kinds[0]
}

func (p *play) arrive(now time.Duration, w *Workspace) {
	k := p.kind(w.Long)
	part := p.rng.IntN(k.SharedParts)
	r := &request{
		kind: k, workspace: w.Name, shared: uint64(part)<<8 | uint64(len(k.Name)), sharedTokens: k.SharedTokens,
		own: p.spread(k.OwnTokens), output: p.spread(k.Output), arrived: now, deadline: now + k.Deadline,
		outcomes: []*Outcome{p.of(p.result.Workspaces, w.Name), p.of(p.result.Kinds, k.Name), &p.result.Total},
	}
	r.policy = admission.Request{
		Workspace: w.Name, Service: "engines", Slots: batch, CacheTokens: cacheTokens,
		Parts:        []admission.Part{{Hash: r.shared, Tokens: r.sharedTokens}, {Hash: p.rng.Uint64(), Tokens: r.own}},
		PromptTokens: r.sharedTokens + r.own, OutputTokens: r.output, FirstTokenObjective: k.Goal, Hash: p.rng.Uint64(), Fingerprint: admission.Fingerprint(p.rng.Uint64()),
	}
	for _, o := range r.outcomes {
		o.Asked++
	}
	r.seconds = p.result.secondsOf(w.Name, p.load.Length)
	p.result.Largest = max(p.result.Largest, r.work())
	r.secondOf(now).Asked += r.work()
	p.try(now, w, r)
}

// returnSpread spreads the returns of refused callers over the pause that they
// are told and half of it again, as the gate does.
const returnSpread = 0.5

// try sends a request to a gate. Callers that are told when to come back do so
// once.
func (p *play) try(now time.Duration, w *Workspace, r *request) {
	d := p.gate(w).Admit(now, &r.policy, p.targets)
	if d.Refused == "" {
		p.place(now, r, d)
		return
	}
	r.secondOf(now).Troubled = true
	if d.RetryAfter > 0 && !r.returned {
		r.returned = true
		pause := time.Duration(float64(d.RetryAfter) * (1 + returnSpread*p.rng.Float64()))
		p.after(pause, func(now time.Duration) { p.try(now, w, r) })
		return
	}
	for _, o := range r.outcomes {
		o.Refused++
	}
}

func (p *play) place(now time.Duration, r *request, d admission.Decision) {
	for _, o := range r.outcomes {
		o.Tokens += r.sharedTokens + r.own
	}
	r.lease = d.Lease
	e := p.byID[d.Target.ID]
	e.accept(now, r)
	if !e.stepping {
		p.step(e)
	}
}

func (p *play) gate(w *Workspace) Policy {
	if w.Gates == nil {
		return p.gates[p.rng.IntN(len(p.gates))]
	}
	return p.gates[w.Gates[p.rng.IntN(len(w.Gates))]]
}

func (p *play) of(all map[string]*Outcome, name string) *Outcome {
	o := all[name]
	if o == nil {
		o = &Outcome{}
		all[name] = o
	}
	return o
}

func (p *play) step(e *engine) {
	length := e.step()
	e.stepping = length > 0
	if !e.stepping {
		return
	}
	p.after(length, func(now time.Duration) {
		for _, j := range e.finish(now) {
			j.request.lease.End(now, admission.ResultDone, nil)
		}
		p.step(e)
	})
}
