// Package member holds the parts that routers and agents share as members of the fleet:
// the settings, the transport endpoint, the guarded table client, the fleet node, the admin
// listener, and the order of startup and shutdown.
//
// Invariant: tasks run until the process has drained, so that requests in flight at the
// stop signal can be completed.
package member

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/mastichollow/mastichollow/internal/connlimit"
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
	// Connections counts the connections that listeners close to keep a limit.
	Connections *connlimit.Stats

	settings *Settings
}

// Spec describes a process as a member of the fleet.
type Spec struct {
	Role           target.Role
	Pool           string            // agents only
	Kind           target.Kind       // agents only
	RequestHandler transport.Handler // nil: the process accepts no requests from routers
	Report         func() []wire.PoolTotals
	Ready          func() error
	// Tasks run concurrently until the process has drained or one of them has failed.
	Tasks []Task
	// Drain completes the requests in flight. It returns early when its context is done.
	Drain func(context.Context)
}

// Task runs until its context is done.
type Task func(context.Context) error

// New returns a member whose fleet listener is bound to listen (IP:port).
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
		Connections: connlimit.NewStats(reg, log.Named("connections")),
		settings:    s,
	}, nil
}

// PlatformOptions returns the options of the platform clients.
func (s *Settings) PlatformOptions() platform.Options {
	return platform.Options{Timeout: s.PlatformTimeout}
}

// Run runs the process. When ctx is done, the process drains while all tasks continue; then
// the tasks are stopped.
func (m *Member) Run(ctx context.Context, spec *Spec) error {
	node, err := m.newNode(spec)
	if err != nil {
		return err
	}
	admin, err := process.NewAdmin(m.settings.Admin, m.Registry, spec.Ready, m.Connections)
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, runCtx := errgroup.WithContext(runCtx)
	for _, task := range append([]Task{admin.Run, node.Run}, spec.Tasks...) {
		g.Go(func() error { return task(runCtx) })
	}
	g.Go(func() error {
		return m.Endpoint.Run(runCtx, transport.Mux{Request: spec.RequestHandler, Control: node})
	})
	m.Log.Info("member started", "role", spec.Role, "fleet", m.Endpoint.Addr(), "admin", admin.Addr())
	m.drain(ctx, runCtx, spec)
	stop()
	closeErr := m.Endpoint.Close()
	return errors.CombineErrors(g.Wait(), closeErr)
}

// drain waits until ctx is done and the process has drained, or until runCtx is done because
// a task failed.
func (m *Member) drain(ctx, runCtx context.Context, spec *Spec) {
	select {
	case <-ctx.Done():
		m.Log.Info("member draining", "role", spec.Role)
		spec.Drain(runCtx)
	case <-runCtx.Done():
	}
}

func (m *Member) newNode(spec *Spec) (*fleet.Node, error) {
	return fleet.NewNode(fleet.NodeConfig{
		Self:        m.settings.vm(m.Endpoint.Addr(), spec),
		Incarnation: rand.Uint64() | 1,
		Store:       m.Store,
		Table:       m.Table,
		VMs:         platform.NewVMClient(m.settings.VMsURL, m.settings.PlatformOptions()),
		Opener:      m.Endpoint,
		Report:      spec.Report,
		Suspect:     decodeSuspect,
		Seeds:       m.settings.Seeds,
		Logger:      m.Log,
		Registerer:  m.Registry,
	})
}

func decodeSuspect(item platform.Item) (wire.Suspect, error) {
	decoded, err := suspect.DecodeItem(item, time.Now())
	return wire.Suspect{Fingerprint: decoded.Fingerprint, Quarantined: decoded.Quarantined}, err
}
