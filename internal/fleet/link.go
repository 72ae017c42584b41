package fleet

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// Errors of a control stream.
var (
	// ErrUnresponsive marks a control stream on which the peer sent nothing for
	// IdleTimeout.
	ErrUnresponsive = errors.New("peer of the control stream is unresponsive")
	// ErrSlowPeer marks a control stream whose send queue overflowed because
	// the peer does not read fast enough.
	ErrSlowPeer = errors.New("peer of the control stream is too slow")
	// ErrProtocol marks a message type that is not allowed on a control stream
	// of that kind.
	ErrProtocol = errors.New("unexpected message on the control stream")
)

const sendQueueLength = 128 // messages per link

// linkKind is the role of this process and its peer on a control stream.
type linkKind uint8

const (
	// linkToRelay: this process is a member and the peer is its relay.
	linkToRelay linkKind = iota
	// linkToMember: the peer is a member and this process is its relay.
	linkToMember
	// linkToPeer: both are relays of different failure domains; this process
	// dialled.
	linkToPeer
	// linkFromPeer: both are relays of different failure domains; the peer
	// dialled.
	linkFromPeer
)

// link is one control stream.
type link struct {
	kind      linkKind
	stream    transport.Stream
	class     LinkClass
	peer      target.VM // of an accepted peer, only ID, Domain, Region and Addr are set
	sendQueue chan wire.Message
	received  chan struct{} // holds a value after each received message
	cancel    context.CancelCauseFunc

	// The fields below are guarded by Node.mu.
	incarnation      uint64 // of the peer; 0 until its Hello arrives
	standby          bool   // the member requested no digests
	poolFilter       string // pool whose totals the member gets; empty: all pools
	standbyRequested bool   // this process requested no digests from the relay
	peerStale        bool   // the peer cannot read the platform
	confirmedVersion uint64 // table version in force at the member
	hasConfirmed     bool   // the member has sent a report
	sent             sentConfig
	lastReport       reportState
	reportUnpacker   *unpacker            // for the reports of the member
	peerVMs          map[string]target.VM // VM list sent by the peer, by VM ID; used by the reader goroutine only
	sentRevisions    map[fanoutKey]uint64 // latest revision of each fanout sent to the peer
	digestUnpackers  map[domainOrigin]*unpacker
}

// domainOrigin identifies the totals of one origin of a failure domain.
type domainOrigin struct {
	domain string
	origin
}

// fanoutKey identifies the totals of one origin, restricted to one pool or,
// with an empty pool, of all pools.
type fanoutKey struct {
	domainOrigin
	pool string
}

// sentConfig is the configuration that the peer is known to have: what was sent
// to it and the table version that it reported.
type sentConfig struct {
	tableVersion  uint64
	vmsEpoch      uint64
	vms           map[string]target.VM // at vmsEpoch, by VM ID
	suspectsEpoch uint64
	stale         bool
}

// reportState is what the relay of a link has received of this process's
// reports.
type reportState struct {
	packer           *packer
	confirmedVersion uint64
	fullSentAt       time.Time // of the last full report
}

func newLink(kind linkKind, s transport.Stream, class LinkClass, peer target.VM) *link {
	return &link{
		kind:            kind,
		stream:          s,
		class:           class,
		peer:            peer,
		sendQueue:       make(chan wire.Message, sendQueueLength),
		received:        make(chan struct{}, 1),
		cancel:          func(error) {},
		sentRevisions:   make(map[fanoutKey]uint64),
		digestUnpackers: make(map[domainOrigin]*unpacker),
	}
}

// enqueue adds m to the send queue. If the queue is full, it closes the link
// with ErrSlowPeer.
func (l *link) enqueue(m wire.Message) {
	select {
	case l.sendQueue <- m:
	default:
		l.cancel(errors.Wrapf(ErrSlowPeer, "%d messages are queued for %q", sendQueueLength, l.peer.ID))
	}
}

// runLink serves the link until it fails or ctx ends.
func (n *Node) runLink(ctx context.Context, l *link) error {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = l.stream.Close() })
	defer stop()
	g.Go(func() error { return n.writeLink(ctx, l) })
	g.Go(func() error { return n.readLink(ctx, l) })
	g.Go(func() error { return n.pingLink(ctx, l) })
	return g.Wait()
}

func (n *Node) writeLink(ctx context.Context, l *link) error {
	var buf []byte
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case m := <-l.sendQueue:
			if err := l.stream.Send(ctx, m); err != nil {
				return err
			}
			buf = n.metrics.countSent(buf, l.class, m)
		}
	}
}

func (n *Node) readLink(ctx context.Context, l *link) error {
	for {
		m, err := l.stream.Recv(ctx)
		if err != nil {
			return err
		}
		select {
		case l.received <- struct{}{}:
		default:
		}
		if err := n.handleMessage(l, m); err != nil {
			return err
		}
	}
}

// pingLink sends a ping when the peer has sent nothing for PingAfter. It
// returns an error that wraps ErrUnresponsive when the peer has sent nothing
// for IdleTimeout.
func (n *Node) pingLink(ctx context.Context, l *link) error {
	idleTimer := time.NewTimer(n.timings.IdleTimeout)
	defer idleTimer.Stop()
	pingTimer := time.NewTimer(n.timings.PingAfter)
	defer pingTimer.Stop()
	for number := uint64(1); ; {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-l.received:
			idleTimer.Reset(n.timings.IdleTimeout)
			pingTimer.Reset(n.timings.PingAfter)
		case <-pingTimer.C:
			l.enqueue(&wire.Ping{Number: number})
			number++
			pingTimer.Reset(n.timings.PingAfter)
		case <-idleTimer.C:
			return errors.Wrapf(ErrUnresponsive, "%q sent nothing for %s", l.peer.ID, n.timings.IdleTimeout)
		}
	}
}

// handleMessage handles one received message. It returns an error that wraps
// ErrProtocol for a message that is not allowed on l.
func (n *Node) handleMessage(l *link, m wire.Message) error {
	switch m := m.(type) {
	case *wire.Ping:
		l.enqueue(&wire.Pong{Number: m.Number})
		return nil
	case *wire.Pong:
		return nil
	case *wire.Hello:
		n.handleHello(l, m)
		return nil
	case *wire.Config:
		n.handleConfig(l, m)
		return nil
	case *wire.Digest:
		if l.kind != linkToMember {
			return n.handleDigest(l, m)
		}
	case *wire.Report:
		if l.kind == linkToMember {
			return n.handleReport(l, m)
		}
	}
	return errors.Wrapf(ErrProtocol, "message of type %d from %q", m.Type(), l.peer.ID)
}
