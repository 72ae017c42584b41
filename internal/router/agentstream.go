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

// withdrawTimeout bounds the attempt to send a Withdraw or final message. The end of
// the stream tells the agent that its offer is withdrawn as well.
const withdrawTimeout = time.Second

// agentStream is one stream of a request to one agent. It carries an offer and the
// attempt that follows from a grant, or the resumption of an attempt.
type agentStream struct {
	attempt      request.AttemptID
	agent        target.VM
	link         placement.LinkClass
	isHome       bool
	firstMessage wire.Message
	openStarted  time.Time // when opening began

	// transportStream is set before the event that announces that the stream is open.
	transportStream transport.Stream
	sendMu          sync.Mutex // serialises sends on transportStream
	sendEnded       bool       // no more messages are sent; guarded by sendMu
	cancel          context.CancelFunc
	// abandoned keeps the attempt from being withdrawn when the stream closes.
	abandoned atomic.Bool
	withdrawn atomic.Bool
	// finalMessage, if set, is sent before the stream closes.
	finalMessage atomic.Pointer[wire.Message]

	// The fields below are used only by the request's goroutine.
	round   int
	isOpen  bool
	settled bool // no grant can follow; later events are ignored
}

// send sends m to the agent. It fails after endSending.
func (s *agentStream) send(ctx context.Context, m wire.Message) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if s.sendEnded {
		return errors.Wrapf(transport.ErrLost, "sending message of type %d", m.Type())
	}
	return s.transportStream.Send(ctx, m)
}

// withdraw sends a Withdraw for the attempt, at most once.
func (s *agentStream) withdraw() {
	if !s.withdrawn.CompareAndSwap(false, true) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	_ = s.send(ctx, &wire.Withdraw{Attempt: s.attempt})
}

// endSending closes the sending side. Messages sent before still reach the agent after
// the stream is closed.
func (s *agentStream) endSending() {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	s.sendEnded = true
	_ = s.transportStream.CloseSend()
}

// sendFinalMessage sends finalMessage, if there is one.
func (s *agentStream) sendFinalMessage() {
	m := s.finalMessage.Load()
	if m == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	_ = s.send(ctx, *m)
}

// abandon closes the stream and sends no Withdraw, so that the attempt
// continues.
func (s *agentStream) abandon() {
	s.abandoned.Store(true)
	s.cancel()
}

// event is what a stream's goroutine delivers to the request's goroutine: the stream
// is open (no msg and no err), a message, or the error that ended the stream.
type event struct {
	stream *agentStream
	msg    wire.Message
	err    error
}

// agentStreams opens the streams of one request and delivers their events.
type agentStreams struct {
	opener      transport.Opener
	openTimeout time.Duration // to open a stream and send its first message
	events      chan event
}

// start opens stream in a new goroutine. The stream ends with ctx or stream.cancel.
func (a *agentStreams) start(ctx context.Context, stream *agentStream) {
	ctx, stream.cancel = context.WithCancel(ctx)
	stream.openStarted = time.Now()
	go a.serve(ctx, stream)
}

// serve opens a stream, delivers its events and closes it. Unless the stream was
// abandoned or the agent has ended the attempt, it withdraws the attempt first.
func (a *agentStreams) serve(ctx context.Context, stream *agentStream) {
	defer stream.cancel()
	if err := a.open(ctx, stream); err != nil {
		a.deliver(ctx, event{stream: stream, err: err})
		return
	}
	defer func() { _ = stream.transportStream.Close() }()
	attemptEnded := false
	if a.deliver(ctx, event{stream: stream}) {
		attemptEnded = a.receive(ctx, stream)
	}
	if stream.abandoned.Load() {
		return
	}
	if !attemptEnded {
		stream.withdraw()
	}
	stream.sendFinalMessage()
	stream.endSending()
}

// receive delivers messages until the stream or its context ends. It reports whether
// the attempt needs no Withdraw: the agent has ended it, or the stream has failed.
func (a *agentStreams) receive(ctx context.Context, stream *agentStream) bool {
	attemptEnded := false
	for {
		m, err := stream.transportStream.Recv(ctx)
		attemptEnded = attemptEnded || endsAttempt(m)
		if !a.deliver(ctx, event{stream: stream, msg: m, err: err}) {
			return attemptEnded
		}
		if err != nil {
			return true
		}
	}
}

// endsAttempt reports whether m is the last message of an attempt.
func endsAttempt(m wire.Message) bool {
	switch m.(type) {
	case *wire.Refuse, *wire.Fail, *wire.End:
		return true
	default:
		return false
	}
}

// open opens the transport stream and sends the first message.
func (a *agentStreams) open(ctx context.Context, stream *agentStream) error {
	ctx, cancel := context.WithTimeout(ctx, a.openTimeout)
	defer cancel()
	transportStream, err := a.opener.Open(ctx, stream.agent.Addr)
	if err != nil {
		return errors.Mark(err, transport.ErrUnreachable)
	}
	if err := transportStream.Send(ctx, stream.firstMessage); err != nil {
		_ = transportStream.Close()
		return errors.Mark(err, transport.ErrLost)
	}
	stream.transportStream = transportStream
	return nil
}

// deliver passes e to the request's goroutine. It reports false if ctx has ended.
func (a *agentStreams) deliver(ctx context.Context, e event) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case a.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}
