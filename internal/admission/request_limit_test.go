package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
)

const (
	// limitWindow, limitTolerance and limitSlack are the users' bound: in any limitWindow at
	// most limitTolerance times what the limit allows, and limitSlack requests more.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	// limitNotice is the time after a target first names its limit until the bound holds.
	limitNotice = 3 * time.Second
	// limitTold is how long a gate must know of the limit for its requests to count.
	limitTold = 500 * time.Millisecond
)

// limitFleet is a fleet of gates that exchange reports and send requests to engines, some of
// which name a request limit, in virtual time.
type limitFleet struct {
	rng      *rand.Rand
	now      time.Duration
	gates    []*limitGate
	engines  []target.Instance
	limits   map[string]float64
	from, to time.Duration // while limits are named
	// reachable reports whether reports of a gate reach another one.
	reachable func(now time.Duration, from, to int) bool
	pending   []limitEvent
	arrivals  map[string][]limitArrival
	// firstNamed is when a response first named the limit of a target.
	firstNamed map[string]time.Duration
	weights    []float64 // of the requests that callers send to each gate
}

type limitGate struct {
	node       string
	region     string
	controller *Controller
	start, end time.Duration
	heard      map[int]time.Duration
	// listed is cleared for a gate that started without the store.
	listed bool
	named  map[string]time.Duration // when a target first named its limit to this gate
}

// limitArrival is the arrival of a request at a target. told is set if the gate that sent it
// knows of the limit: the target named it to that gate, or the gate had time to learn of it.
type limitArrival struct {
	at   time.Duration
	told bool
}

type limitEvent struct {
	at time.Duration
	do func()
}

func newLimitFleet(seed uint64, gates int, limits ...float64) *limitFleet {
	f := &limitFleet{
		rng: rand.New(rand.NewPCG(seed, 3)), engines: newEngines(12), limits: make(map[string]float64), from: 2 * time.Second, to: time.Hour,
		reachable: func(time.Duration, int, int) bool { return true }, arrivals: make(map[string][]limitArrival),
		firstNamed: make(map[string]time.Duration),
	}
	for i, limit := range limits {
		f.limits[f.engines[i].ID] = limit
	}
	for i := range gates {
		f.gates = append(f.gates, f.newGate(i, 0))
		f.weights = append(f.weights, math.Exp(f.rng.NormFloat64())) // load balancers spread callers unevenly
	}
	return f
}

