package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// Timings are the intervals and timeouts of a node. A zero field takes its
// default.
type Timings struct {
	ReportInterval     time.Duration // between reports of a member; 0.5 s
	FullReportInterval time.Duration // between reports with all totals; 30 s
	DigestInterval     time.Duration // between digests to members; 0.5 s
	PeerDigestInterval time.Duration // between digests to relays of other failure domains; 2 s
	PollInterval       time.Duration // between reads of the platform by a relay; 1 s
	DirectPollInterval time.Duration // between reads of the platform by a member whose relays cannot read it, ± 50 %; 5 s
	CallTimeout        time.Duration // of one call of the platform; 2 s
	StaleAfter         time.Duration // time without a successful read after which the platform counts as unreachable; 3 s
	PingAfter          time.Duration // time without a message after which a peer is pinged; 1.5 s
	IdleTimeout        time.Duration // time without a message after which a link is closed; 3 s
	DialTimeout        time.Duration // of opening a control stream; 1 s
	RedialDelay        time.Duration // before a peer is dialled again, ± 50 %; 2 s
	StatusInterval     time.Duration // between writes of confirmed versions; 1 s
}

func (t Timings) withDefaults() Timings {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&t.ReportInterval, 500*time.Millisecond)
	set(&t.FullReportInterval, 30*time.Second)
	set(&t.DigestInterval, 500*time.Millisecond)
	set(&t.PeerDigestInterval, 2*time.Second)
	set(&t.PollInterval, time.Second)
	set(&t.DirectPollInterval, 5*time.Second)
	set(&t.CallTimeout, 2*time.Second)
	set(&t.StaleAfter, 3*time.Second)
	set(&t.PingAfter, 1500*time.Millisecond)
	set(&t.IdleTimeout, 3*time.Second)
	set(&t.DialTimeout, time.Second)
	set(&t.RedialDelay, 2*time.Second)
	set(&t.StatusInterval, time.Second)
	return t
}

// NodeConfig configures a node.
type NodeConfig struct {
	Self        target.VM
	Incarnation uint64 // differs for each start of the process, > 0
	Store       *Store
	Table       platform.TableService
	VMs         platform.VMList
	Opener      transport.Opener
	// Seeds are addresses (IP:port) of routers that provide the VM list and the
	// table when the platform is unreachable at the start. Optional.
	Seeds []string
	// Report returns the usage totals and loads of this process; nil for a
	// process without a target.
	Report func() []wire.PoolTotals
	// Suspect decodes an item under platform.PrefixSuspect; nil when suspects
	// are not read.
	Suspect    func(platform.Item) (wire.Suspect, error)
	Logger     hclog.Logger          // nil: no log
	Registerer prometheus.Registerer // nil: no metrics
	Timings    Timings
}

// Node updates the store of one process. It implements
// transport.Handler for control streams.
//
// Every node is a member of its failure domain and keeps control streams to the
// relays of the domain. A node also acts as a relay when its process is one of
// the relays of the domain or when members have connected to it. A relay reads
// the platform, sends the configuration to the members, aggregates their
// reports, and exchanges digests with relays of other failure domains.
type Node struct {
	cfg           NodeConfig
	timings       Timings
	log           hclog.Logger
	metrics       *metrics
	poller        *poller
	configSignal  chan struct{} // holds a value when peers may lack configuration
	forwardSignal chan struct{} // holds a value when members may lack digests of other domains

	platformStale atomic.Bool // no successful read of the platform for StaleAfter
	dialWG        sync.WaitGroup

	localDigestMu sync.Mutex // locked before mu

	mu             sync.Mutex
	links          map[*link]struct{}
	dialStates     map[string]dialState   // by wantedLink.key
	aggregators    map[string]*aggregator // by failure domain
	appliedTotals  map[string]*poolTotals // last totals that this process applied to the store as origin, by failure domain
	memberFanouts  digestFanouts
	peerFanouts    digestFanouts
	reportSequence uint64 // of the last report
	digestSequence uint64 // of the last local digest
}

// NewNode returns a node, or an error that lists every missing or invalid field
// of cfg.
func NewNode(cfg NodeConfig) (*Node, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	n := &Node{
		cfg:           cfg,
		timings:       cfg.Timings.withDefaults(),
		log:           cfg.Logger.Named("fleet"),
		metrics:       newMetrics(cfg.Registerer),
		configSignal:  make(chan struct{}, 1),
		forwardSignal: make(chan struct{}, 1),
		links:         make(map[*link]struct{}),
		dialStates:    make(map[string]dialState),
		aggregators:   make(map[string]*aggregator),
		appliedTotals: make(map[string]*poolTotals),
		memberFanouts: make(digestFanouts),
		peerFanouts:   make(digestFanouts),
	}
	n.poller = newPoller(cfg, n.timings, n.metrics, n.log)
	return n, nil
}

