package transport

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/wire"
)

const pipeDepth = 64 // messages in flight in one direction

// Pipe returns the two ends of an in-memory stream. It needs no clock and
// keeps messages in order; tests wrap its ends to lose or delay them.
func Pipe() (a, b Stream) {
	ab := make(chan wire.Message, pipeDepth)
	ba := make(chan wire.Message, pipeDepth)
	shared := &pipeState{lost: make(chan struct{})}
	one := &pipeEnd{in: ba, out: ab, state: shared}
	two := &pipeEnd{in: ab, out: ba, state: shared}
	return one, two
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
	// Messages that have arrived are delivered before the loss is reported.
	select {
	case m, ok := <-p.in:
		return received(m, ok)
	default:
	}
	select {
	case m, ok := <-p.in:
		return received(m, ok)
	case <-p.state.lost:
		// A message may have arrived just before.
		select {
		case m, ok := <-p.in:
			return received(m, ok)
		default:
			return nil, errors.Wrap(ErrLost, "receiving")
		}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func received(m wire.Message, ok bool) (wire.Message, error) {
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
