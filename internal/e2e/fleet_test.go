package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/caller"
	"github.com/mastichollow/mastichollow/internal/operator"
	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/process/processtest"
	"github.com/mastichollow/mastichollow/internal/standin"
	"github.com/mastichollow/mastichollow/internal/standin/standintest"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

const apiKey = "test-key"

// fleet is a small fleet. Each failure domain is a region of its own with a router,
// and two agents with their targets.
type fleet struct {
	t        *testing.T
	env      []string
	platform *standin.Platform
	operator *operator.Operator
	domains  []*domain
	vms      []target.VM
}

// domain is one failure domain.
type domain struct {
	name              string
	router            *processtest.Process
	routerURL         string
	routerAdmin       string
	engine            *standin.Engine
	modelAgent        *processtest.Process
	modelAgentAdmin   string
	modelAgentAddr    string
	service           *standin.Service
	serviceAgent      *processtest.Process
	serviceAgentAdmin string
	serviceAgentAddr  string
}

// options configure a fleet before it starts.
type options struct {
	domains int
	model   standin.ModelConfig
	service standin.ServiceConfig
	// advertisedAddr replaces the address that an agent advertises to the other
	// processes.
	advertisedAddr func(id, addr string) string
	agentArgs      []string // extra arguments of every agent
}

func newFleet(t *testing.T, o options) *fleet {
	t.Helper()
	f := &fleet{t: t}
	p, err := standin.NewPlatform("127.0.0.1:0")
	require.NoError(t, err)
	f.platform = p
	standintest.Run(f.t, p.Host())
	url := p.Host().URL()
	f.env = []string{
		"MASTICHOLLOW_FLEET_KEY=" + transport.NewKey(),
		"MASTICHOLLOW_TABLE_URL=" + url, "MASTICHOLLOW_VMS_URL=" + url, "MASTICHOLLOW_OBJECTS_URL=" + url,
	}
	f.operator = &operator.Operator{
		Table: platform.NewTableClient(url, platform.Options{Timeout: processtest.WaitTimeout}),
		VMs:   platform.NewVMClient(url, platform.Options{Timeout: processtest.WaitTimeout}),
	}
	f.applyRows(workspace.Row{
		Name: "shop", KeyHashes: []string{workspace.HashKey(apiKey)}, Weight: 1, QueueLimit: 1000,
		Pools: []string{caller.ModelPool, caller.ServicePool},
	})
	for i := range max(o.domains, 1) {
		f.addDomain(i+1, o)
	}
	p.VMs.Set(f.vms)
	for _, d := range f.domains {
		processtest.WaitReady(t, d.modelAgentAdmin)
		processtest.WaitReady(t, d.serviceAgentAdmin)
		processtest.WaitReady(t, d.routerAdmin)
	}
	f.waitTableInForce()
	return f
}

// applyRows replaces all rows of the table.
func (f *fleet) applyRows(rows ...workspace.Row) uint64 {
	f.t.Helper()
	current, err := f.operator.Current(f.t.Context())
	require.NoError(f.t, err)
	result, err := f.operator.Apply(f.t.Context(), rows, current.Version)
	require.NoError(f.t, err)
	return result.Version
}

// waitTableInForce waits until every live process has confirmed the table.
func (f *fleet) waitTableInForce() {
	f.t.Helper()
	current, err := f.operator.Current(f.t.Context())
	require.NoError(f.t, err)
	require.NoError(f.t, f.operator.WaitInForce(f.t.Context(), current.Version, processtest.WaitTimeout, func([]string) {}))
}

func (f *fleet) addDomain(n int, o options) {
	f.t.Helper()
	d := &domain{name: fmt.Sprintf("d%d", n)}
	f.domains = append(f.domains, d)
	var err error
	if o.model.Slots == 0 {
		o.model = standin.ModelConfig{Slots: 4, TokenInterval: 5 * time.Millisecond}
	}
	d.engine, err = standin.NewEngine("127.0.0.1:0", o.model)
	require.NoError(f.t, err)
	if o.service.Slots == 0 {
		o.service = standin.ServiceConfig{Slots: 4}
	}
	d.service, err = standin.NewService("127.0.0.1:0", o.service)
	require.NoError(f.t, err)
	standintest.Run(f.t, d.engine.Host(), d.service.Host())
	d.modelAgentAddr, d.modelAgentAdmin = processtest.FreeAddr(f.t), processtest.FreeAddr(f.t)
	d.modelAgent = f.addAgent(d, o, "letters-"+d.name, caller.ModelPool, target.KindModel, d.engine.Host().URL(), d.modelAgentAddr, d.modelAgentAdmin)
	d.serviceAgentAddr, d.serviceAgentAdmin = processtest.FreeAddr(f.t), processtest.FreeAddr(f.t)
	d.serviceAgent = f.addAgent(d, o, "shop-"+d.name, caller.ServicePool, target.KindService, d.service.Host().URL(), d.serviceAgentAddr, d.serviceAgentAdmin)
	f.addRouter(d)
}

func (f *fleet) addAgent(d *domain, o options, id, pool string, kind target.Kind, url, addr, admin string) *processtest.Process {
	advertised := addr
	if o.advertisedAddr != nil {
		advertised = o.advertisedAddr(id, addr)
	}
	f.vms = append(f.vms, target.VM{
		ID: id, Addr: advertised, Role: target.RoleAgent, Region: d.name, Domain: d.name,
		Pool: pool, Kind: kind, State: target.StateLive,
	})
	args := append([]string{
		"--id", id, "--domain", d.name, "--region", d.name, "--pool", pool, "--kind", string(kind),
		"--target-url", url, "--listen", addr, "--advertise", advertised, "--admin", admin, "--slots", "4",
	}, o.agentArgs...)
	return processtest.Start(f.t, "mastichollow-agent", id, f.env, args...)
}

func (f *fleet) addRouter(d *domain) {
	id, addr, fleetAddr := "router-"+d.name, processtest.FreeAddr(f.t), processtest.FreeAddr(f.t)
	d.routerURL, d.routerAdmin = "http://"+addr, processtest.FreeAddr(f.t)
	f.vms = append(f.vms, target.VM{
		ID: id, Addr: fleetAddr, Role: target.RoleRouter, Region: d.name, Domain: d.name, State: target.StateLive,
	})
	d.router = processtest.Start(f.t, "mastichollow-router", id, f.env,
		"--id", id, "--domain", d.name, "--region", d.name,
		"--listen", addr, "--fleet-listen", fleetAddr, "--admin", d.routerAdmin)
}
