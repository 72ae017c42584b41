package main

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/gate"
	"github.com/mastichollow/mastichollow/internal/process"
	"github.com/mastichollow/mastichollow/internal/relay"
	"github.com/mastichollow/mastichollow/platform"
)

const (
	// headerTimeout and idleTimeout are above what tables allow callers (3 s,
	// 15 s, of which they use four fifths), so that a caller's request does not
	// meet the close of its connection. Longer ones pile up idle connections.
	headerTimeout = 10 * time.Second
	idleTimeout   = 16 * time.Second
	// headerBytes is above what tables allow callers (16 KiB).
	headerBytes = 64 << 10
	// noticeTime is how long the balancer may still send callers to a gate that
	// is not ready: two questions, one a second. Later requests are refused, for
	// the longest streams would be cut.
	noticeTime = 2500 * time.Millisecond
	// stopMargin is left of the grace period for the end of the process.
	stopMargin = 700 * time.Millisecond
	drainPoll  = 50 * time.Millisecond
)

// server serves callers, the balancer and peers.
type server struct {
	gate                  *gate.Gate
	log                   hclog.Logger
	callers, ready, peers net.Listener
	http                  *http.Server
	asked                 *http.Server
	relay                 *http.Server
}

// listen opens the listeners.
func listen(s *platform.Settings, g *gate.Gate, feed *relay.Feed, log hclog.Logger) (*server, error) {
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
	served := http.NewServeMux()
	served.Handle("POST "+relay.Path, feed)
	quiet := log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
	return &server{
		gate: g, log: log, callers: callers, ready: ready, peers: peers,
		http: &http.Server{
			Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: headerBytes, ErrorLog: quiet, ConnContext: gate.ConnContext, ConnState: g.ConnState,
		},
		asked: &http.Server{Handler: platform.ReadyHandler(g.Ready), ReadHeaderTimeout: headerTimeout, ErrorLog: quiet},
		relay: &http.Server{Handler: served, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: quiet},
	}, nil
}

func (s *server) serve() {
	go func() { s.report("balancer", s.asked.Serve(s.ready)) }()
	go func() { s.report("peers", s.relay.Serve(s.peers)) }()
	s.report("callers", s.http.Serve(s.callers))
}

func (s *server) report(who string, err error) {
	if !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("listener ended", "for", who, "error", err)
	}
}

// admin serves metrics. A gate without them still serves callers.
func (s *server) admin(reg *prometheus.Registry, addr string) {
	admin, err := process.NewAdmin(addr, reg, s.gate.Ready)
	if err != nil {
		s.log.Error("metrics are not served", "error", err)
		return
	}
	s.report("metrics", admin.Run(context.Background()))
}

// drain lets callers go: the balancer first, then each connection after its
// next answer, within the grace period.
func (s *server) drain(grace time.Duration) {
	s.log.Info("draining", "in_hand", s.gate.InFlight(), "grace_ms", grace.Milliseconds())
	s.gate.Drain()
	start := time.Now()
	time.Sleep(min(noticeTime, grace/2))
	s.gate.Close()
	s.http.SetKeepAlivesEnabled(false)
	for time.Since(start) < grace-stopMargin && s.gate.InFlight() > 0 {
		time.Sleep(drainPoll)
	}
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(grace-stopMargin/2))
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		s.log.Warn("requests cut at the end of the grace period", "in_hand", s.gate.InFlight(), "error", err)
	}
}
