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

// Periods are the times that govern a node. A zero field takes its default.
type Periods struct {
	Report     time.Duration // between reports of a member; 0.5 s
	FullReport time.Duration // between full reports; 30 s
	Digest     time.Duration // between digests of a relay to its members; 0.5 s
	Peer       time.Duration // between digests to relays of other failure domains; 2 s
	Poll       time.Duration // between reads of the platform by a relay; 1 s
	Direct     time.Duration // between reads by a member without a relay, ± half; 5 s
	Call       time.Duration // timeout of one call of the platform; 2 s
	Stale      time.Duration // without a read after which the platform counts as cut off; 3 s
	Ping       time.Duration // without a message after which a peer is pinged; 1.5 s
	Silent     time.Duration // without a message after which a link is dropped; 3 s
	Dial       time.Duration // timeout of opening a control stream; 1 s
	Redial     time.Duration // before a failed peer is tried again; 2 s
	Status     time.Duration // between writes of confirmed versions; 1 s
}

func (p Periods) withDefaults() Periods {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&p.Report, 500*time.Millisecond)
	set(&p.FullReport, 30*time.Second)
	set(&p.Digest, 500*time.Millisecond)
	set(&p.Peer, 2*time.Second)
	set(&p.Poll, time.Second)
	set(&p.Direct, 5*time.Second)
	set(&p.Call, 2*time.Second)
	set(&p.Stale, 3*time.Second)
	set(&p.Ping, 1500*time.Millisecond)
	set(&p.Silent, 3*time.Second)
	set(&p.Dial, time.Second)
	set(&p.Redial, 2*time.Second)
	set(&p.Status, time.Second)
	return p
}

// NodeConfig configures a node.
type NodeConfig struct {
	Self        target.VM
	Incarnation uint64 // differs for each start of the process, > 0
	Store       *Store
	Table       platform.TableService
	VMs         platform.VMList
	Opener      transport.Opener
	// Seeds are addresses (IP:port) of routers, asked for the VM list and the
	// table when the platform gives none at the start. They may be missing.
	Seeds []string
	// Report returns the sums and loads of this process; nil for a process
	// without a target.
	Report func() []wire.PoolSums
	// Suspect decodes an item under platform.PrefixSuspect; nil when suspects
	// are not read.
	Suspect    func(platform.Item) (wire.Suspect, error)
	Logger     hclog.Logger          // nil: no log
	Registerer prometheus.Registerer // nil: no metrics
	Periods    Periods
}

// Node keeps the store of one process up to date. It implements
// transport.Handler for control streams.
//
// Every node is a member of its failure domain: it holds control streams to
// the relays of the domain. A node whose process is one of the relays, or to
// which members have come, also relays: it reads the platform, passes the
// configuration to the members, adds up their reports, and exchanges sums with
// the relays of other failure domains.
type Node struct {
	cfg     NodeConfig
	periods Periods
	log     hclog.Logger
	metrics *metrics
	poller  *poller
	changed chan struct{} // holds a value when members may lack configuration
	forward chan struct{} // holds a value when members lack sums of other domains

	isStale atomic.Bool // the platform has not been read for a while
	dials   sync.WaitGroup

	sumUpMu sync.Mutex // taken before mu

	mu         sync.Mutex
	links      map[*link]struct{}
	dialled    map[string]dialState // by VM ID and kind of link
	tallies    map[string]*tally    // by failure domain
	applied    map[string]*poolSums // own totals in the store, by failure domain
	memberFans fans
	peerFans   fans
	reports    uint64 // sequence of the last report
	digests    uint64 // sequence of the last own digest
}

// NewNode returns a node or an error that names every fault of cfg.
func NewNode(cfg NodeConfig) (*Node, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	n := &Node{
		cfg:        cfg,
		periods:    cfg.Periods.withDefaults(),
		log:        cfg.Logger.Named("fleet"),
		metrics:    newMetrics(cfg.Registerer),
		changed:    make(chan struct{}, 1),
		forward:    make(chan struct{}, 1),
		links:      make(map[*link]struct{}),
		dialled:    make(map[string]dialState),
		tallies:    make(map[string]*tally),
		applied:    make(map[string]*poolSums),
		memberFans: make(fans),
		peerFans:   make(fans),
	}
	n.poller = newPoller(cfg, n.periods, n.metrics, n.log)
	return n, nil
}

