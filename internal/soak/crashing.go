package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/platform/standin"
)

const (
	// crashingPart is the hash of the part of prompts that crashes targets.
	crashingPart = "badc0de"
	// crashingSeedStep selects the seeds that play it, all of the profile Mixed.
	crashingSeedStep = 8
	// crashingCallInterval is the mean time between two calls with the part at a gate.
	crashingCallInterval = 600 * time.Millisecond
	// crashRestartTime is how long a target that a call crashed is down.
	crashRestartTime = 2 * time.Second
	// boundingCrash and maxRunsAfterCrash are the platform's bound: no more than three calls
	// with the part reach targets later than minUndisruptedTime after the fifth crash.
	boundingCrash     = 5
	maxRunsAfterCrash = 3
)

func playsCrashingPart(seed uint64) bool { return seed%crashingSeedStep == 0 }

// crashStages are the stages of a response at which seeds with a crashing part crash targets, in
// turn.
var crashStages = []standin.CrashStage{standin.CrashAfterHead, standin.CrashBeforeHead, standin.CrashWhileStreaming}

func crashStageOf(seed uint64) standin.CrashStage {
	return crashStages[(seed/crashingSeedStep+2)%uint64(len(crashStages))] // seed 8: the first
}

// crashByCall crashes the target because of a call and starts another one at its address.
func (t *target) crashByCall(ctx context.Context) {
	if !t.lifecycleMu.TryLock() {
		return // down already
	}
	endDisruption := t.deployment.history.BeginDisruption(Subject{PartTarget, t.index})
	t.deployment.mu.Lock()
	t.deployment.crashes = append(t.deployment.crashes, time.Now())
	t.deployment.mu.Unlock()
	t.setUnavailable(true)
	t.Crash()
	go func() {
		defer t.lifecycleMu.Unlock()
		defer endDisruption()
		defer t.setUnavailable(false)
		clock.Sleep(ctx, crashRestartTime)
		t.Deregister()
		if err := t.Start(t.service); err != nil {
			t.deployment.addViolation(Violation{Rule: "target not restarted", Detail: err.Error()})
		}
		clock.Sleep(ctx, settleTime)
	}()
}

// startCrashers starts a caller for each gate whose calls have the crashing part, and
// nothing else in common. The returned function stops them.
func (d *deployment) startCrashers(ctx context.Context, seed uint64) func() {
	if !playsCrashingPart(seed) {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for gate := range d.gates {
		c := &caller{deployment: d, gate: gate, name: fmt.Sprintf("d%05x%04x", gate, 0), random: rand.New(rand.NewPCG(seed, 1<<40|uint64(gate)))}
		wg.Go(func() {
			defer c.closeConn()
			for ctx.Err() == nil {
				clock.Sleep(ctx, time.Duration(c.random.Int64N(int64(2*crashingCallInterval))))
				d.addRecord(c.send(c.nextCrashingCall()))
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// nextCrashingCall generates the next call with the crashing part.
func (c *caller) nextCrashingCall() CallRecord {
	r := c.nextCall()
	for r.Route.Service != lettersService {
		r = c.nextCall()
	}
	r.Call.PromptParts = fmt.Sprintf("a%x:80,%s:20,%x:%s", c.random.IntN(8), crashingPart, c.random.Uint32(), strconv.Itoa(r.Call.PromptTokens-100))
	return r
}

// checkCrashingPart: gates that know each other send few calls with a part to targets
// after its fifth crash.
func (c *checker) checkCrashingPart(recordByID map[string]*CallRecord) {
	if len(c.crashes) < boundingCrash {
		return
	}
	bound := c.crashes[boundingCrash-1].Add(minUndisruptedTime)
	late := 0
	for id, runs := range c.runsByCall {
		r := recordByID[id]
		for i := range runs {
			if run := &runs[i]; r != nil && run.Crashed && run.Start.After(bound) && c.gateUndisrupted(r.Gate, run.Start.Add(-minUndisruptedTime), run.Start) {
				late++
			}
		}
	}
	if late > maxRunsAfterCrash {
		c.violations = append(c.violations, Violation{Rule: "crashing part", Detail: fmt.Sprintf("%d calls with the part ran after the fifth of %d crashes", late, len(c.crashes))})
	}
}
