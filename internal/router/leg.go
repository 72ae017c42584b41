package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/placement"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// withdrawTimeout bounds the attempt to tell an agent that its offer is taken
// back. The stream's end tells it as well.
const withdrawTimeout = time.Second

// leg is one stream of a request to one agent: an offer, or the resumption of
// an attempt.
type leg struct {
	attempt request.AttemptID
	agent   target.VM
	link    placement.LinkClass
	home    bool
	first   wire.Message
	opened  time.Time // when the stream was asked for

	// stream is set before the event that tells of its opening.
	stream transport.Stream
	sendMu sync.Mutex // serialises sending on stream
	ended  bool       // no more is sent; guarded by sendMu
	cancel context.CancelFunc
	// quiet keeps the agent from being told when the leg is given up.
	quiet     atomic.Bool
	withdrawn atomic.Bool
	// parting, if any, is sent before the stream closes.
	parting atomic.Pointer[wire.Message]

	// Fields of the request's goroutine.
	round  int
	isOpen bool
	closed bool // its attempt is settled; later events mean nothing
}

// send sends m to the agent.
func (l *leg) send(ctx context.Context, m wire.Message) error {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	if l.ended {
		return errors.Wrapf(transport.ErrLost, "sending message of type %d", m.Type())
	}
	return l.stream.Send(ctx, m)
}

// withdraw takes the leg's attempt back, once.
func (l *leg) withdraw() {
	if !l.withdrawn.CompareAndSwap(false, true) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	_ = l.send(ctx, &wire.Withdraw{Attempt: l.attempt})
}

// endSending ends the sending side: the agent learns that the router has all it
// needs, and what was sent still arrives after the stream is closed.
func (l *leg) endSending() {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	l.ended = true
	_ = l.stream.CloseSend()
}

// part sends the parting message.
func (l *leg) part() {
	m := l.parting.Load()
	if m == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	_ = l.send(ctx, *m)
}

// abandon closes the stream and leaves the attempt as it is.
func (l *leg) abandon() {
	l.quiet.Store(true)
	l.cancel()
}

// event is what a leg's goroutine tells the request's goroutine: the stream is
// open (no message, no error), a message, or the end of the stream.
type event struct {
	leg *leg
	msg wire.Message
	err error
}

// legs opens the streams of one request.
type legs struct {
	opener  transport.Opener
	timeout time.Duration // to open a stream and send its first message
	events  chan event
}

// start opens a stream for l. It ends with ctx or l.cancel.
func (s *legs) start(ctx context.Context, l *leg) {
	ctx, l.cancel = context.WithCancel(ctx)
	l.opened = time.Now()
	go s.serve(ctx, l)
}

// serve is the duty of a leg's goroutine.
func (s *legs) serve(ctx context.Context, l *leg) {
	defer l.cancel()
	if err := s.open(ctx, l); err != nil {
		s.tell(ctx, event{leg: l, err: err})
		return
	}
	defer func() { _ = l.stream.Close() }()
	over := false
	if s.tell(ctx, event{leg: l}) {
		over = s.receive(ctx, l)
	}
	if l.quiet.Load() {
		return
	}
	if !over {
		l.withdraw()
	}
	l.part()
	l.endSending()
}

// receive hands on what arrives until the stream ends or the leg is given up.
// It reports whether the agent has ended the attempt.
func (s *legs) receive(ctx context.Context, l *leg) bool {
	over := false
	for {
		m, err := l.stream.Recv(ctx)
		over = over || endsAttempt(m)
		if !s.tell(ctx, event{leg: l, msg: m, err: err}) {
			return over
		}
		if err != nil {
			return true
		}
	}
}

// endsAttempt reports whether no message follows m.
func endsAttempt(m wire.Message) bool {
	switch m.(type) {
	case *wire.Refuse, *wire.Fail, *wire.End:
		return true
	default:
		return false
	}
}

// open opens the stream and sends its first message.
func (s *legs) open(ctx context.Context, l *leg) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	stream, err := s.opener.Open(ctx, l.agent.Addr)
	if err != nil {
		return errors.Mark(err, transport.ErrUnreachable)
	}
	if err := stream.Send(ctx, l.first); err != nil {
		_ = stream.Close()
		return errors.Mark(err, transport.ErrLost)
	}
	l.stream = stream
	return nil
}

// tell hands e to the request's goroutine and reports whether it may go on.
func (s *legs) tell(ctx context.Context, e event) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case s.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}