func (f *limitFleet) newGate(index int, start time.Duration) *limitGate {
	region := fmt.Sprint("r", index%3)
	return &limitGate{
		node: fmt.Sprint("gate", index), region: region, start: start, end: time.Hour, listed: true, heard: make(map[int]time.Duration), named: make(map[string]time.Duration),
		controller: NewController(Config{
			Site:  Site{Domain: fmt.Sprint("d", index%3), Region: region, Regions: map[string]string{"d": "r0", "d0": "r0", "d1": "r1", "d2": "r2"}},
			Retry: RetryBudget{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
		}),
	}
}

func (f *limitFleet) after(d time.Duration, do func()) {
	f.pending = append(f.pending, limitEvent{f.now + d, do})
}

func (f *limitFleet) alive(i int) bool { return f.now >= f.gates[i].start && f.now < f.gates[i].end }

// report exchanges the reports of one round and tells each gate its fleet.
func (f *limitFleet) report() {
	for i, gate := range f.gates {
		if !f.alive(i) {
			continue
		}
		fleet := Fleet{Node: gate.node, Known: 1, Alive: []FleetGate{NewFleetGate(gate.node, gate.region)}}
		for j, peer := range f.gates {
			at, heard := gate.heard[j]
			if j == i || !gate.listed && !heard {
				continue
			}
			fleet.Known++
			if heard && f.now-at <= minPeerReportLifetime || gate.listed && f.now-gate.start < 3*time.Second {
				region := peer.region
				if !gate.listed {
					region = ""
				}
				fleet.Alive = append(fleet.Alive, NewFleetGate(peer.node, region))
			}
		}
		gate.controller.SetFleet(fleet)
		report := gate.controller.Report(f.now)
		for j, peer := range f.gates {
			if j == i || !f.alive(j) || !f.reachable(f.now, i, j) || f.rng.IntN(20) == 0 {
				continue
			}
			f.after(time.Duration(5+f.rng.IntN(250))*time.Millisecond, func() {
				peer.heard[i] = f.now
				peer.controller.Merge(f.now, gate.node, report)
			})
		}
	}
}

// send has a gate admit a request and plays the responses of the targets that get it. A
// fraction of the responses is lost and the request sent again.
func (f *limitFleet) send(gate *limitGate, req Request) {
	d := gate.controller.Admit(f.now, &req, f.engines)
	if d.Refused != "" {
		return
	}
	id := d.Target.ID
	f.after(time.Duration(f.rng.IntN(20))*time.Millisecond, func() {
		named, known := gate.named[id]
		f.arrivals[id] = append(f.arrivals[id], limitArrival{f.now, known && f.now-named >= limitTold || f.now-gate.start >= limitNotice})
	})
	f.after(time.Duration(30+f.rng.IntN(400))*time.Millisecond, func() {
		limit, named := f.limits[id]
		statement := LimitAbsent
		if named && f.now >= f.from && f.now < f.to {
			statement = LimitNamed
			if _, known := f.firstNamed[id]; !known {
				f.firstNamed[id] = f.now
			}
			if _, known := gate.named[id]; !known {
				gate.named[id] = f.now
			}
		}
		lost := f.rng.IntN(10) == 0
		if !lost {
			d.Lease.RecordRequestLimit(f.now, RequestLimit{Statement: statement, PerSecond: limit})
			d.Lease.Began(f.now)
			d.Lease.End(f.now, ResultDone, f.engines)
			return
		}
		d.Lease.End(f.now, ResultFailed, f.engines)
		req.Retry, req.Exclude = true, append(slices.Clone(req.Exclude), id)
		if len(req.Exclude) < 3 {
			f.send(gate, req)
		}
	})
}

// chooseGate returns an alive gate by weight, nil if there is none.
func (f *limitFleet) chooseGate() *limitGate {
	total := 0.0
	for i, weight := range f.weights {
		if f.alive(i) {
			total += weight
		}
	}
	draw := f.rng.Float64() * total
	var last *limitGate
	for i, weight := range f.weights {
		if !f.alive(i) {
			continue
		}
		last = f.gates[i]
		if draw -= weight; draw < 0 {
			break
		}
	}
	return last
}

// run plays requests at a rate until a time.
func (f *limitFleet) run(until time.Duration, perSecond func(now time.Duration) float64) {
	const step = 10 * time.Millisecond
	for n := 0; f.now < until; f.now += step {
		due := f.pending
		f.pending = nil
		for _, event := range due {
			if event.at <= f.now {
				event.do()
			} else {
				f.pending = append(f.pending, event)
			}
		}
		if f.now%(200*time.Millisecond) == 0 {
			f.report()
		}
		for due := perSecond(f.now) * step.Seconds(); due > 0; due-- {
			if due < 1 && f.rng.Float64() >= due {
				break
			}
			n++
			req := letterRequest("w", uint64(f.rng.IntN(40)), 1000+n)
			req.PromptTokens, req.OutputTokens = 100, 10
			if gate := f.chooseGate(); gate != nil {
				f.send(gate, *req)
			}
		}
	}
}

// requireWithinLimits checks the users' bound in each window from limitNotice on.
func (f *limitFleet) requireWithinLimits(t *testing.T) {
	t.Helper()
	for id, limit := range f.limits {
		allowed := limitTolerance*limit*limitWindow.Seconds() + limitSlack
		var window []time.Duration
		for _, arrival := range f.arrivals[id] {
			at := arrival.at
			if named, known := f.firstNamed[id]; !arrival.told || !known || at < named+limitNotice || at > f.to {
				continue
			}
			window = append(window, at)
			for at-window[0] >= limitWindow {
				window = window[1:]
			}
			require.LessOrEqual(t, float64(len(window)), allowed, "target %s, limit %.2f: requests in the 4 s before %v", id, limit, at)
		}
	}
}

// served returns the requests per second that a target got between two times.
func (f *limitFleet) served(id string, from, to time.Duration) float64 {
	n := 0
	for _, arrival := range f.arrivals[id] {
		if arrival.at >= from && arrival.at < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

var testedLimits = []float64{0, 0.3, 1, 3.2, 7, 40}

func steadily(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// inBursts alternates between none and many requests, so that all gates have unused rate
// when requests come.
func inBursts(perSecond float64) func(time.Duration) float64 {
	return func(now time.Duration) float64 {
		if int(now/time.Second)%9 < 7 {
			return 1
		}
		return perSecond
	}
}

func TestFleetStaysWithinRequestLimits(t *testing.T) {
	const end = 36 * time.Second
	changes := map[string]func(f *limitFleet){
		"steady": func(*limitFleet) {},
		"gate dies and returns": func(f *limitFleet) {
			f.gates[0].end = 10 * time.Second
			f.after(16*time.Second, func() { f.gates[0] = f.newGate(0, f.now) })
		},
		"gate starts": func(f *limitFleet) {
			f.gates = append(f.gates, f.newGate(len(f.gates), 12*time.Second))
			f.weights = append(f.weights, 1)
		},
		"gate starts while the store is away": func(f *limitFleet) {
			f.gates = append(f.gates, f.newGate(len(f.gates), 12*time.Second))
			f.gates[len(f.gates)-1].listed = false
			f.weights = append(f.weights, 1)
		},
		"peers cut off": func(f *limitFleet) {
			f.reachable = func(now time.Duration, from, to int) bool {
				return now < 12*time.Second || now > 28*time.Second || (from < len(f.gates)/3) == (to < len(f.gates)/3)
			}
		},
		"all links away": func(f *limitFleet) {
			f.reachable = func(now time.Duration, _, _ int) bool { return now < 12*time.Second || now > 28*time.Second }
		},
	}
	for name, change := range changes {
		for _, gates := range []int{1, 5, 33} {
			for shape, load := range map[string]func(float64) func(time.Duration) float64{"steady": steadily, "bursts": inBursts} {
				t.Run(fmt.Sprintf("%s, %d gates, %s load", name, gates, shape), func(t *testing.T) {
					t.Parallel()
					f := newLimitFleet(uint64(gates), gates, testedLimits...)
					change(f)
					f.run(end, load(120))
					f.requireWithinLimits(t)
				})
			}
		}
	}
}

// After a quiet time every gate could hold a request for each limited target.
func TestBurstAfterQuietTimeStaysWithinRequestLimits(t *testing.T) {
	for _, gates := range []int{5, 33} {
		f := newLimitFleet(5, gates, testedLimits...)
		f.run(60*time.Second, func(now time.Duration) float64 {
			if now > 6*time.Second && now < 54*time.Second {
				return 0
			}
			return 300
		})
		f.requireWithinLimits(t)
	}
}

// A limit that nobody uses up costs capacity for nothing.
func TestRequestLimitIsUsed(t *testing.T) {
	for _, gates := range []int{1, 5, 33} {
		f := newLimitFleet(7, gates, testedLimits...)
		f.run(40*time.Second, steadily(400))
		f.requireWithinLimits(t)
		for i, limit := range testedLimits[2:5] {
			require.Greater(t, f.served(f.engines[2+i].ID, 10*time.Second, 40*time.Second), 0.6*limit, "%d gates, limit %.1f", gates, limit)
		}
	}
}

func TestRequestLimitEndsWhenNoLongerNamed(t *testing.T) {
	for _, gates := range []int{1, 5, 33} {
		f := newLimitFleet(9, gates, testedLimits...)
		f.to = 14 * time.Second
		f.run(30*time.Second, steadily(250))
		for _, gate := range f.gates {
			require.Zero(t, gate.controller.LimitedTargets(), "%d gates, %s", gates, gate.node)
		}
		require.Empty(t, f.gates[0].controller.requestLimits.targets, "ended limits must be forgotten")
	}
}

func namedLimit(perSecond float64) RequestLimit {
	return RequestLimit{Statement: LimitNamed, PerSecond: perSecond}
}

// admitTo has a controller admit one request to its only engine.
func admitTo(t *testing.T, c *Controller, now time.Duration, engines []target.Instance) Decision {
	t.Helper()
	d := c.Admit(now, letterRequest("w", 7, int(now/time.Millisecond)), engines)
	require.Empty(t, d.Refused)
	return d
}

func TestResponseToOlderRequestDoesNotEndLimit(t *testing.T) {
	c := newTestController()
	engines := newEngines(1)
	older, newer := admitTo(t, c, 0, engines), admitTo(t, c, time.Millisecond, engines)
	require.True(t, newer.Lease.RecordRequestLimit(time.Second, namedLimit(2)))
	require.False(t, older.Lease.RecordRequestLimit(2*time.Second, RequestLimit{}))
	require.Equal(t, 1, c.LimitedTargets())
	latest := admitTo(t, c, 4*time.Second, engines)
	require.True(t, latest.Lease.RecordRequestLimit(5*time.Second, RequestLimit{}))
	require.Zero(t, c.LimitedTargets())
}

func TestPeerReportDoesNotReviveEndedLimit(t *testing.T) {
	c := newTestController()
	engines := newEngines(1)
	d := admitTo(t, c, 10*time.Second, engines)
	c.Merge(9*time.Second, "peer", Report{RequestLimits: map[string]LimitReport{engines[0].ID: {PerSecond: 1, EndedAge: -1}}})
	d.Lease.RecordRequestLimit(11*time.Second, RequestLimit{})
	c.Merge(11*time.Second, "peer", Report{RequestLimits: map[string]LimitReport{engines[0].ID: {PerSecond: 1, NamedAge: 2 * time.Second, EndedAge: -1}}})
	require.Zero(t, c.LimitedTargets())
}

func TestRequestLimitEndsWhenTargetRestarts(t *testing.T) {
	c := newTestController()
	engines := newEngines(1)
	d := admitTo(t, c, 0, engines)
	d.Lease.RecordRequestLimit(0, namedLimit(0))
	require.Equal(t, request.ReasonOverloaded, c.Admit(0, letterRequest("w", 7, 2), engines).Refused)
	engines[0].StartedMillis++
	admitTo(t, c, 0, engines)
	c.RetainTargets(func(string) bool { return false })
	require.Empty(t, c.requestLimits.targets)
}

func TestOddRequestLimitsHarmless(t *testing.T) {
	for _, odd := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		c := newTestController()
		engines := newEngines(1)
		d := admitTo(t, c, 0, engines)
		require.False(t, d.Lease.RecordRequestLimit(0, namedLimit(odd)), "%f", odd)
		c.Merge(0, "peer", Report{RequestLimits: map[string]LimitReport{engines[0].ID: {PerSecond: odd}, "other": {PerSecond: 1, Demand: odd}}})
		require.Zero(t, c.LimitedTargets())
		admitTo(t, c, 0, engines)
	}
	for _, huge := range []float64{1e6, math.MaxFloat64} {
		c := newTestController()
		engines := newEngines(1)
		admitTo(t, c, 0, engines).Lease.RecordRequestLimit(0, namedLimit(huge))
		for n := range 20 {
			admitTo(t, c, time.Duration(n+1)*10*time.Millisecond, engines).Lease.End(0, ResultDone, engines)
		}
	}
}

// A target that names 0 gets a request now and then, since it could not end the limit
// otherwise.
func TestZeroRequestLimitIsProbedRarely(t *testing.T) {
	c := newTestController()
	engines := newEngines(1)
	admitTo(t, c, 0, engines).Lease.RecordRequestLimit(0, namedLimit(0))
	admitted := 0
	for now := time.Duration(0); now < 60*time.Second; now += 20 * time.Millisecond {
		if d := c.Admit(now, letterRequest("w", 7, int(now)), engines); d.Refused == "" {
			admitted++
			d.Lease.RecordRequestLimit(now, namedLimit(0))
			d.Lease.End(now, ResultDone, engines)
		} else {
			require.Equal(t, request.ReasonOverloaded, d.Refused)
			require.Positive(t, d.RetryAfter)
		}
	}
	require.InDelta(t, 60*minLimitRate, admitted, 2)
}

func TestRequestLimitOfPlainTargetGoesElsewhere(t *testing.T) {
	c := newTestController()
	all := newEngines(2)
	first := c.Admit(0, &Request{Service: "orders"}, all)
	first.Lease.RecordRequestLimit(0, namedLimit(0))
	for n := range 6 {
		d := c.Admit(0, &Request{Service: "orders", Hash: uint64(n)}, all)
		require.Empty(t, d.Refused)
		require.NotEqual(t, first.Target.ID, d.Target.ID)
		d.Lease.End(0, ResultDone, all)
	}
}

func TestRequestLimitsBounded(t *testing.T) {
	c := newTestController()
	c.SetFleet(Fleet{Node: "a", Known: 2, Alive: []FleetGate{NewFleetGate("a", "r"), NewFleetGate("b", "r")}})
	for n := range 3 * maxRequestLimits {
		c.Merge(0, fmt.Sprint("peer", n%100), Report{RequestLimits: map[string]LimitReport{fmt.Sprint("t", n/100): {PerSecond: 1, Demand: 1}}})
		c.Merge(0, "peer", Report{RequestLimits: map[string]LimitReport{fmt.Sprint("u", n): {PerSecond: 1, Demand: 1}}})
	}
	require.LessOrEqual(t, len(c.requestLimits.targets), maxRequestLimits)
	for _, state := range c.requestLimits.targets {
		require.LessOrEqual(t, len(state.peers), 4)
	}
	c.Report(2 * limitRetention)
	require.Empty(t, c.requestLimits.targets)
}

// In large fleets peers report rarely; their demand must count until the next report.
func TestPeerDemandCountsForReportLifetime(t *testing.T) {
	c := newTestController()
	c.SetPeerReportLifetime(time.Minute)
	c.SetFleet(Fleet{Node: "a", Known: 2, Alive: []FleetGate{NewFleetGate("a", "r"), NewFleetGate("b", "r")}})
	engines := newEngines(1)
	admitTo(t, c, 0, engines).Lease.RecordRequestLimit(0, namedLimit(10))
	c.Merge(0, "b", Report{RequestLimits: map[string]LimitReport{engines[0].ID: {PerSecond: 10, NamedAge: 0, EndedAge: -1, Demand: 1000}}})
	admitted := 0
	for now := time.Duration(0); now < 30*time.Second; now += 50 * time.Millisecond {
		if d := c.Admit(now, letterRequest("w", 7, int(now)), engines); d.Refused == "" {
			admitted++
			d.Lease.RecordRequestLimit(now, namedLimit(10))
			d.Lease.End(now, ResultDone, engines)
		}
	}
	require.Less(t, admitted, 30, "nearly all of the 300 requests are the peer's")
}
