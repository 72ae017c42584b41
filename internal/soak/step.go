package soak

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/socket"
	"github.com/mastichollow/mastichollow/platform/standin"
)

// domains are the failure domains of gates and targets.
var domains = []string{"d0", "d1", "d2"}

// slowLinkDelay is the delay of a slow link, in each direction: twice the latency
// between remote regions.
const slowLinkDelay = 120 * time.Millisecond

// runStep runs one step until it ends.
func (d *deployment) runStep(ctx context.Context, s Step) error {
	gate, t := d.gates[s.Index%len(d.gates)], d.targets[s.Index%len(d.targets)]
	switch s.Kind {
	case StopGate:
		return gate.Stop(ctx, s.Duration/4)
	case ReloadGate:
		gate.Reload()
	case KillGate:
		return gate.Kill(ctx, s.Duration/4)
	case PauseGate:
		gate.Pause(ctx, s.Duration)
	case KillAllGates:
		return d.killAllGates(ctx, s.Duration/4)
	case FaultCallerLink:
		d.applyLinkFault(ctx, gate.CallerLink, Subject{PartCallerLink, gate.index}, s)
	case FaultStoreLink:
		d.applyLinkFault(ctx, gate.StoreLink, Subject{PartStoreLink, gate.index}, s)
	case FaultTargetLink:
		d.applyLinkFault(ctx, t.link, Subject{PartTarget, t.index}, s)
	case FaultStore:
		d.applyStoreFault(ctx, s)
	case CompactStore:
		d.store.Compact()
	case FaultTarget:
		t.applyFault(ctx, s)
	case CrashTarget:
		return t.crashAndRestart(ctx, s)
	case DrainTarget:
		return t.drainAndReplace(ctx)
	case MoveRoute:
		return d.operator.moveRoute()
	case EvacuateDomain:
		d.evacuate(ctx, s)
	case RevokeKey:
		return d.operator.revokeKey(s.Index)
	default:
		return errors.Newf("unknown kind of step %q", s.Kind)
	}
	return nil
}

func (d *deployment) killAllGates(ctx context.Context, down time.Duration) error {
	var group errgroup.Group
	for _, g := range d.gates {
		group.Go(func() error { return g.Kill(ctx, down) })
	}
	return group.Wait()
}

// applyLinkFault applies the fault that the variant of s selects to a link.
func (d *deployment) applyLinkFault(ctx context.Context, l *Link, subject Subject, s Step) {
	endDisruption := d.history.BeginDisruption(subject)
	defer endDisruption()
	faults := []LinkFault{{Delay: slowLinkDelay}, {BlockToServer: true}, {BlockToClient: true}, {BlockToServer: true, BlockToClient: true}}
	switch variant := s.Variant % (len(faults) + 2); variant {
	case len(faults):
		l.Reset()
		clock.Sleep(ctx, settleTime)
	case len(faults) + 1:
		l.Blackhole()
		// A client detects an unresponsive connection only by its own timeout. No
		// call on such a connection lasts longer than the timeout of a stream.
		clock.Sleep(ctx, streamTimeout)
	default:
		l.SetFault(faults[variant])
		clock.Sleep(ctx, s.Duration)
		l.SetFault(LinkFault{})
		clock.Sleep(ctx, settleTime)
	}
}

func (d *deployment) applyStoreFault(ctx context.Context, s Step) {
	endDisruption := d.history.BeginDisruption(Subject{Part: PartStore})
	defer endDisruption()
	faults := []standin.StoreFault{
		{Status: http.StatusServiceUnavailable},
		{Status: http.StatusTooManyRequests},
		{Unresponsive: true},
		{Delay: 300 * time.Millisecond},
		{DropResponses: true},
	}
	d.store.SetFault(faults[s.Variant%len(faults)])
	clock.Sleep(ctx, s.Duration)
	d.store.SetFault(standin.StoreFault{})
}

// target is a stand-in for a target behind a link.
type target struct {
	*standin.Target
	deployment *deployment
	index      int
	link       *Link
	service    string // of the first incarnation

	lifecycleMu sync.Mutex // held from the end of an incarnation to the next one
	// unavailable is set from the drain or crash of an incarnation to the start of the
	// next one. Guarded by deployment.mu.
	unavailable bool
}

