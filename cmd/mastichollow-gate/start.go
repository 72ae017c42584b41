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
	"github.com/mastichollow/mastichollow/internal/budget"
	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/connlimit"
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
	// dialTimeout bounds the time to connect to a target. A round trip between regions
	// takes 16 ms. A lost SYN is retransmitted only after 1 s, and trying another target
	// takes less time than that.
	dialTimeout = 300 * time.Millisecond
	// gcMemoryFraction is the fraction of the machine's memory that is set as the soft
	// memory limit of the Go runtime.
	gcMemoryFraction = 0.6
	// bodyMemoryFraction is the fraction of the machine's memory that request bodies may
	// use.
	bodyMemoryFraction = 0.2
	// responseMemoryFraction is the fraction of the machine's memory for what is kept of
	// responses beyond a small part of each. Sound responses rarely need any.
	responseMemoryFraction = 0.05
	// callerConnectionFraction is the fraction of the machine's file descriptors that
	// callers' connections may use before the gate closes each after its next response. The
	// rest is for connections to targets and for bursts.
	callerConnectionFraction = 0.3
	// maxCallerConnectionFraction is the fraction of the machine's file descriptors that
	// callers' connections may use at all. Each may need one more to a target; the rest is
	// reserved for the store, peers, metrics and the load balancer. It is above
	// maxConnectionFraction, so that connections that send no request are closed for others.
	maxCallerConnectionFraction = 0.45
	// callerMemoryFraction is the fraction of the machine's memory that callers' connections,
	// heads and bodies may use together. With the response memory and the gate's own state
	// (25 MB) this is less than the memory of the smallest machines (112 MB).
	callerMemoryFraction = 0.4
	// maxPeerConnections is several times the number of gates of the deployments.
	maxPeerConnections        = 256
	maxPeerConnectionFraction = 1.0 / 16
	peerMemoryFraction        = 1.0 / 32
	// maxConnectionFraction is the fraction of the descriptors above which a gate closes idle
	// connections of callers and accepts no others, and requestDescriptorFraction that of which each request in flight may use
	// one for its target. A fifth is left for the store, peers, the load balancer and idle
	// connections to targets.
	maxConnectionFraction     = 0.4
	requestDescriptorFraction = 0.4
	// requestMemoryFraction is the fraction of the machine's memory for requests in flight
	// apart from bodies, and requestMemory what one takes in bytes: stacks and buffers of
	// two connections. 1,500 requests in flight take at most 60 kB each (measured with bodies
	// and responses by TestManyFaultyTargetsMemoryBound).
	requestMemoryFraction = 0.5
	requestMemory         = 32 << 10
)

// flags are the command-line flags.
type flags struct {
	Version     kong.VersionFlag `help:"Print the version and exit."`
	Boot        string           `help:"Path of the platform's settings file." required:""`
	MetricsPort int              `help:"Port for /metrics, /healthz and /readyz on the machine's address." default:"9464"`
	LogLevel    string           `help:"Least level of log lines: trace, debug, info, warn or error." default:"info" enum:"trace,debug,info,warn,error"`
	// LearnedSpeeds is off only to compare with and without it.
	LearnedSpeeds bool `help:"Whether targets get requests by the speed that the gates learn, where it differs." default:"true" negatable:""`
}

func (f *flags) validate() error {
	var errs settings.Errors
	errs.Check("boot", settings.Name(f.Boot))
	if f.MetricsPort < 1 || f.MetricsPort > 65535 {
		errs.Check("metrics-port", errors.Newf("%d is not a port", f.MetricsPort))
	}
	return errs.Join()
}

// start runs the gate until ctx is done and its callers are served.
func start(ctx context.Context, f *flags) error {
	s, err := platform.LoadSettings(f.Boot)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(gcMemoryFraction * float64(s.MemoryLimitBytes)))
	reg := process.NewRegistry()
	events := eventlog.New(os.Stdout, reg)
	log := events.Logger(program, hclog.LevelFromString(f.LogLevel))

	// Background tasks continue after the signal, so that requests in flight are still
	// served.
	taskCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go events.Run(taskCtx)
	p, err := build(s, f.LearnedSpeeds, events, log, reg)
	if err != nil {
		return err
	}
	log.Info("started", "node", s.Node, "domain", s.Domain, "version", process.Version, "callers", s.CallerAddr, "store", s.StoreAddr)
	p.run(taskCtx, reg)
	go p.server.serveAdmin(reg, net.JoinHostPort(hostOf(s.ReadyAddr), strconv.Itoa(f.MetricsPort)))
	go watchSettings(taskCtx, f.Boot, s, p.watcher.Store, log)

	<-ctx.Done()
	p.server.drain(s.GracePeriod)
	log.Info("stopped", "in_hand", p.gate.InFlight())
	stop()
	events.Wait()
	return nil
}

