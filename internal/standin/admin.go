package standin

import (
	"context"
	"net/http"

	"github.com/kataras/iris/v12"
	"golang.org/x/sync/errgroup"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/target"
)

// Paths of the admin interface.
const (
	PathFaults = "/admin/faults" // GET and PUT Faults
	PathRuns   = "/runs"         // GET []Execution; targets only
	PathCalls  = "/admin/calls"  // GET Calls; platform only
	PathSetVMs = "/admin/vms"    // PUT []target.VM; platform only
)

// Calls are the numbers of calls that the table service has received.
type Calls struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// Host returns the host that serves the target.
func (t *targetBase) Host() *Host { return t.host }

// Executions returns the logged executions, oldest first.
func (t *targetBase) Executions() []Execution { return t.executions.list() }

// Faults returns the active faults of the target.
func (t *targetBase) Faults() Faults { return t.faults.Get() }

// SetFaults replaces the active faults. Crash and Blackhole act immediately.
func (t *targetBase) SetFaults(f Faults) {
	t.faults.Set(f)
	if f.Crash {
		t.restart()
	}
	if f.Blackhole {
		t.host.Blackhole()
	}
}

// Run serves the target until ctx is done.
func (t *targetBase) Run(ctx context.Context) error { return t.host.Run(ctx) }

func (t *targetBase) listExecutions(ctx iris.Context) { _ = ctx.JSON(t.Executions()) }

// Admin returns the host of the target's admin interface, which listens on
// addr.
func (t *targetBase) Admin(addr string) (*Host, error) {
	app := newApp()
	addFaultRoutes(app, t)
	app.Get(PathRuns, t.listExecutions)
	return newAppHost(addr, app)
}

// faultInjectable is a stand-in with faults that can be set.
type faultInjectable interface {
	Faults() Faults
	SetFaults(f Faults)
}

// addFaultRoutes adds the routes that read and set the faults of f.
func addFaultRoutes(app *iris.Application, f faultInjectable) {
	app.Get(PathFaults, func(ctx iris.Context) { _ = ctx.JSON(f.Faults()) })
	app.Put(PathFaults, func(ctx iris.Context) {
		var faults Faults
		if !decodeStrict(ctx, &faults) {
			return
		}
		f.SetFaults(faults)
		ctx.StatusCode(http.StatusNoContent)
	})
}

// Admin returns the host of the platform's admin interface, which listens on
// addr.
func (p *Platform) Admin(addr string) (*Host, error) {
	app := newApp()
	addFaultRoutes(app, p)
	app.Put(PathSetVMs, p.setVMs)
	app.Put(PathSetVMs+"/{id}/{state}", p.setState)
	app.Get(PathCalls, func(ctx iris.Context) {
		reads, writes := p.Table.Calls()
		_ = ctx.JSON(Calls{Reads: reads, Writes: writes})
	})
	return newAppHost(addr, app)
}

func (p *Platform) setVMs(ctx iris.Context) {
	var vms []target.VM
	if !decodeStrict(ctx, &vms) {
		return
	}
	if err := platform.CheckVMs(vms); err != nil {
		sendUntypedProblem(ctx, http.StatusBadRequest, err.Error())
		return
	}
	p.VMs.Set(vms)
	ctx.StatusCode(http.StatusNoContent)
}

func (p *Platform) setState(ctx iris.Context) {
	vm := target.VM{ID: ctx.Params().Get("id"), State: target.State(ctx.Params().Get("state"))}
	if err := platform.CheckVMs([]target.VM{vm}); err != nil {
		sendUntypedProblem(ctx, http.StatusBadRequest, err.Error())
		return
	}
	if !p.VMs.SetState(vm.ID, vm.State) {
		ctx.StopWithStatus(http.StatusNotFound)
		return
	}
	ctx.StatusCode(http.StatusNoContent)
}

// RunAll runs hosts until ctx is done or one of them fails.
func RunAll(ctx context.Context, hosts ...*Host) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, h := range hosts {
		group.Go(func() error { return h.Run(ctx) })
	}
	return group.Wait()
}
