package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/connlimit"
	"github.com/mastichollow/mastichollow/internal/gate"
	"github.com/mastichollow/mastichollow/internal/process"
	"github.com/mastichollow/mastichollow/internal/relay"
	"github.com/mastichollow/mastichollow/platform"
)

const (
	// balancerReactionTime is how long the load balancer may still route callers to a gate
	// that is not ready: two health checks, one a second.
	balancerReactionTime = 2500 * time.Millisecond
	// stopMargin is the part of the grace period reserved for the last responses and the
	// exit of the process.
	stopMargin        = 700 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
	// exchangeTimeout bounds reading a request of the load balancer or of a peer, and
	// writing its response, long polls of peers included.
	exchangeTimeout = 10 * time.Second
)

// server serves callers, the load balancer and peers.
type server struct {
	gate                                        *gate.Gate
	log                                         hclog.Logger
	callerListener, readyListener, peerListener net.Listener
	callerServer                                *http.Server
	readyServer                                 *http.Server
	peerServer                                  *http.Server
	stats                                       *connlimit.Stats
}

// listen opens the listeners.
func listen(s *platform.Settings, g *gate.Gate, feed *relay.Feed, log hclog.Logger, stats *connlimit.Stats) (*server, error) {
	callers, err := net.Listen("tcp4", s.CallerAddr)
	if err != nil {
		return nil, errors.Wrapf(err, "listening for callers on %s", s.CallerAddr)
	}
	ready, err := net.Listen("tcp4", s.ReadyAddr)
	if err != nil {
		return nil, errors.Wrapf(err, "listening for the balancer on %s", s.ReadyAddr)
	}
	peers, err := net.Listen("tcp4", s.PeerAddr)
	if err != nil {
		return nil, errors.Wrapf(err, "listening for peers on %s", s.PeerAddr)
	}
	peerMux := http.NewServeMux()
	peerMux.Handle("POST "+relay.Path, feed)
	debugLogger := log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
	srv := &server{
		gate: g, log: log, stats: stats,
		callerListener: g.LimitConnections(connlimit.NewListener(callers, connlimit.NewAccount(callerLimits(s)), stats, "callers")),
		readyListener:  connlimit.NewListener(ready, connlimit.NewAccount(connlimit.SmallLimits), stats, "readiness"),
		peerListener:   connlimit.NewListener(peers, connlimit.NewAccount(peerLimits(s)), stats, "peers"),
		// The gate sets a write deadline of its own for each response. WriteTimeout bounds
		// those of http.Server itself, such as to "OPTIONS *".
		callerServer: &http.Server{Handler: g, ErrorLog: debugLogger, ConnContext: gate.ConnContext, ConnState: g.ConnState, WriteTimeout: exchangeTimeout},
		readyServer: &http.Server{
			Handler: platform.ReadyHandler(g.Ready), ReadTimeout: exchangeTimeout, WriteTimeout: exchangeTimeout, ErrorLog: debugLogger,
		},
		peerServer: &http.Server{Handler: peerMux, ReadTimeout: exchangeTimeout, WriteTimeout: exchangeTimeout, ErrorLog: debugLogger},
	}
	for _, each := range []*http.Server{srv.callerServer, srv.readyServer, srv.peerServer} {
		connlimit.Configure(each)
	}
	return srv, nil
}

// callerLimits returns the limits for what callers make the gate hold.
func callerLimits(s *platform.Settings) connlimit.Limits {
	return connlimit.Limits{
		Memory: int64(callerMemoryFraction * float64(s.MemoryLimitBytes)),
		Conns:  int(maxCallerConnectionFraction * float64(s.MaxFileDescriptors)),
	}
}

// peerLimits returns the limits for what peers make the gate hold: a connection for each
// member of the relay and some for gates that start.
func peerLimits(s *platform.Settings) connlimit.Limits {
	conns := maxPeerConnections
	if s.MaxFileDescriptors > 0 {
		conns = min(conns, int(maxPeerConnectionFraction*float64(s.MaxFileDescriptors)))
	}
	return connlimit.Limits{Memory: int64(peerMemoryFraction * float64(s.MemoryLimitBytes)), Conns: conns}
}

func (s *server) serve() {
	go func() { s.logServeError("balancer", s.readyServer.Serve(s.readyListener)) }()
	go func() { s.logServeError("peers", s.peerServer.Serve(s.peerListener)) }()
	s.logServeError("callers", s.callerServer.Serve(s.callerListener))
}

func (s *server) logServeError(client string, err error) {
	if !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("listener ended", "for", client, "error", err)
	}
}

// serveAdmin serves metrics. If it cannot listen, the gate still serves callers.
func (s *server) serveAdmin(reg *prometheus.Registry, addr string) {
	admin, err := process.NewAdmin(addr, reg, s.gate.Ready, s.stats)
	if err != nil {
		s.log.Error("metrics are not served", "error", err)
		return
	}
	s.logServeError("metrics", admin.Run(context.Background()))
}

// drain shuts the server down within the grace period. The gate reports that it is not
// ready, so that the load balancer routes new connections to other gates, closes each
// connection after its next response, and refuses what may not end in time. Idle
// connections are closed after balancerReactionTime.
func (s *server) drain(grace time.Duration) {
	start := time.Now()
	stop := start.Add(grace - stopMargin)
	// Draining comes before its log line: a request that arrives after the line is refused
	// if it may not end within the grace period.
	s.gate.Drain(stop)
	s.log.Info("draining", "in_hand", s.gate.InFlight(), "grace_ms", grace.Milliseconds())
	time.Sleep(min(balancerReactionTime, grace/2))
	s.callerServer.SetKeepAlivesEnabled(false)
	for time.Now().Before(stop) && s.gate.InFlight() > 0 {
		time.Sleep(drainPollInterval)
	}
	s.gate.Close()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(grace-stopMargin/2))
	defer cancel()
	if err := s.callerServer.Shutdown(ctx); err != nil {
		s.log.Warn("requests aborted at the end of the grace period", "in_hand", s.gate.InFlight(), "error", err)
	}
}
