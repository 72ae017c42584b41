package main

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/mastichollow/mastichollow/internal/fleet"
	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/process"
	"github.com/mastichollow/mastichollow/internal/router"
	"github.com/mastichollow/mastichollow/internal/suspect"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// Times towards callers.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// headerSlack is how many times the header limit net/http lets pass, so that
// the router itself refuses a header over the limit.
const headerSlack = 4

// parts are the long-lived objects of the program.
type parts struct {
	log        hclog.Logger
	endpoint   *transport.Endpoint
	node       *fleet.Node
	router     *router.Router
	admin      *process.Admin
	listener   net.Listener
	server     *http.Server
	drainDelay time.Duration
}

// start builds the parts and runs them until ctx ends and the requests in hand
// are answered.
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
	cfg := s.routerConfig()
	cfg.Store, cfg.Opener = store, endpoint
	cfg.Logger, cfg.Registerer = log.Named("router"), reg
	r, err := router.New(cfg)
	if err != nil {
		return nil, err
	}
	node, err := newNode(s, store, endpoint, r, log, reg)
	if err != nil {
		return nil, err
	}
	admin, err := process.NewAdmin(s.Admin, reg, r.Ready)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listening for callers on %q", s.Listen)
	}
	server := &http.Server{
		Handler:           r,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerSlack * s.HeaderLimit,
		ErrorLog:          log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	return &parts{
		log: log, endpoint: endpoint, node: node, router: r, admin: admin,
		listener: listener, server: server, drainDelay: s.DrainDelay,
	}, nil
}

func newEndpoint(s *settings, log hclog.Logger, reg *prometheus.Registry) (*transport.Endpoint, error) {
	keys, err := transport.ParseKeys(s.FleetKey)
	if err != nil {
		return nil, err
	}
	return transport.NewEndpoint(transport.EndpointConfig{
		Addr:       s.FleetListen,
		Keys:       keys,
		Self:       transport.Peer{Member: s.ID, Domain: s.Domain, Region: s.Region},
		Logger:     log.Named("transport"),
		Registerer: reg,
	})
}

func newNode(s *settings, store *fleet.Store, endpoint *transport.Endpoint, r *router.Router, log hclog.Logger, reg *prometheus.Registry) (*fleet.Node, error) {
	options := platform.Options{Timeout: s.PlatformTimeout}
	return fleet.NewNode(fleet.NodeConfig{
		Self:        s.vm(endpoint.Addr()),
		Incarnation: rand.Uint64() | 1,
		Store:       store,
		Table:       platform.NewTableClient(s.TableURL, options),
		VMs:         platform.NewVMClient(s.VMsURL, options),
		Opener:      endpoint,
		Report:      r.Report,
		Suspect:     decodeSuspect,
		Logger:      log,
		Registerer:  reg,
	})
}

func decodeSuspect(item platform.Item) (wire.Suspect, error) {
	found, err := suspect.FromItem(item, time.Now())
	return wire.Suspect{Fingerprint: found.Fingerprint, Quarantined: found.Quarantined}, err
}

// run runs the parts. When ctx ends, the requests in hand are finished while all
// else goes on; then the rest is stopped.
func (p *parts) run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, running := errgroup.WithContext(running)
	g.Go(func() error { return p.admin.Run(running) })
	g.Go(func() error { return p.node.Run(running) })
	g.Go(func() error { return p.router.Run(running) })
	g.Go(func() error { return p.endpoint.Run(running, transport.Mux{Control: p.node}) })
	g.Go(p.serve)
	p.log.Info("router runs", "listen", p.listener.Addr(), "fleet", p.endpoint.Addr(), "admin", p.admin.Addr())
	select {
	case <-ctx.Done():
		p.drain(running)
	case <-running.Done():
	}
	stop()
	closeErr := errors.CombineErrors(p.server.Close(), p.endpoint.Close())
	return errors.CombineErrors(g.Wait(), closeErr)
}

// serve serves callers until the server is shut down.
func (p *parts) serve() error {
	err := p.server.Serve(p.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serving callers")
}

// drain fails readiness, so that the balancer sends callers elsewhere, then
// stops accepting and waits for the requests in hand, however long they take:
// each has a deadline of its own.
func (p *parts) drain(running context.Context) {
	p.log.Info("router drains")
	p.router.Stop()
	timer := time.NewTimer(p.drainDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-running.Done():
	}
	if err := p.server.Shutdown(running); err != nil {
		p.log.Warn("drain was cut short", "error", err)
	}
}
