package main

import (
	"context"
	"math"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/connlimit"
	"github.com/mastichollow/mastichollow/internal/process/member"
	"github.com/mastichollow/mastichollow/internal/router"
	"github.com/mastichollow/mastichollow/internal/target"
)

// Timeouts of connections with callers.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// headerLimitFactor is the ratio of the header limit of net/http to that of the router.
// Above 1, a header over the router's limit reaches the router, which refuses it itself.
const headerLimitFactor = 4

// parts are the long-lived objects of the program.
type parts struct {
	member     *member.Member
	router     *router.Router
	listener   net.Listener
	server     *http.Server
	drainDelay time.Duration
}

// start builds the parts and runs them until ctx is done and the requests in flight are
// answered.
func start(ctx context.Context, s *settings) error {
	m, err := member.New(program, &s.Settings, s.FleetListen)
	if err != nil {
		return err
	}
	p, err := build(s, m)
	if err != nil {
		return err
	}
	m.Log.Info("listening for callers", "listen", p.listener.Addr())
	return m.Run(ctx, p.memberSpec())
}

func build(s *settings, m *member.Member) (*parts, error) {
	cfg := s.routerConfig()
	cfg.Store, cfg.Opener = m.Store, m.Endpoint
	cfg.Logger, cfg.Registerer = m.Log.Named("router"), m.Registry
	r, err := router.New(cfg)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listening for callers on %q", s.Listen)
	}
	server := &http.Server{
		Handler:           connlimit.Protected(r),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerLimitFactor * s.HeaderLimit,
		ErrorLog:          m.Log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	connlimit.Configure(server)
	limits := connlimit.Limits{Memory: s.ConnectionsLimit, Conns: maxCallerConnections()}
	limited := connlimit.NewListener(listener, connlimit.NewAccount(limits), m.Connections, "callers")
	return &parts{member: m, router: r, listener: limited, server: server, drainDelay: s.DrainDelay}, nil
}

// maxCallerConnections returns how many connections callers may have: half of the descriptors
// that the process may open, so that the rest is left for the fleet and the platform.
func maxCallerConnections() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32) / 2)
}

func (p *parts) memberSpec() *member.Spec {
	return &member.Spec{
		Role:   target.RoleRouter,
		Report: p.router.Report,
		Ready:  p.router.Ready,
		Tasks:  []member.Task{p.router.Run, p.serve, p.closeServer},
		Drain:  p.drain,
	}
}

// serve serves callers until the server is shut down.
func (p *parts) serve(context.Context) error {
	err := p.server.Serve(p.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serving callers")
}

// closeServer closes the remaining connections when ctx is done, after the drain.
func (p *parts) closeServer(ctx context.Context) error {
	<-ctx.Done()
	return errors.Wrap(p.server.Close(), "closing the listener for callers")
}

// drain fails readiness, so that the load balancer routes callers to other routers. After the
// drain delay it stops accepting connections and waits for the requests in flight without
// a time limit, because each has its own deadline.
func (p *parts) drain(ctx context.Context) {
	p.router.Stop()
	clock.Sleep(ctx, p.drainDelay)
	if err := p.server.Shutdown(ctx); err != nil {
		p.member.Log.Warn("drain did not complete", "error", err)
	}
}
