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
	PathRuns   = "/runs"         // GET []Run; targets only
	PathCalls  = "/admin/calls"  // GET Calls; platform only
	PathSetVMs = "/admin/vms"    // PUT []target.VM; platform only
)

// Calls counts the calls of the table service.
type Calls struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// Host returns the host that serves the target.
func (t *targetState) Host() *Host { return t.host }

// Runs returns the executions so far, oldest first.
func (t *targetState) Runs() []Run { return t.runs.list() }

// Faults returns the faults of the target.
func (t *targetState) Faults() Faults { return t.faults.Get() }

// SetFaults puts faults into force.
func (t *targetState) SetFaults(f Faults) {
	t.faults.Set(f)
	if f.Crash {
		t.restart()
	}
	if f.Silence {
		t.host.Silence()
	}
}

// Run serves the target until ctx ends.
func (t *targetState) Run(ctx context.Context) error { return t.host.Run(ctx) }

func (t *targetState) listRuns(ctx iris.Context) { _ = ctx.JSON(t.Runs()) }

// Admin returns the host of the target's admin interface, which listens on
// addr.
func (t *targetState) Admin(addr string) (*Host, error) {
	app := newApp()
	routeFaults(app, t)
	app.Get(PathRuns, t.listRuns)
	return newAppHost(addr, app)
}

// faulty is a stand-in whose faults can be set.
type faulty interface {
	Faults() Faults
	SetFaults(f Faults)
}

func routeFaults(app *iris.Application, f faulty) {
	app.Get(PathFaults, func(ctx iris.Context) { _ = ctx.JSON(f.Faults()) })
	app.Put(PathFaults, func(ctx iris.Context) {
		var faults Faults
		if !readStrict(ctx, &faults) {
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
	routeFaults(app, p)
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
	if !readStrict(ctx, &vms) {
		return
	}
	if err := platform.CheckVMs(vms); err != nil {
		refuse(ctx, http.StatusBadRequest, err.Error())
		return
	}
	p.VMs.Set(vms)
	ctx.StatusCode(http.StatusNoContent)
}

func (p *Platform) setState(ctx iris.Context) {
	vm := target.VM{ID: ctx.Params().Get("id"), State: target.State(ctx.Params().Get("state"))}
	if err := platform.CheckVMs([]target.VM{vm}); err != nil {
		refuse(ctx, http.StatusBadRequest, err.Error())
		return
	}
	if !p.VMs.SetState(vm.ID, vm.State) {
		ctx.StopWithStatus(http.StatusNotFound)
		return
	}
	ctx.StatusCode(http.StatusNoContent)
}

// RunAll runs hosts until ctx ends or one of them fails.
func RunAll(ctx context.Context, hosts ...*Host) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, h := range hosts {
		group.Go(func() error { return h.Run(ctx) })
	}
	return group.Wait()
}