func (c *NodeConfig) validate() error {
	var problems []error
	check := func(ok bool, problem string) {
		if !ok {
			problems = append(problems, errors.New(problem))
		}
	}
	check(c.Self.ID != "", "Self has no VM ID")
	check(c.Self.Domain != "", "Self has no failure domain")
	check(c.Self.Region != "", "Self has no region")
	check(c.Incarnation > 0, "Incarnation is 0")
	check(c.Store != nil, "Store is missing")
	check(c.Table != nil, "Table is missing")
	check(c.VMs != nil, "VMs is missing")
	check(c.Opener != nil, "Opener is missing")
	return errors.Wrap(errors.Join(problems...), "fleet node")
}

// Run runs the node until ctx ends and the links that it dialled are closed.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context){
		n.runPolls, n.runDials, n.runReports, n.runMemberDigests, n.runPeerDigests, n.runDigestForwarding, n.runConfigs, n.runStatus,
	} {
		g.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	err := g.Wait()
	n.dialWG.Wait()
	return err
}

// ServeStream implements transport.Handler. It serves a control stream that a
// member or a relay of another failure domain opened; first must be a Hello of
// the same protocol version.
func (n *Node) ServeStream(ctx context.Context, peer transport.Peer, first wire.Message, s transport.Stream) {
	hello, ok := first.(*wire.Hello)
	if !ok || hello.Protocol != wire.ProtocolVersion {
		n.metrics.linksLost.WithLabelValues("protocol").Inc()
		n.log.Warn("rejected a control stream: unexpected first message or protocol version", "peer", peer.Member, "type", first.Type())
		return
	}
	kind := linkToMember
	if hello.Relay {
		kind = linkFromPeer
	}
	vm := target.VM{ID: hello.Member, Domain: hello.Domain, Region: peer.Region, Addr: peer.Addr}
	_ = n.serve(ctx, newLink(kind, s, Classify(n.cfg.Self, vm), vm), hello)
}

// serve serves l until it ends and returns the reason. hello is the peer's
// Hello, or nil if it has not arrived yet.
func (n *Node) serve(ctx context.Context, l *link, hello *wire.Hello) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	l.cancel = cancel
	n.addLink(l, hello)
	err := n.runLink(ctx, l)
	n.removeLink(l)
	reason := endReason(err)
	n.metrics.linksLost.WithLabelValues(reason).Inc()
	n.log.Debug("control stream ended", "peer", l.peer.ID, "kind", l.kind.String(), "reason", reason, "error", err)
	return err
}

// addLink sends the local Hello on l and registers the link.
func (n *Node) addLink(l *link, hello *wire.Hello) {
	l.enqueue(n.newHello(l.kind == linkToPeer))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[l] = struct{}{}
	n.metrics.links.WithLabelValues(l.kind.String()).Inc()
	if hello != nil {
		n.applyHello(l, hello)
	}
	notify(n.configSignal)
}

// removeLink unregisters l. A member without another link is marked absent, so
// that its load no longer counts.
func (n *Node) removeLink(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, l)
	if agg := n.aggregators[l.peer.Domain]; agg != nil && l.kind == linkToMember && !n.hasOtherLink(l) {
		agg.markAbsent(memberID{l.peer.ID, l.incarnation})
	}
	n.metrics.links.WithLabelValues(l.kind.String()).Dec()
}

// hasOtherLink reports whether another link of the same kind to the same
// process as l is up. n.mu is held.
func (n *Node) hasOtherLink(l *link) bool {
	for other := range n.links {
		if other.kind == l.kind && other.peer.ID == l.peer.ID && other.incarnation == l.incarnation {
			return true
		}
	}
	return false
}

// newHello returns the Hello of this process, the first message of a control
// stream. relay says that this process opens the stream as a relay of another
// failure domain.
func (n *Node) newHello(relay bool) *wire.Hello {
	return &wire.Hello{
		Protocol:     wire.ProtocolVersion,
		Member:       n.cfg.Self.ID,
		Incarnation:  n.cfg.Incarnation,
		Domain:       n.cfg.Self.Domain,
		Relay:        relay,
		TableVersion: n.tableVersion(),
		Pool:         n.cfg.Self.Pool,
	}
}

func (n *Node) handleHello(l *link, hello *wire.Hello) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyHello(l, hello)
}

// applyHello records the incarnation, table version, standby and pool of the
// peer. n.mu is held.
func (n *Node) applyHello(l *link, hello *wire.Hello) {
	l.incarnation = hello.Incarnation
	l.sent.tableVersion = max(l.sent.tableVersion, hello.TableVersion)
	l.standby = hello.Standby
	l.poolFilter = hello.Pool
}

// tableVersion returns the table version in force, or 0 without a table.
func (n *Node) tableVersion() uint64 {
	if t := n.cfg.Store.Snapshot().Table; t != nil {
		return t.Version
	}
	return 0
}

// notify puts a value into c unless c is full.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// endReason returns the metric label of the reason for which a link ended.
func endReason(err error) string {
	switch {
	case err == nil, errors.Is(err, context.Canceled):
		return "closed"
	case errors.Is(err, ErrUnresponsive):
		return "silent"
	case errors.Is(err, ErrSlowPeer):
		return "slow"
	case errors.Is(err, ErrProtocol), errors.Is(err, ErrMalformed):
		return "protocol"
	default:
		return "lost"
	}
}
