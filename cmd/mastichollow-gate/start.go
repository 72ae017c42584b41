package main

import (
	"context"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/eventlog"
	"github.com/mastichollow/mastichollow/internal/gate"
	"github.com/mastichollow/mastichollow/internal/metric"
	"github.com/mastichollow/mastichollow/internal/peers"
	"github.com/mastichollow/mastichollow/internal/process"
	"github.com/mastichollow/mastichollow/internal/process/settings"
	"github.com/mastichollow/mastichollow/internal/relay"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/upstream"
	"github.com/mastichollow/mastichollow/platform"
)

const (
	// dialTimeout bounds the connection to a target: a round trip between
	// regions takes 16 ms, a lost opening packet is sent again after 1 s, and
	// another target costs less.
	dialTimeout = 300 * time.Millisecond
	// memoryShare of the machine's memory is the aim of the garbage collector.
	memoryShare = 0.6
	// bodiesShare of the machine's memory may hold bodies of requests.
	bodiesShare = 0.2
	// connectionsShare of the machine's descriptors may be callers' connections
	// before they end with their answers; targets and clumps need the rest.
	connectionsShare = 0.3
)

// flags are the command line.
type flags struct {
	Version     kong.VersionFlag `help:"Print the version and exit."`
	Boot        string           `help:"Path of the platform's settings file." required:""`
	MetricsPort int              `help:"Port for /metrics, /healthz and /readyz on the machine's address." default:"9464"`
	LogLevel    string           `help:"Least level of log lines: trace, debug, info, warn or error." default:"info" enum:"trace,debug,info,warn,error"`
}

func (f *flags) validate() error {
	var faults settings.Faults
	faults.Check("boot", settings.Name(f.Boot))
	if f.MetricsPort < 1 || f.MetricsPort > 65535 {
		faults.Check("metrics-port", errors.Newf("%d is not a port", f.MetricsPort))
	}
	return faults.Join()
}

// start runs the gate until ctx ends, and then until its callers are served.
func start(ctx context.Context, f *flags) error {
	s, err := platform.LoadSettings(f.Boot)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryLimitBytes)))
	reg := process.NewRegistry()
	events := eventlog.New(os.Stdout, reg)
	log := events.Logger(program, hclog.LevelFromString(f.LogLevel))

	// Duties outlive the signal, so that requests in hand are still served.
	duties, stop := context.WithCancel(context.Background())
	defer stop()
	go events.Run(duties)
	n, err := assemble(s, events, log, reg)
	if err != nil {
		return err
	}
	log.Info("started", "node", s.Node, "domain", s.Domain, "version", process.Version, "callers", s.CallerAddr, "store", s.StoreAddr)
	n.run(duties, reg)
	go n.server.admin(reg, net.JoinHostPort(hostOf(s.ReadyAddr), strconv.Itoa(f.MetricsPort)))
	go watchSettings(duties, f.Boot, s, n.watcher.Store, log)

	<-ctx.Done()
	n.server.drain(s.GracePeriod)
	log.Info("stopped", "in_hand", n.gate.InFlight())
	stop()
	events.Wait()
	return nil
}

// node is the parts of a running gate.
type node struct {
	gate    *gate.Gate
	watcher *platform.Watcher
	peers   *peers.Exchange
	pool    *upstream.Pool
	server  *server
}

// assemble makes the parts and opens the listeners.
func assemble(s *platform.Settings, events *eventlog.Log, log hclog.Logger, reg *prometheus.Registry) (*node, error) {
	steady, boot := clock.Monotonic(), clock.Boot()
	born := time.Now().UnixMilli()
	controller := admission.NewController(admission.Config{
		Site:  admission.Site{Region: s.Region, Domain: s.Domain, Regions: s.Regions},
		Retry: admission.RetryBudget{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow},
	})
	directory := target.NewDirectory()
	exchange, err := peers.Listen(peers.Config{
		Node: s.Node, Domain: s.Domain, Region: s.Region, Listen: s.PeerAddr, Start: born, Now: steady, Log: log.Named("peers"),
	}, controller, directory, reg)
	if err != nil {
		return nil, err
	}
	table := gate.NewTableCache(boot)
	feed := relay.NewFeed(born, boot)
	watcher := &platform.Watcher{
		Store: platform.NewStore(s.StoreAddr), Settings: s, Table: table, Directory: directory,
		Controller: controller, Peers: exchange, Boot: boot, Steady: steady, Start: born,
		Log: log.Named("platform"), Feed: feed, BootstrapPeers: exchange.AliveAddrs,
	}
	watcher.Relay = relay.NewMember(relay.Config{
		Candidates: exchange.RelayCandidates, View: watcher, Now: boot, Log: log.Named("relay"),
	}, reg)
	dialed := metric.NewFactory(reg, "mastichollow_targets").Counter("connections_total", "New connections to targets.")
	pool := upstream.NewPool(upstream.Config{DialTimeout: dialTimeout, Now: steady}, dialed.Inc)
	watcher.OnTargetRemoved = pool.CloseIdle
	g := gate.New(gate.Config{
		MaxTableAgeForKeys: s.MaxTableAgeForKeys(), MaxTableAgeForDenial: s.MaxTableAgeForDenials(), MaxBufferedBodyBytes: int64(bodiesShare * float64(s.MemoryLimitBytes)),
		MaxKeepAliveConnections: int(connectionsShare * float64(s.MaxFileDescriptors)), Domain: s.Domain, Now: steady, Events: events,
		StoreUnreachable: watcher.Detached,
	}, platform.Codec{}, table, directory, controller, pool, reg)
	server, err := listen(s, g, feed, log)
	if err != nil {
		return nil, err
	}
	return &node{gate: g, peers: exchange, pool: pool, server: server, watcher: watcher}, nil
}

// run starts the duties, each in a goroutine of its own.
func (n *node) run(ctx context.Context, reg *prometheus.Registry) {
	go n.watcher.Run(ctx, reg)
	go n.peers.Run(ctx)
	go n.pool.Run(ctx)
	go n.gate.Run(ctx)
	go n.server.serve()
}

func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr // checked with the settings
	}
	return host
}
