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
	// ErrSilent marks a control stream whose peer sent nothing for too long.
	ErrSilent = errors.New("peer of the control stream is silent")
	// ErrSlow marks a control stream whose peer does not take its messages.
	ErrSlow = errors.New("peer of the control stream is too slow")
	// ErrProtocol marks a message that does not belong on the stream.
	ErrProtocol = errors.New("unexpected message on the control stream")
)

const linkDepth = 128 // messages that wait to be sent on one link

// linkKind tells what the two ends of a control stream are to each other.
type linkKind uint8

const (
	// toRelay: this process is a member, the peer its relay.
	toRelay linkKind = iota
	// toMember: the peer is a member, this process its relay.
	toMember
	// toPeer: both are relays, of different domains, and this process dialled.
	toPeer
	// fromPeer: both are relays, of different domains, and the peer dialled.
	fromPeer
)

// link is one control stream. The fields below the line are guarded by the
// node's mutex.
type link struct {
	kind   linkKind
	stream transport.Stream
	class  LinkClass
	peer   target.VM // only ID, Domain and Region of an accepted peer are known
	out    chan wire.Message
	heard  chan struct{} // holds a value after each received message
	cancel context.CancelCauseFunc

	// ----
	incarnation  uint64 // of the peer; 0 until its Hello
	standby      bool   // no digests are sent to the member
	pool         string // the member gets the sums of this pool only; empty: all
	quiet        bool   // the relay was asked to send no digests
	stale        bool   // the peer cannot read the platform
	confirmed    uint64 // table version in force at the member
	hasConfirmed bool
	sent         sentConfig
	reported     reportState
	reports      *unpacker            // of the member's reports
	vms          map[string]target.VM // list that the peer sent
	joined       map[fanKey]uint64    // step of the fan that the peer has
	unpackers    map[originKey]*unpacker
}

// originKey names the sums of one origin of a failure domain.
type originKey struct {
	domain string
	origin
}

// fanKey names the sums of one origin as some links get them: those of one
// pool, or all.
type fanKey struct {
	originKey
	pool string
}

// sentConfig is what the peer knows of the configuration.
type sentConfig struct {
	table    uint64
	vms      uint64
	list     map[string]target.VM
	suspects uint64
	stale    bool
}

// reportState is what the relay knows of this member.
type reportState struct {
	packer    *packer
	confirmed uint64
	full      time.Time // of the last full report
}

func newLink(kind linkKind, s transport.Stream, class LinkClass, peer target.VM) *link {
	return &link{
		kind:      kind,
		stream:    s,
		class:     class,
		peer:      peer,
		out:       make(chan wire.Message, linkDepth),
		heard:     make(chan struct{}, 1),
		cancel:    func(error) {},
		joined:    make(map[fanKey]uint64),
		unpackers: make(map[originKey]*unpacker),
	}
}

// send queues m. A peer that does not keep up loses the link.
func (l *link) send(m wire.Message) {
	select {
	case l.out <- m:
	default:
		l.cancel(errors.Wrapf(ErrSlow, "%d messages wait for %q", linkDepth, l.peer.ID))
	}
}

// run serves the link until it fails or ctx ends.
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
		case m := <-l.out:
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
		case l.heard <- struct{}{}:
		default:
		}
		if err := n.handle(l, m); err != nil {
			return err
		}
	}
}

// pingLink asks for a sign of life when the peer sends nothing, and fails when
// none comes.
func (n *Node) pingLink(ctx context.Context, l *link) error {
	silent := time.NewTimer(n.periods.Silent)
	defer silent.Stop()
	ping := time.NewTimer(n.periods.Ping)
	defer ping.Stop()
	for number := uint64(1); ; {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-l.heard:
			silent.Reset(n.periods.Silent)
			ping.Reset(n.periods.Ping)
		case <-ping.C:
			l.send(&wire.Ping{Number: number})
			number++
			ping.Reset(n.periods.Ping)
		case <-silent.C:
			return errors.Wrapf(ErrSilent, "%q sent nothing for %s", l.peer.ID, n.periods.Silent)
		}
	}
}

// handle handles one message.
func (n *Node) handle(l *link, m wire.Message) error {
	switch m := m.(type) {
	case *wire.Ping:
		l.send(&wire.Pong{Number: m.Number})
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
		if l.kind != toMember {
			return n.handleDigest(l, m)
		}
	case *wire.Report:
		if l.kind == toMember {
			return n.handleReport(l, m)
		}
	}
	return errors.Wrapf(ErrProtocol, "message of type %d from %q", m.Type(), l.peer.ID)
}
