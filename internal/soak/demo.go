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
	// demoEvents is the number of events of a demo stream, enough to stop a gate while
	// it is being sent.
	demoEvents = 30
	demoGates  = 3
)

// Demo starts a deployment of at least three gates and returns checks that compare its
// guarantees with what was observed.
func Demo(ctx context.Context, cfg Config) ([]demo.Check, error) {
	deployed := &deployment{cfg: cfg, history: NewHistory(), ledger: standin.NewLedger(), drainedAt: make(map[string]time.Time)}
	defer deployed.close()
	if err := deployed.start(ctx); err != nil {
		return nil, err
	}
	runner := &demoRunner{deployment: deployed, caller: &caller{deployment: deployed, name: "d000000000", faultFree: true, random: rand.New(rand.NewPCG(1, 1))}}
	for _, step := range []func(context.Context) error{runner.checkRequests, runner.checkPlannedStop, runner.checkTableChanges, runner.checkDrainingTarget, runner.checkKilledGate} {
		if err := step(ctx); err != nil {
			return runner.checks, err
		}
	}
	return runner.checks, nil
}

// demoRunner runs the demo and collects its checks.
type demoRunner struct {
	deployment *deployment
	caller     *caller
	checks     []demo.Check
}

func (d *demoRunner) addCheck(name, expected, actual string) {
	d.checks = append(d.checks, demo.Check{Name: name, Expected: expected, Actual: actual})
}

// send sends a call of a route to a gate over a new connection.
func (d *demoRunner) send(gate int, route, key string) CallRecord {
	c := *d.caller
	d.caller.sent++
	c.gate, c.conn = gate, nil
	defer c.closeConn()
	r := CallRecord{Route: routeOf(route), Gate: gate, FaultFree: true}
	r.Call = standin.Call{
		ID: fmt.Sprintf("%s%06x", c.name, d.caller.sent), Host: host, Path: r.Route.Prefix + "0", Key: key,
		Timeout: callTimeout, Body: []byte(route),
	}
	if r.Route.Kind == standin.Stream || r.Route.Kind == standin.ResumableStream {
		r.ExpectedEvents = demoEvents
		r.Call.Path = fmt.Sprint(r.Route.Prefix, demoEvents)
		r.Call.PromptTokens, r.Call.MaxOutputTokens, r.Call.PromptParts = 500, demoEvents, "a1:400,b2:100"
	}
	return c.send(r)
}

func routeOf(name string) *standin.Route {
	for i := range routes {
		if routes[i].Name == name {
			return &routes[i]
		}
	}
	return nil
}

// describeResponse formats a response for the table of checks.
func describeResponse(r CallRecord) string {
	switch {
	case r.Err != nil:
		return "error: " + r.Err.Error()
	case r.ExpectedEvents > 0 && r.Response.Status == http.StatusOK:
		return fmt.Sprintf("status 200, %d of %d events", r.Response.Events, r.ExpectedEvents)
	default:
		return fmt.Sprintf("status %d", r.Response.Status)
	}
}

var completeStream = fmt.Sprintf("status 200, %d of %d events", demoEvents, demoEvents)

func (d *demoRunner) checkRequests(context.Context) error {
	d.addCheck("status without a key", "status 200", describeResponse(d.send(0, "status", "")))
	d.addCheck("streamed letter", completeStream, describeResponse(d.send(1, "letters", "key-0-0")))
	order := d.send(2, "orders", "key-1-0")
	d.addCheck("order", "status 200", describeResponse(order))
	runs := d.deployment.ledger.Runs()[order.Call.ID]
	d.addCheck("runs of the order", "1", fmt.Sprint(len(runs)))
	d.addCheck("unknown key", "status 401", describeResponse(d.send(0, "orders", "no-such-key")))
	return nil
}

