package transport

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"github.com/mastichollow/mastichollow/internal/wire"
)

const streamAbandoned quic.StreamErrorCode = 1

// maxKeptBuffer is the largest send buffer that a stream keeps, in bytes.
const maxKeptBuffer = 16 << 10

// past is a deadline that has gone by.
var past = time.Unix(1, 0)

// quicStream is a Stream over a stream of a QUIC connection.
type quicStream struct {
	stream  *quic.Stream
	reader  *wire.Reader
	link    string
	metrics *metrics

	sendMu  sync.Mutex
	buf     []byte
	ended   atomic.Bool // CloseSend was called
	broken  atomic.Bool
	closing sync.Once
}

func newQUICStream(s *quic.Stream, link string, m *metrics) *quicStream {
	return &quicStream{stream: s, reader: wire.NewReader(s), link: link, metrics: m}
}

// Send implements Stream. A Send that was interrupted by its context leaves
// the stream unusable, since part of a frame may have gone out.
func (s *quicStream) Send(ctx context.Context, m wire.Message) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	if s.broken.Load() || s.ended.Load() {
		return errors.Wrapf(ErrLost, "sending message of type %d", m.Type())
	}
	frame, err := wire.Append(s.buf[:0], m)
	if err != nil {
		return err
	}
	if cap(frame) <= maxKeptBuffer {
		s.buf = frame
	}
	stop := context.AfterFunc(ctx, func() { _ = s.stream.SetWriteDeadline(past) })
	defer stop()
	if _, err := s.stream.Write(frame); err != nil {
		s.broken.Store(true)
		s.abandon()
		return translate(ctx, err, "sending")
	}
	s.metrics.sent.WithLabelValues(s.link, kindOf(m.Type())).Add(float64(len(frame)))
	return nil
}

// Recv implements Stream. A Recv that was interrupted by its context loses
// nothing.
func (s *quicStream) Recv(ctx context.Context) (wire.Message, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = s.stream.SetReadDeadline(past)
		close(interrupted)
	})
	m, n, err := s.reader.Next()
	if !stop() {
		<-interrupted
		_ = s.stream.SetReadDeadline(time.Time{})
	}
	if err != nil {
		return nil, translate(ctx, err, "receiving")
	}
	s.metrics.received.WithLabelValues(s.link, kindOf(m.Type())).Add(float64(n))
	return m, nil
}

// CloseSend implements Stream.
func (s *quicStream) CloseSend() error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if s.ended.Load() || s.broken.Load() {
		return nil
	}
	s.ended.Store(true)
	return errors.Mark(s.stream.Close(), ErrLost)
}

// Close implements Stream. What was sent before CloseSend still arrives.
func (s *quicStream) Close() error {
	s.broken.Store(true)
	s.abandon()
	return nil
}

// abandon cancels what has not been ended in either direction.
func (s *quicStream) abandon() {
	s.closing.Do(func() {
		s.stream.CancelRead(streamAbandoned)
		if !s.ended.Load() {
			s.stream.CancelWrite(streamAbandoned)
		}
	})
}

// finish ends the sending side and waits, for linger at most, until the peer
// has ended its side too, so that the last messages have arrived.
func (s *quicStream) finish(linger time.Duration) {
	_ = s.CloseSend()
	_ = s.stream.SetReadDeadline(time.Now().Add(linger))
	_, _ = io.Copy(io.Discard, s.stream)
	_ = s.Close()
}

// translate turns an error of QUIC or of the codec into one of this package.
func translate(ctx context.Context, err error, doing string) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(err, io.EOF):
		return io.EOF
	default:
		return errors.Mark(errors.Wrap(err, doing), ErrLost)
	}
}
