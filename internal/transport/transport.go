// Package transport carries messages between the system's processes over QUIC: one
// connection per pair of processes, one stream per request or control session.
//
// Each side pings its connections. When a peer stops responding, the streams of its
// connection fail with ErrLost. What was sent on a lost stream may or may not have
// arrived.
package transport

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/wire"
)

// Errors of the transport.
var (
	// ErrUnreachable marks a failure to open a stream: nothing was sent.
	ErrUnreachable = errors.New("peer is unreachable")
	// ErrLost marks the loss of an open stream: messages sent on it may or
	// may not have arrived.
	ErrLost = errors.New("stream was lost")
	// ErrPeerRefused marks a handshake with a peer that does not have the fleet's
	// key.
	ErrPeerRefused = errors.New("peer does not hold the fleet's key")
)

// Stream is a bidirectional stream of messages. Send and Recv may be called
// concurrently with each other, but each by one goroutine at a time.
type Stream interface {
	// Send sends m. After an error marked ErrLost, m may or may not have arrived.
	Send(ctx context.Context, m wire.Message) error
	// Recv returns the next message, io.EOF after the peer's CloseSend, or an
	// error marked ErrLost.
	Recv(ctx context.Context) (wire.Message, error)
	// CloseSend ends the sending side. Messages sent before it still arrive.
	CloseSend() error
	// Close abandons the stream in both directions.
	Close() error
}

// Peer identifies the other end of a stream by its certificate.
type Peer struct {
	Member string // VM ID
	Domain string
	Region string
	Addr   string // IP:port
}

// Opener opens streams to other processes by address (IP:port).
type Opener interface {
	// Open opens a stream. An error is marked ErrUnreachable.
	Open(ctx context.Context, addr string) (Stream, error)
	// Forget closes the connection to addr, so that the next Open dials a new
	// one. Streams of the old one fail with ErrLost.
	Forget(addr string)
}

// Handler serves an accepted stream whose first message has been read. The
// stream is closed when it returns.
type Handler interface {
	ServeStream(ctx context.Context, peer Peer, first wire.Message, s Stream)
}

// HandlerFunc is a function that serves accepted streams.
type HandlerFunc func(ctx context.Context, peer Peer, first wire.Message, s Stream)

// ServeStream implements Handler.
func (f HandlerFunc) ServeStream(ctx context.Context, peer Peer, first wire.Message, s Stream) {
	f(ctx, peer, first, s)
}

// Mux passes a stream to Control if its first message is a control message and to
// Request otherwise. With a nil handler the stream is closed.
type Mux struct {
	Request Handler
	Control Handler
}

// ServeStream implements Handler.
func (m Mux) ServeStream(ctx context.Context, peer Peer, first wire.Message, s Stream) {
	h := m.Request
	if first.Type() >= wire.TypeHello {
		h = m.Control
	}
	if h != nil {
		h.ServeStream(ctx, peer, first, s)
	}
}
