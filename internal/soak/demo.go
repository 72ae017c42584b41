package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/demo"
	"github.com/mastichollow/mastichollow/platform/standin"
)

const (
	// demoEvents is the length of the demo's streams: long enough to stop a gate
	// in the middle of one.
	demoEvents = 30
	demoGates  = 3
)

// Demo starts a deployment of three gates and shows, line by line, what it
// promises and what was seen.
func Demo(ctx context.Context, cfg Config) ([]demo.Check, error) {
	r := &run{cfg: cfg, history: NewHistory(), ledger: standin.NewLedger(), drained: make(map[string]time.Time)}
	defer r.close()
	if err := r.build(ctx); err != nil {
		return nil, err
	}
	d := &demonstration{run: r, caller: &caller{run: r, name: "d000000000", steady: true, random: rand.New(rand.NewPCG(1, 1))}}
	for _, step := range []func(context.Context) error{d.requests, d.plannedStop, d.changes, d.leavingTarget, d.killedGate} {
		if err := step(ctx); err != nil {
			return d.checks, err
		}
	}
	return d.checks, nil
}

// demonstration is the demo in progress.
type demonstration struct {
	run    *run
	caller *caller
	checks []demo.Check
}

func (d *demonstration) check(name, expected, seen string) {
	d.checks = append(d.checks, demo.Check{Name: name, Expected: expected, Seen: seen})
}

// send sends a call of a route to a gate on a connection of its own.
func (d *demonstration) send(gate int, route, key string) Record {
	c := *d.caller
	d.caller.sent++
	c.gate, c.conn = gate, nil
	defer c.hangUp()
	one := Record{Route: routeOf(route), Gate: gate, Steady: true}
	one.Call = standin.Call{
		ID: fmt.Sprintf("%s%06x", c.name, d.caller.sent), Host: host, Path: one.Route.Prefix + "0", Key: key,
		Timeout: patience, Body: []byte(route),
	}
	if one.Route.Kind == standin.Stream || one.Route.Kind == standin.ResumableStream {
		one.Events = demoEvents
		one.Call.Path = fmt.Sprint(one.Route.Prefix, demoEvents)
		one.Call.PromptTokens, one.Call.MaxOutputTokens, one.Call.PromptParts = 500, demoEvents, "a1:400,b2:100"
	}
	return c.call(one)
}

func routeOf(name string) *standin.Route {
	for i := range routes {
		if routes[i].Name == name {
			return &routes[i]
		}
	}
	return nil
}

// seen describes an answer.
func seen(r Record) string {
	switch {
	case r.Err != nil:
		return "error: " + r.Err.Error()
	case r.Events > 0 && r.Answer.Status == http.StatusOK:
		return fmt.Sprintf("status 200, %d of %d events", r.Answer.Events, r.Events)
	default:
		return fmt.Sprintf("status %d", r.Answer.Status)
	}
}

var wholeStream = fmt.Sprintf("status 200, %d of %d events", demoEvents, demoEvents)

func (d *demonstration) requests(context.Context) error {
	d.check("status without a key", "status 200", seen(d.send(0, "status", "")))
	d.check("streamed letter", wholeStream, seen(d.send(1, "letters", "key-0-0")))
	order := d.send(2, "orders", "key-1-0")
	d.check("order", "status 200", seen(order))
	runs := d.run.ledger.Runs()[order.Call.ID]
	d.check("runs of the order", "1", fmt.Sprint(len(runs)))
	d.check("unknown key", "status 401", seen(d.send(0, "orders", "no-such-key")))
	return nil
}

// plannedStop stops a gate in the middle of a stream and starts it again.
func (d *demonstration) plannedStop(ctx context.Context) error {
	gate := d.run.gates[0]
	stopped := make(chan error, 1)
	time.AfterFunc(demoEvents*targetTime/2, func() { stopped <- gate.Stop(ctx, 0) })
	d.check("stream while its gate stops", wholeStream, seen(d.send(0, "letters", "key-0-0")))
	if err := <-stopped; err != nil {
		return err
	}
	d.check("the gate starts again from the store alone", "serves every route", d.serves(ctx, gate))
	return nil
}

func (d *demonstration) serves(ctx context.Context, gate *Gate) string {
	ctx, cancel := context.WithTimeout(ctx, recoverWithin)
	defer cancel()
	if !gate.waitServes(ctx, d.run) {
		return "does not serve every route"
	}
	return "serves every route"
}

// changes moves a route and takes a key away.
func (d *demonstration) changes(ctx context.Context) error {
	if err := d.run.operator.move(); err != nil {
		return err
	}
	d.check("route moves to another service", "within 2.5s", within(ctx, changedWithin, func() bool {
		one := d.send(1, moving, "key-0-0")
		runs := d.run.ledger.Runs()[one.Call.ID]
		return len(runs) == 1 && runs[0].Service == depot
	}))
	if err := d.run.operator.revoke(2); err != nil {
		return err
	}
	d.check("key is taken away", "within 5s", within(ctx, revokedWithin, func() bool {
		return d.send(2, "orders", "key-2-1").Answer.Status == http.StatusUnauthorized
	}))
	return nil
}

// within returns whether f came to hold in time.
func within(ctx context.Context, limit time.Duration, f func() bool) string {
	begin := time.Now()
	for ctx.Err() == nil && !f() {
		if time.Since(begin) > limit {
			return fmt.Sprintf("not within %v", limit)
		}
		clock.Sleep(ctx, readyPoll)
	}
	return fmt.Sprintf("within %v", limit)
}

// leavingTarget lets a target leave and looks for later work there.
func (d *demonstration) leavingTarget(ctx context.Context) error {
	id := d.run.targets[0].Drain()
	clock.Sleep(ctx, drainedWithin)
	mark := time.Now()
	for i := range 3 * len(d.run.gates) {
		d.send(i%len(d.run.gates), "status", "")
	}
	late := 0
	for _, runs := range d.run.ledger.Runs() {
		for _, one := range runs {
			if one.Instance == id && one.Start.After(mark) {
				late++
			}
		}
	}
	d.check("calls at a target 2.5s after it said that it leaves", "0", fmt.Sprint(late))
	return nil
}

// killedGate kills a gate; the others go on.
func (d *demonstration) killedGate(ctx context.Context) error {
	gate := d.run.gates[1]
	if err := gate.Kill(ctx, 0); err != nil {
		return err
	}
	d.check("streamed letter at another gate after a kill", wholeStream, seen(d.send(2, "letters", "key-0-0")))
	d.check("the killed gate starts again", "serves every route", d.serves(ctx, gate))
	return nil
}

// runDemo plays the demo and prints it. It fails if a check did not hold.
func (s *Session) runDemo(ctx context.Context, out io.Writer) error {
	dir, err := os.MkdirTemp("", "mastichollow-demo")
	if err != nil {
		return errors.Wrap(err, "making a folder for logs")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	checks, err := Demo(ctx, Config{Program: s.Program, Dir: dir, Gates: max(s.Gates, demoGates), Targets: s.Targets})
	if !demo.Print(out, checks) {
		err = errors.CombineErrors(err, errors.New("not all of it held"))
	}
	return err
}