func (c *NodeConfig) validate() error {
	var faults []error
	check := func(ok bool, fault string) {
		if !ok {
			faults = append(faults, errors.New(fault))
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
	return errors.Wrap(errors.Join(faults...), "fleet node")
}

// Run serves until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, duty := range []func(context.Context){
		n.runPolls, n.runDials, n.runReports, n.runDigests, n.runPeerDigests, n.runForwards, n.runConfigs, n.runStatus,
	} {
		g.Go(func() error {
			duty(ctx)
			return nil
		})
	}
	err := g.Wait()
	n.dials.Wait()
	return err
}

// ServeStream implements transport.Handler.
func (n *Node) ServeStream(ctx context.Context, peer transport.Peer, first wire.Message, s transport.Stream) {
	hello, ok := first.(*wire.Hello)
	if !ok || hello.Protocol != wire.ProtocolVersion {
		n.metrics.lost.WithLabelValues("protocol").Inc()
		n.log.Warn("refused a control stream", "peer", peer.Member, "type", first.Type())
		return
	}
	kind := toMember
	if hello.Relay {
		kind = fromPeer
	}
	vm := target.VM{ID: hello.Member, Domain: hello.Domain, Region: peer.Region, Addr: peer.Addr}
	_ = n.serve(ctx, newLink(kind, s, Classify(n.cfg.Self, vm), vm), hello)
}

// serve runs l until it ends. hello is the peer's, nil when it has not come.
func (n *Node) serve(ctx context.Context, l *link, hello *wire.Hello) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	l.cancel = cancel
	n.addLink(l, hello)
	err := n.runLink(ctx, l)
	n.removeLink(l)
	reason := lostReason(err)
	n.metrics.lost.WithLabelValues(reason).Inc()
	n.log.Debug("control stream ended", "peer", l.peer.ID, "kind", l.kind.String(), "reason", reason, "error", err)
	return err
}

func (n *Node) addLink(l *link, hello *wire.Hello) {
	l.send(n.hello(l.kind == toPeer))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[l] = struct{}{}
	n.metrics.links.WithLabelValues(l.kind.String()).Inc()
	if hello != nil {
		n.applyHello(l, hello)
	}
	wake(n.changed)
}

func (n *Node) removeLink(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, l)
	if t := n.tallies[l.peer.Domain]; t != nil && l.kind == toMember && !n.hasMember(l) {
		t.absent(memberID{l.peer.ID, l.incarnation})
	}
	n.metrics.links.WithLabelValues(l.kind.String()).Dec()
}

// hasMember reports whether another link to the member of l is up. n.mu is
// held.
func (n *Node) hasMember(l *link) bool {
	for other := range n.links {
		if other.kind == l.kind && other.peer.ID == l.peer.ID && other.incarnation == l.incarnation {
			return true
		}
	}
	return false
}

// hello returns the first message of a control stream.
func (n *Node) hello(relay bool) *wire.Hello {
	return &wire.Hello{
		Protocol:    wire.ProtocolVersion,
		Member:      n.cfg.Self.ID,
		Incarnation: n.cfg.Incarnation,
		Domain:      n.cfg.Self.Domain,
		Relay:       relay,
		Version:     n.version(),
		Pool:        n.cfg.Self.Pool,
	}
}

func (n *Node) handleHello(l *link, hello *wire.Hello) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.applyHello(l, hello)
}

// applyHello records what the peer says of itself. n.mu is held.
func (n *Node) applyHello(l *link, hello *wire.Hello) {
	l.incarnation = hello.Incarnation
	l.sent.table = max(l.sent.table, hello.Version)
	l.standby = hello.Standby
	l.pool = hello.Pool
}

// version returns the table version in force, 0: none.
func (n *Node) version() uint64 {
	if t := n.cfg.Store.Snapshot().Table; t != nil {
		return t.Version
	}
	return 0
}

// wake puts a value into c unless it holds one.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// lostReason is the label of an ended link.
func lostReason(err error) string {
	switch {
	case err == nil, errors.Is(err, context.Canceled):
		return "closed"
	case errors.Is(err, ErrSilent):
		return "silent"
	case errors.Is(err, ErrSlow):
		return "slow"
	case errors.Is(err, ErrProtocol), errors.Is(err, ErrPacked):
		return "protocol"
	default:
		return "lost"
	}
}