// parts are the long-lived objects of the program.
type parts struct {
	gate    *gate.Gate
	watcher *platform.Watcher
	peers   *peers.Exchange
	pool    *upstream.Pool
	server  *server
}

// build creates the parts and opens the listeners.
func build(s *platform.Settings, learnedSpeeds bool, events *eventlog.Log, log hclog.Logger, reg *prometheus.Registry) (*parts, error) {
	monotonic, boot := clock.Monotonic(), clock.Boot()
	startedMillis := time.Now().UnixMilli()
	controller := admission.NewController(admission.Config{
		Site:  admission.Site{Region: s.Region, Domain: s.Domain, Regions: s.Regions},
		Retry: admission.RetryBudget{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow},

		IgnoreSpeeds: !learnedSpeeds, SpeedsByStatedPace: true,
	})
	directory := target.NewDirectory(s.Regions)
	exchange, err := peers.Listen(peers.Config{
		Node: s.Node, Domain: s.Domain, Region: s.Region, Listen: s.PeerAddr, Start: startedMillis, Now: monotonic, Log: log.Named("peers"),
	}, controller, directory, reg)
	if err != nil {
		return nil, err
	}
	table := gate.NewTableCache(boot)
	feed := relay.NewFeed(startedMillis, boot)
	feed.Steady = monotonic
	watcher := &platform.Watcher{
		Store: platform.NewStore(s.StoreAddr), Settings: s, Table: table, Directory: directory,
		Controller: controller, Peers: exchange, Boot: boot, Steady: monotonic, Start: startedMillis,
		Log: log.Named("platform"), Feed: feed, BootstrapPeers: exchange.AliveAddrs,
	}
	watcher.Relay = relay.NewMember(relay.Config{
		Candidates: exchange.RelayCandidates, View: watcher, Now: boot, Steady: monotonic, Log: log.Named("relay"),
	}, reg)
	dials := metric.NewFactory(reg, "mastichollow_targets").Counter("connections_total", "New connections to targets.")
	responseMemory := budget.NewBytes(int64(responseMemoryFraction * float64(s.MemoryLimitBytes)))
	pool := upstream.NewPool(upstream.Config{DialTimeout: dialTimeout, ResponseMemory: responseMemory, Now: monotonic}, dials.Inc)
	watcher.OnTargetRemoved = pool.CloseIdle
	g := gate.New(gate.Config{
		MaxTableAgeForKeys: s.MaxTableAgeForKeys(), MaxTableAgeForDenials: s.MaxTableAgeForDenials(), MaxBufferedBodyBytes: int64(bodyMemoryFraction * float64(s.MemoryLimitBytes)),
		MaxKeepAliveConnections: int(callerConnectionFraction * float64(s.MaxFileDescriptors)), Domain: s.Domain, Now: monotonic, Events: events,
		MaxConnections: int(maxConnectionFraction * float64(s.MaxFileDescriptors)), MaxRequests: maxRequests(s),
		ResponseMemory: responseMemory, StoreUnreachable: watcher.Detached,
	}, platform.Codec{}, table, directory, controller, pool, reg)
	server, err := listen(s, g, feed, log, connlimit.NewStats(reg, log.Named("connections")))
	if err != nil {
		return nil, err
	}
	return &parts{gate: g, peers: exchange, pool: pool, server: server, watcher: watcher}, nil
}

// maxRequests returns how many requests in flight the machine's memory and descriptors hold.
func maxRequests(s *platform.Settings) int {
	byMemory := int(requestMemoryFraction * float64(s.MemoryLimitBytes) / requestMemory)
	if s.MaxFileDescriptors <= 0 {
		return byMemory
	}
	return min(byMemory, int(requestDescriptorFraction*float64(s.MaxFileDescriptors)))
}

// run starts the background tasks, each in its own goroutine.
func (p *parts) run(ctx context.Context, reg *prometheus.Registry) {
	go p.watcher.Run(ctx, reg)
	go p.peers.Run(ctx)
	go p.pool.Run(ctx)
	go p.gate.Run(ctx)
	go p.server.serve()
}

func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr // validated with the settings
	}
	return host
}
