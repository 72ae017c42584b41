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

// fleet is a small fleet: in each of its failure domains, which are regions of
// their own, a router and two agents with their targets.
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
	name         string
	router       *processtest.Process
	routerURL    string
	routerAdmin  string
	engine       *standin.Engine
	letters      *processtest.Process
	lettersAdmin string
	lettersAddr  string
	service      *standin.Service
	shop         *processtest.Process
	shopAdmin    string
	shopAddr     string
}

// options change a fleet before it starts.
type options struct {
	domains int
	model   standin.ModelConfig
	service standin.ServiceConfig
	// advertise changes the address by which the others reach an agent.
	advertise func(id, addr string) string
	args      []string // of every agent
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
	f.apply(workspace.Row{
		Name: "shop", KeyHashes: []string{workspace.HashKey(apiKey)}, Weight: 1, QueueLimit: 1000,
		Pools: []string{caller.Model, caller.Shop},
	})
	for i := range max(o.domains, 1) {
		f.addDomain(i+1, o)
	}
	p.VMs.Set(f.vms)
	for _, d := range f.domains {
		processtest.WaitReady(t, d.lettersAdmin)
		processtest.WaitReady(t, d.shopAdmin)
		processtest.WaitReady(t, d.routerAdmin)
	}
	f.waitInForce()
	return f
}

// apply replaces the rows of the table.
func (f *fleet) apply(rows ...workspace.Row) uint64 {
	f.t.Helper()
	current, err := f.operator.Current(f.t.Context())
	require.NoError(f.t, err)
	result, err := f.operator.Apply(f.t.Context(), rows, current.Version)
	require.NoError(f.t, err)
	return result.Version
}

// waitInForce waits until every live process has confirmed the table.
func (f *fleet) waitInForce() {
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
	d.lettersAddr, d.lettersAdmin = processtest.FreeAddr(f.t), processtest.FreeAddr(f.t)
	d.letters = f.addAgent(d, o, "letters-"+d.name, caller.Model, target.KindModel, d.engine.Host().URL(), d.lettersAddr, d.lettersAdmin)
	d.shopAddr, d.shopAdmin = processtest.FreeAddr(f.t), processtest.FreeAddr(f.t)
	d.shop = f.addAgent(d, o, "shop-"+d.name, caller.Shop, target.KindService, d.service.Host().URL(), d.shopAddr, d.shopAdmin)
	f.addRouter(d)
}

func (f *fleet) addAgent(d *domain, o options, id, pool string, kind target.Kind, url, addr, admin string) *processtest.Process {
	advertised := addr
	if o.advertise != nil {
		advertised = o.advertise(id, addr)
	}
	f.vms = append(f.vms, target.VM{
		ID: id, Addr: advertised, Role: target.RoleAgent, Region: d.name, Domain: d.name,
		Pool: pool, Kind: kind, State: target.StateLive,
	})
	args := append([]string{
		"--id", id, "--domain", d.name, "--region", d.name, "--pool", pool, "--kind", string(kind),
		"--target-url", url, "--listen", addr, "--advertise", advertised, "--admin", admin, "--slots", "4",
	}, o.args...)
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