func newTarget(ctx context.Context, d *deployment, index int, service string) (*target, error) {
	addr, err := socket.FreeAddr()
	if err != nil {
		return nil, err
	}
	link, err := NewLink(addr)
	if err != nil {
		return nil, err
	}
	t := &target{deployment: d, index: index, service: service, link: link}
	cfg := standin.TargetConfig{
		Domain: domains[index%len(domains)], Slots: targetSlots, StepTime: targetStepTime, AdvertisedAddr: link.Addr(),
	}
	if service == lettersService {
		cfg.Engine = engineConfig
	}
	cfg.CrashingPart, cfg.CrashStage, cfg.OnCrash = crashingPart, d.crashStage, func() { t.crashByCall(ctx) }
	t.Target = standin.NewTarget(addr, d.store, d.ledger, cfg)
	return t, t.Start(service)
}

func (t *target) close() {
	t.Crash()
	_ = t.link.Close()
}

// applyFault makes calls at the target fail or slow down for the duration of s.
func (t *target) applyFault(ctx context.Context, s Step) {
	endDisruption := t.deployment.history.BeginDisruption(Subject{PartTarget, t.index})
	defer endDisruption()
	faults := []standin.TargetFault{{Reject: true}, {Error: true}, {Hang: true}, {Truncate: true}, {Reset: true}, {SlowdownFactor: 10}}
	t.SetFault(faults[s.Variant%len(faults)])
	clock.Sleep(ctx, s.Duration)
	t.SetFault(standin.TargetFault{})
	clock.Sleep(ctx, settleTime) // for calls accepted during the fault
}

// crashAndRestart crashes the target and starts another one at its address, in some
// cases of another service.
func (t *target) crashAndRestart(ctx context.Context, s Step) error {
	if !t.lifecycleMu.TryLock() {
		return nil // down or draining already
	}
	defer t.lifecycleMu.Unlock()
	t.setUnavailable(true)
	defer t.setUnavailable(false)
	endDisruption := t.deployment.history.BeginDisruption(Subject{PartTarget, t.index})
	defer endDisruption()
	t.Crash()
	clock.Sleep(ctx, deregisterDelay)
	t.Deregister()
	clock.Sleep(ctx, s.Duration/4)
	service := t.service
	if s.Variant%3 == 0 {
		service = []string{shopService, depotService, lettersService}[s.Variant/3%3]
	}
	err := t.Start(service)
	clock.Sleep(ctx, settleTime)
	return err
}

// setUnavailable records whether the target is draining or down.
func (t *target) setUnavailable(unavailable bool) {
	t.deployment.mu.Lock()
	defer t.deployment.mu.Unlock()
	t.unavailable = unavailable
}

// tryMarkUnavailable marks the target as unavailable unless it is the last available
// one of its service, which operators do not drain.
func (t *target) tryMarkUnavailable() bool {
	t.deployment.mu.Lock()
	defer t.deployment.mu.Unlock()
	for _, other := range t.deployment.targets {
		if other != t && other.service == t.service && !other.unavailable {
			t.unavailable = true
			return true
		}
	}
	return false
}

// drainAndReplace drains the target as a planned operation does and starts another one
// at its address.
func (t *target) drainAndReplace(ctx context.Context) error {
	if !t.lifecycleMu.TryLock() {
		return nil // down or draining already
	}
	defer t.lifecycleMu.Unlock()
	if !t.tryMarkUnavailable() {
		return nil
	}
	defer t.setUnavailable(false)
	id := t.Drain()
	t.deployment.mu.Lock()
	t.deployment.drainedAt[id] = time.Now()
	t.deployment.mu.Unlock()
	clock.Sleep(ctx, drainDuration)
	// A conforming target shuts down only after its last call has ended.
	for ctx.Err() == nil && t.RunningCalls() > 0 {
		clock.Sleep(ctx, pollInterval)
	}
	endDisruption := t.deployment.history.BeginDisruption(Subject{PartTarget, t.index})
	defer endDisruption()
	t.Crash()
	t.Deregister()
	clock.Sleep(ctx, deregisterDelay)
	return t.Start(t.service)
}

// restore clears the faults of the target and starts an incarnation of its first
// service.
func (t *target) restore(ctx context.Context) error {
	t.lifecycleMu.Lock()
	defer t.lifecycleMu.Unlock()
	endDisruption := t.deployment.history.BeginDisruption(Subject{PartTarget, t.index})
	time.AfterFunc(settleTime, endDisruption) // until gates have received the new incarnation
	t.SetFault(standin.TargetFault{})
	t.link.SetFault(LinkFault{})
	t.Crash()
	t.Deregister()
	clock.Sleep(ctx, pollInterval)
	return t.Start(t.service)
}