// checkPlannedStop stops a gate in the middle of a stream and restarts it.
func (d *demoRunner) checkPlannedStop(ctx context.Context) error {
	gate := d.deployment.gates[0]
	stopErr := make(chan error, 1)
	time.AfterFunc(demoEvents*targetStepTime/2, func() { stopErr <- gate.Stop(ctx, 0) })
	d.addCheck("stream while its gate stops", completeStream, describeResponse(d.send(0, "letters", "key-0-0")))
	if err := <-stopErr; err != nil {
		return err
	}
	d.addCheck("the gate starts again from the store alone", "serves every route", d.waitServing(ctx, gate))
	return nil
}

func (d *demoRunner) waitServing(ctx context.Context, gate *Gate) string {
	ctx, cancel := context.WithTimeout(ctx, maxRecoveryTime)
	defer cancel()
	if !gate.waitServing(ctx, d.deployment) {
		return "does not serve every route"
	}
	return "serves every route"
}

// checkTableChanges moves a route and revokes a key.
func (d *demoRunner) checkTableChanges(ctx context.Context) error {
	if err := d.deployment.operator.moveRoute(); err != nil {
		return err
	}
	d.addCheck("route moves to another service", "within 2.5s", pollWithin(ctx, maxChangeDelay, func() bool {
		r := d.send(1, movingRoute, "key-0-0")
		runs := d.deployment.ledger.Runs()[r.Call.ID]
		return len(runs) == 1 && runs[0].Service == depotService
	}))
	if err := d.deployment.operator.revokeKey(2); err != nil {
		return err
	}
	d.addCheck("key is taken away", "within 5s", pollWithin(ctx, maxRevocationDelay, func() bool {
		return d.send(2, "orders", "key-2-1").Response.Status == http.StatusUnauthorized
	}))
	return nil
}

// pollWithin polls a condition and returns whether it became true within the timeout,
// as text.
func pollWithin(ctx context.Context, timeout time.Duration, holds func() bool) string {
	begin := time.Now()
	for ctx.Err() == nil && !holds() {
		if time.Since(begin) > timeout {
			return fmt.Sprintf("not within %v", timeout)
		}
		clock.Sleep(ctx, pollInterval)
	}
	return fmt.Sprintf("within %v", timeout)
}

// checkDrainingTarget drains a target and counts the calls that start there after the
// bound.
func (d *demoRunner) checkDrainingTarget(ctx context.Context) error {
	id := d.deployment.targets[0].Drain()
	clock.Sleep(ctx, maxDrainDelay)
	after := time.Now()
	for i := range 3 * len(d.deployment.gates) {
		d.send(i%len(d.deployment.gates), "status", "")
	}
	late := 0
	for _, runs := range d.deployment.ledger.Runs() {
		for _, run := range runs {
			if run.Instance == id && run.Start.After(after) {
				late++
			}
		}
	}
	d.addCheck("calls at a target 2.5s after it said that it leaves", "0", fmt.Sprint(late))
	return nil
}

// checkKilledGate kills a gate while the others continue, and restarts it.
func (d *demoRunner) checkKilledGate(ctx context.Context) error {
	gate := d.deployment.gates[1]
	if err := gate.Kill(ctx, 0); err != nil {
		return err
	}
	d.addCheck("streamed letter at another gate after a kill", completeStream, describeResponse(d.send(2, "letters", "key-0-0")))
	d.addCheck("the killed gate starts again", "serves every route", d.waitServing(ctx, gate))
	return nil
}

// runDemo runs the demo and prints its checks. It returns an error if a check failed.
func (s *Session) runDemo(ctx context.Context, out io.Writer) error {
	dir, err := os.MkdirTemp("", "mastichollow-demo")
	if err != nil {
		return errors.Wrap(err, "creating a log directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	checks, err := Demo(ctx, Config{ProgramPath: s.Program, Dir: dir, Gates: max(s.Gates, demoGates), Targets: s.Targets})
	if !demo.Print(out, checks) {
		err = errors.CombineErrors(err, errors.New("not all of it held"))
	}
	return err
}
