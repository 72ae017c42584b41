package overload

import (
	"fmt"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/prompt"
	"github.com/mastichollow/mastichollow/internal/target"
)

// engineRestartTime is how long an engine that a request crashed is down. Then it is back
// under another ID.
const engineRestartTime = 3500 * time.Millisecond

// CrashingPart is a part of prompts that crashes each engine that begins a response to
// it. The requests with it come at any gate; beside it they have what other requests of
// their workspace have.
type CrashingPart struct {
	Hash              uint64
	RequestsPerSecond float64
	Start             time.Duration
	// Workspaces are the indexes of the workspaces that send it; nil: all.
	Workspaces []int
	// BeforeResponse: the engines crash before they send the head of the response.
	BeforeResponse bool
	// After is how long the response lasts until the engine crashes.
	After time.Duration
	// WithoutPart: the requests crash engines for another reason and have no such part.
	WithoutPart bool
}

// CrashingOutcome is what became of the requests with a CrashingPart.
type CrashingOutcome struct {
	Crashes []time.Duration // of engines
	Placed  []time.Duration // requests that reached an engine
	// SharedHashes are the first parts of the requests.
	SharedHashes map[uint64]bool
}

// PlacedAfter returns the requests that reached engines later than delay after the
// given crash, counted from 1; 0 if there were fewer crashes.
func (o *CrashingOutcome) PlacedAfter(crash int, delay time.Duration) int {
	placed := 0
	for _, at := range o.Placed {
		if len(o.Crashes) >= crash && at > o.Crashes[crash-1]+delay {
			placed++
		}
	}
	return placed
}

// Arrival is the first attempt of a request without a crashing part.
type Arrival struct {
	At         time.Duration
	Workspace  string
	SharedHash uint64
	Admitted   bool
}

func (sim *simulation) scheduleCrashing(p *CrashingPart) {
	outcome := &CrashingOutcome{SharedHashes: make(map[uint64]bool)}
	sim.result.Crashing = append(sim.result.Crashing, outcome)
	sim.schedule(p.Start, func(now time.Duration) { sim.sendCrashing(now, p, outcome) })
}

// sendCrashing sends a request with the part and schedules the next one.
func (sim *simulation) sendCrashing(now time.Duration, p *CrashingPart, outcome *CrashingOutcome) {
	if now > sim.load.Length {
		return
	}
	index := sim.rng.IntN(len(sim.load.Workspaces))
	if p.Workspaces != nil {
		index = p.Workspaces[sim.rng.IntN(len(p.Workspaces))]
	}
	w := &sim.load.Workspaces[index]
	r := sim.newRequest(now, w)
	if !p.WithoutPart {
		parts := r.admissionRequest.Parts
		r.admissionRequest.Parts = []prompt.Part{parts[0], {Hash: p.Hash, Tokens: 1}, parts[1]}
	}
	r.crashing, r.crashingPart = outcome, p
	outcome.SharedHashes[r.sharedHash] = true
	if d := sim.send(now, sim.chooseGate(w), r); d.Refused == "" {
		outcome.Placed = append(outcome.Placed, now)
		sim.place(now, r, d)
	}
	sim.schedule(time.Duration(sim.rng.ExpFloat64()/p.RequestsPerSecond*float64(time.Second)), func(now time.Duration) { sim.sendCrashing(now, p, outcome) })
}

// crashIfBegun crashes the engine if it has begun the response to a request with a
// crashing part, and that has lasted as long as the part says or is complete. It reports whether
// it did. The requests that finished in the same step are lost with the others.
func (sim *simulation) crashIfBegun(now time.Duration, e *engine, finished []*job) bool {
	for _, j := range append(slices.Clone(e.jobs), finished...) {
		if j.request.crashing == nil || !j.started || now-j.startedAt < j.request.crashingPart.After && !slices.Contains(finished, j) {
			continue
		}
		e.jobs = append(e.jobs, finished...)
		j.request.crashing.Crashes = append(j.request.crashing.Crashes, now)
		sim.crash(now, e)
		sim.schedule(engineRestartTime, func(time.Duration) { sim.restart(e) })
		return true
	}
	return false
}

// restart starts an engine under another ID.
func (sim *simulation) restart(e *engine) {
	old := e.id
	sim.restarts++
	e.id, e.down = fmt.Sprintf("e%02d-%s", sim.restarts, old[:3]), false
	delete(sim.enginesByID, old)
	sim.enginesByID[e.id] = e
	for i := range sim.targets {
		if sim.targets[i].ID == old {
			sim.targets[i].ID, sim.targets[i].Hash = e.id, target.HashID(e.id)
		}
	}
}
