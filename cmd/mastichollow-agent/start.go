package main

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/mastichollow/mastichollow/internal/agent"
	"github.com/mastichollow/mastichollow/internal/claim"
	"github.com/mastichollow/mastichollow/internal/engine"
	"github.com/mastichollow/mastichollow/internal/fleet"
	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/process"
	"github.com/mastichollow/mastichollow/internal/suspect"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// parts are the long-lived objects of the program.
type parts struct {
	log      hclog.Logger
	endpoint *transport.Endpoint
	node     *fleet.Node
	claimer  *claim.TableClaimer
	agent    *agent.Agent
	admin    *process.Admin
}

// start builds the parts and runs them until ctx ends and the agent has
// drained.
func start(ctx context.Context, s *settings) error {
	p, err := build(s, s.Log.NewLogger(program), process.NewRegistry())
	if err != nil {
		return err
	}
	return p.run(ctx)
}

func build(s *settings, log hclog.Logger, reg *prometheus.Registry) (*parts, error) {
	endpoint, err := newEndpoint(s, log, reg)
	if err != nil {
		return nil, err
	}
	store := fleet.NewStore()
	options := platform.Options{Timeout: s.PlatformTimeout}
	table := platform.NewTableClient(s.TableURL, options)
	claimer := claim.NewTableClaimer(claim.TableConfig{
		Table:      table,
		Objects:    platform.NewObjectClient(s.ObjectsURL, options),
		Logger:     log.Named("claim"),
		Registerer: reg,
	})
	a, err := agent.New(agent.Config{
		ID:               s.ID,
		Domain:           s.Domain,
		Pool:             s.Pool,
		Kind:             target.Kind(s.Kind),
		Slots:            s.Slots,
		InteractiveSlots: s.InteractiveSlots,
		Limits:           s.limits(),
		Store:            store,
		Target:           newTarget(s),
		Claims:           claimer,
		Suspects:         suspect.NewTableRegistry(table, reg),
		Fence:            agent.TableFence(table, s.ID),
		Logger:           log.Named("agent"),
		Registerer:       reg,
	})
	if err != nil {
		return nil, err
	}
	store.OnDigest(a.ApplyDigest)
	node, err := fleet.NewNode(fleet.NodeConfig{
		Self:        s.vm(endpoint.Addr()),
		Incarnation: rand.Uint64() | 1,
		Store:       store,
		Table:       table,
		VMs:         platform.NewVMClient(s.VMsURL, options),
		Opener:      endpoint,
		Report:      func() []wire.PoolSums { return []wire.PoolSums{a.Report()} },
		Suspect:     decodeSuspect,
		Logger:      log,
		Registerer:  reg,
	})
	if err != nil {
		return nil, err
	}
	admin, err := process.NewAdmin(s.Admin, reg, a.Ready)
	if err != nil {
		return nil, err
	}
	return &parts{log: log, endpoint: endpoint, node: node, claimer: claimer, agent: a, admin: admin}, nil
}

func newEndpoint(s *settings, log hclog.Logger, reg *prometheus.Registry) (*transport.Endpoint, error) {
	keys, err := transport.ParseKeys(s.FleetKey)
	if err != nil {
		return nil, err
	}
	return transport.NewEndpoint(transport.EndpointConfig{
		Addr:       s.Listen,
		Keys:       keys,
		Self:       transport.Peer{Member: s.ID, Domain: s.Domain, Region: s.Region},
		Logger:     log.Named("transport"),
		Registerer: reg,
	})
}

func newTarget(s *settings) engine.Client {
	options := engine.Options{BeginTimeout: s.BeginTimeout, Progress: s.Progress}
	if target.Kind(s.Kind) == target.KindService {
		return engine.NewServiceClient(s.TargetURL, options)
	}
	return engine.NewModelClient(s.TargetURL, options)
}

func (s *settings) limits() agent.Limits {
	return agent.Limits{
		Hold:      s.Hold,
		Platform:  s.PlatformTimeout,
		Keep:      s.Keep,
		KeepBytes: s.KeepBytes,
	}
}

// vm describes this VM to the fleet.
func (s *settings) vm(listen string) target.VM {
	addr := s.Advertise
	if addr == "" {
		addr = listen
	}
	return target.VM{
		ID:     s.ID,
		Addr:   addr,
		Role:   target.RoleAgent,
		Region: s.Region,
		Domain: s.Domain,
		Pool:   s.Pool,
		Kind:   target.Kind(s.Kind),
		State:  target.StateLive,
	}
}

func decodeSuspect(item platform.Item) (wire.Suspect, error) {
	found, err := suspect.FromItem(item, time.Now())
	return wire.Suspect{Fingerprint: found.Fingerprint, Quarantined: found.Quarantined}, err
}

// run runs the parts. When ctx ends, the agent drains while all else goes on;
// then the rest is stopped.
func (p *parts) run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, running := errgroup.WithContext(running)
	g.Go(func() error { return p.admin.Run(running) })
	g.Go(func() error { return p.claimer.Run(running) })
	g.Go(func() error { return p.agent.Run(running) })
	g.Go(func() error { return p.node.Run(running) })
	g.Go(func() error {
		return p.endpoint.Run(running, transport.Mux{Request: p.agent, Control: p.node})
	})
	p.log.Info("agent runs", "listen", p.endpoint.Addr(), "admin", p.admin.Addr())
	select {
	case <-ctx.Done():
		p.log.Info("agent drains")
		if err := p.agent.Drain(running); err != nil {
			p.log.Warn("drain was cut short", "error", err)
		}
	case <-running.Done():
	}
	stop()
	closeErr := p.endpoint.Close()
	return errors.CombineErrors(g.Wait(), closeErr)
}
