package transport

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/wire"
)

const pipeCapacity = 64 // messages in flight per direction

// Pipe returns the two ends of an in-memory stream, which delivers messages in order and
// does not depend on time. Tests wrap its ends to lose or delay messages.
func Pipe() (a, b Stream) {
	toB := make(chan wire.Message, pipeCapacity)
	toA := make(chan wire.Message, pipeCapacity)
	shared := &pipeState{lost: make(chan struct{})}
	endA := &pipeEnd{in: toA, out: toB, state: shared}
	endB := &pipeEnd{in: toB, out: toA, state: shared}
	return endA, endB
}

type pipeState struct {
	once sync.Once
	lost chan struct{} // closed once either end calls Close
}

type pipeEnd struct {
	in       <-chan wire.Message
	out      chan<- wire.Message
	state    *pipeState
	sendOnce sync.Once
}

func (p *pipeEnd) Send(ctx context.Context, m wire.Message) error {
	select {
	case <-p.state.lost:
		return errors.Wrapf(ErrLost, "sending message of type %d", m.Type())
	default:
	}
	select {
	case p.out <- m:
		return nil
	case <-p.state.lost:
		return errors.Wrapf(ErrLost, "sending message of type %d", m.Type())
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *pipeEnd) Recv(ctx context.Context) (wire.Message, error) {
	// Messages that have already arrived are returned before ErrLost.
	select {
	case m, ok := <-p.in:
		return messageOrEOF(m, ok)
	default:
	}
	select {
	case m, ok := <-p.in:
		return messageOrEOF(m, ok)
	case <-p.state.lost:
		// A message may have arrived before the stream was lost.
		select {
		case m, ok := <-p.in:
			return messageOrEOF(m, ok)
		default:
			return nil, errors.Wrap(ErrLost, "receiving")
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func messageOrEOF(m wire.Message, ok bool) (wire.Message, error) {
	if !ok {
		return nil, io.EOF
	}
	return m, nil
}

func (p *pipeEnd) CloseSend() error {
	p.sendOnce.Do(func() { close(p.out) })
	return nil
}

func (p *pipeEnd) Close() error {
	p.state.once.Do(func() { close(p.state.lost) })
	return nil
}
