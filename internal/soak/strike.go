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

// domains are those of gates and targets.
var domains = []string{"d0", "d1", "d2"}

// linkDelay is the delay of a slow link: twice the way between far regions.
const linkDelay = 120 * time.Millisecond

// strikeOne plays one step to its end.
func (r *run) strikeOne(ctx context.Context, s Step) error {
	gate, t := r.gates[s.Which%len(r.gates)], r.targets[s.Which%len(r.targets)]
	switch s.Kind {
	case StopGate:
		return gate.Stop(ctx, s.For/4)
	case ReloadGate:
		gate.Reload()
	case KillGate:
		return gate.Kill(ctx, s.For/4)
	case PauseGate:
		gate.Pause(ctx, s.For)
	case KillAll:
		return r.killAll(ctx, s.For/4)
	case CallerLink:
		r.harm(ctx, gate.Callers, Subject{PartCallerLink, gate.index}, s)
	case StoreLink:
		r.harm(ctx, gate.Store, Subject{PartStoreLink, gate.index}, s)
	case TargetLink:
		r.harm(ctx, t.link, Subject{PartTarget, t.index}, s)
	case StoreFault:
		r.harmStore(ctx, s)
	case Compact:
		r.store.Compact()
	case TargetFault:
		t.harm(ctx, s)
	case CrashTarget:
		return t.crash(ctx, s)
	case DrainTarget:
		return t.drain(ctx)
	case MoveRoute:
		return r.operator.move()
	case RevokeKey:
		return r.operator.revoke(s.Which)
	default:
		return errors.Newf("unknown kind of step %q", s.Kind)
	}
	return nil
}

func (r *run) killAll(ctx context.Context, down time.Duration) error {
	var all errgroup.Group
	for _, g := range r.gates {
		all.Go(func() error { return g.Kill(ctx, down) })
	}
	return all.Wait()
}

// harm brings a trouble upon a link.
func (r *run) harm(ctx context.Context, l *Link, subject Subject, s Step) {
	over := r.history.Begin(subject)
	defer over()
	faults := []LinkFault{{Delay: linkDelay}, {HoldOut: true}, {HoldBack: true}, {HoldOut: true, HoldBack: true}}
	switch how := s.How % (len(faults) + 2); how {
	case len(faults):
		l.Reset()
		clock.Sleep(ctx, settleTime)
	case len(faults) + 1:
		l.Silence()
		// Only a time limit of its own tells a client of a silent connection:
		// no call on one lasts longer than a stream's.
		clock.Sleep(ctx, streamTimeout)
	default:
		l.Set(faults[how])
		clock.Sleep(ctx, s.For)
		l.Set(LinkFault{})
		clock.Sleep(ctx, settleTime)
	}
}

func (r *run) harmStore(ctx context.Context, s Step) {
	over := r.history.Begin(Subject{What: PartStore})
	defer over()
	faults := []standin.StoreFault{
		{Status: http.StatusServiceUnavailable},
		{Status: http.StatusTooManyRequests},
		{Unresponsive: true},
		{Delay: 300 * time.Millisecond},
		{DropResponses: true},
	}
	r.store.SetFault(faults[s.How%len(faults)])
	clock.Sleep(ctx, s.For)
	r.store.SetFault(standin.StoreFault{})
}

// target is a stand-in of a target behind a link.
type target struct {
	*standin.Target
	run     *run
	index   int
	link    *Link
	service string // of the first lifetime

	turn sync.Mutex // held from the end of a lifetime to the next one
	// away is set from the notice or end of a lifetime to the next one; the run's
	// lock guards it.
	away bool
}

func newTarget(r *run, index int, service string) (*target, error) {
	addr, err := socket.FreeAddr()
	if err != nil {
		return nil, err
	}
	link, err := NewLink(addr)
	if err != nil {
		return nil, err
	}
	t := &target{run: r, index: index, service: service, link: link}
	cfg := standin.TargetConfig{
		Domain: domains[index%len(domains)], Slots: targetSlots, StepTime: targetTime, AdvertisedAddr: link.Addr(),
	}
	if service == letters {
		cfg.Engine = engines
	}
	t.Target = standin.NewTarget(addr, r.store, r.ledger, cfg)
	return t, t.Start(service)
}

func (t *target) close() {
	t.Crash()
	_ = t.link.Close()
}

// harm lets calls at the target fail.
func (t *target) harm(ctx context.Context, s Step) {
	over := t.run.history.Begin(Subject{PartTarget, t.index})
	defer over()
	faults := []standin.TargetFault{{Reject: true}, {Error: true}, {Hang: true}, {Truncate: true}, {Reset: true}, {SlowdownFactor: 10}}
	t.SetFault(faults[s.How%len(faults)])
	clock.Sleep(ctx, s.For)
	t.SetFault(standin.TargetFault{})
	clock.Sleep(ctx, settleTime) // calls that it took meanwhile
}

// crash ends the target and starts another one there, at times of another
// service.
func (t *target) crash(ctx context.Context, s Step) error {
	if !t.turn.TryLock() {
		return nil // it is down or leaving
	}
	defer t.turn.Unlock()
	t.setAway(true)
	defer t.setAway(false)
	over := t.run.history.Begin(Subject{PartTarget, t.index})
	defer over()
	t.Crash()
	clock.Sleep(ctx, unlistedAfter)
	t.Deregister()
	clock.Sleep(ctx, s.For/4)
	service := t.service
	if s.How%3 == 0 {
		service = []string{shop, depot, letters}[s.How/3%3]
	}
	err := t.Start(service)
	clock.Sleep(ctx, settleTime)
	return err
}

// setAway notes whether the target is leaving or down.
func (t *target) setAway(away bool) {
	t.run.mu.Lock()
	defer t.run.mu.Unlock()
	t.away = away
}

// leaveIfSpared sets away unless no other target of the service is left:
// operators do not take out the last one.
func (t *target) leaveIfSpared() bool {
	t.run.mu.Lock()
	defer t.run.mu.Unlock()
	for _, other := range t.run.targets {
		if other != t && other.service == t.service && !other.away {
			t.away = true
			return true
		}
	}
	return false
}

// drain lets the target leave as planned and another one start there.
func (t *target) drain(ctx context.Context) error {
	if !t.turn.TryLock() {
		return nil // it is down or leaving
	}
	defer t.turn.Unlock()
	if !t.leaveIfSpared() {
		return nil
	}
	defer t.setAway(false)
	id := t.Drain()
	t.run.mu.Lock()
	t.run.drained[id] = time.Now()
	t.run.mu.Unlock()
	clock.Sleep(ctx, leavesAfter)
	// It leaves when its last call has ended, as a good target does.
	for ctx.Err() == nil && t.RunningCalls() > 0 {
		clock.Sleep(ctx, readyPoll)
	}
	over := t.run.history.Begin(Subject{PartTarget, t.index})
	defer over()
	t.Crash()
	t.Deregister()
	clock.Sleep(ctx, unlistedAfter)
	return t.Start(t.service)
}

// heal ends all troubles and lets a target of the first service run.
func (t *target) heal(ctx context.Context) error {
	t.turn.Lock()
	defer t.turn.Unlock()
	over := t.run.history.Begin(Subject{PartTarget, t.index})
	time.AfterFunc(settleTime, over) // gates learn of the new lifetime
	t.SetFault(standin.TargetFault{})
	t.link.Set(LinkFault{})
	t.Crash()
	t.Deregister()
	clock.Sleep(ctx, readyPoll)
	return t.Start(t.service)
}
