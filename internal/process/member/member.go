// Package member holds what each process of the fleet, router or agent,
// consists of besides its own work: its settings, the endpoint, the guarded
// table, the fleet node, the admin listener, and the order of start and stop.
//
// Invariant: a duty runs until the process has drained, so that what is in hand
// when the process is told to stop can be finished.
package member

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/mastichollow/mastichollow/internal/fleet"
	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/process"
	"github.com/mastichollow/mastichollow/internal/suspect"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// Member is the part of a process that makes it a member of the fleet.
type Member struct {
	Log      hclog.Logger
	Registry *prometheus.Registry
	Endpoint *transport.Endpoint
	Store    *fleet.Store
	Table    *platform.ResilientTable

	settings *Settings
}

// Work is what a process does as a member.
type Work struct {
	Role    target.Role
	Pool    string            // of an agent
	Kind    target.Kind       // of an agent
	Request transport.Handler // nil: the process takes no requests from routers
	Report  func() []wire.PoolSums
	Ready   func() error
	// Duties run side by side until the process has drained or one of them
	// has failed.
	Duties []Duty
	// Drain finishes what is in hand, or returns when its context ends.
	Drain func(context.Context)
}

// Duty runs until its context ends.
type Duty func(context.Context) error

// New returns the member of a program that listens to the fleet on listen.
func New(program string, s *Settings, listen string) (*Member, error) {
	log, reg := s.Log.NewLogger(program), process.NewRegistry()
	keys, err := transport.ParseKeys(s.FleetKey)
	if err != nil {
		return nil, err
	}
	endpoint, err := transport.NewEndpoint(transport.EndpointConfig{
		Addr:       listen,
		Keys:       keys,
		Self:       s.peer(),
		Logger:     log.Named("transport"),
		Registerer: reg,
	})
	if err != nil {
		return nil, err
	}
	return &Member{
		Log:      log,
		Registry: reg,
		Endpoint: endpoint,
		Store:    fleet.NewStore(),
		Table: platform.NewResilientTable(platform.NewTableClient(s.TableURL, s.PlatformOptions()), platform.ResilientTableConfig{
			Timeout:    s.PlatformTimeout,
			Registerer: reg,
		}),
		settings: s,
	}, nil
}

// PlatformOptions returns the settings of the platform's clients.
func (s *Settings) PlatformOptions() platform.Options {
	return platform.Options{Timeout: s.PlatformTimeout}
}

// Run does the work of the process. When ctx ends, the process drains while all
// else goes on; then the rest is stopped.
func (m *Member) Run(ctx context.Context, w *Work) error {
	node, err := m.newNode(w)
	if err != nil {
		return err
	}
	admin, err := process.NewAdmin(m.settings.Admin, m.Registry, w.Ready)
	if err != nil {
		return err
	}
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, running := errgroup.WithContext(running)
	for _, duty := range append([]Duty{admin.Run, node.Run}, w.Duties...) {
		g.Go(func() error { return duty(running) })
	}
	g.Go(func() error {
		return m.Endpoint.Run(running, transport.Mux{Request: w.Request, Control: node})
	})
	m.Log.Info("member runs", "role", w.Role, "fleet", m.Endpoint.Addr(), "admin", admin.Addr())
	m.drain(ctx, running, w)
	stop()
	closeErr := m.Endpoint.Close()
	return errors.CombineErrors(g.Wait(), closeErr)
}

// drain waits until ctx ends and the process has drained, or until running has
// ended because a duty failed.
func (m *Member) drain(ctx, running context.Context, w *Work) {
	select {
	case <-ctx.Done():
		m.Log.Info("member drains", "role", w.Role)
		w.Drain(running)
	case <-running.Done():
	}
}

func (m *Member) newNode(w *Work) (*fleet.Node, error) {
	return fleet.NewNode(fleet.NodeConfig{
		Self:        m.settings.vm(m.Endpoint.Addr(), w),
		Incarnation: rand.Uint64() | 1,
		Store:       m.Store,
		Table:       m.Table,
		VMs:         platform.NewVMClient(m.settings.VMsURL, m.settings.PlatformOptions()),
		Opener:      m.Endpoint,
		Report:      w.Report,
		Suspect:     decodeSuspect,
		Seeds:       m.settings.Seeds,
		Logger:      m.Log,
		Registerer:  m.Registry,
	})
}

func decodeSuspect(item platform.Item) (wire.Suspect, error) {
	found, err := suspect.DecodeItem(item, time.Now())
	return wire.Suspect{Fingerprint: found.Fingerprint, Quarantined: found.Quarantined}, err
}
