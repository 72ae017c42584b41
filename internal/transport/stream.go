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

const streamCancelled quic.StreamErrorCode = 1

// maxReusedBufferBytes is the largest send buffer that a stream retains for reuse.
const maxReusedBufferBytes = 16 << 10

// expiredDeadline is a deadline in the past, which interrupts a blocked read or write.
var expiredDeadline = time.Unix(1, 0)

// quicStream is a Stream over a QUIC stream.
type quicStream struct {
	stream  *quic.Stream
	reader  *wire.Reader
	link    string
	metrics *metrics

	sendMu     sync.Mutex
	buf        []byte
	sendClosed atomic.Bool // CloseSend was called
	unusable   atomic.Bool
	cancelOnce sync.Once
}

func newQUICStream(s *quic.Stream, link string, m *metrics) *quicStream {
	return &quicStream{stream: s, reader: wire.NewReader(s), link: link, metrics: m}
}

// Send implements Stream. A Send that is interrupted by its context makes the stream
// unusable, since part of a frame may have been sent.
func (s *quicStream) Send(ctx context.Context, m wire.Message) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if err := ctx.Err(); err != nil {
		return err
	}
	if s.unusable.Load() || s.sendClosed.Load() {
		return errors.Wrapf(ErrLost, "sending message of type %d", m.Type())
	}
	frame, err := wire.Append(s.buf[:0], m)
	if err != nil {
		return err
	}
	if cap(frame) <= maxReusedBufferBytes {
		s.buf = frame
	}
	stop := context.AfterFunc(ctx, func() { _ = s.stream.SetWriteDeadline(expiredDeadline) })
	defer stop()
	if _, err := s.stream.Write(frame); err != nil {
		s.unusable.Store(true)
		s.cancel()
		return streamError(ctx, err, "sending")
	}
	s.metrics.sentBytes.WithLabelValues(s.link, messageKind(m.Type())).Add(float64(len(frame)))
	return nil
}

// Recv implements Stream. After a Recv that was interrupted by its context, the next one
// continues without loss.
func (s *quicStream) Recv(ctx context.Context) (wire.Message, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = s.stream.SetReadDeadline(expiredDeadline)
		close(interrupted)
	})
	m, n, err := s.reader.Next()
	if !stop() {
		<-interrupted
		_ = s.stream.SetReadDeadline(time.Time{})
	}
	if err != nil {
		return nil, streamError(ctx, err, "receiving")
	}
	s.metrics.receivedBytes.WithLabelValues(s.link, messageKind(m.Type())).Add(float64(n))
	return m, nil
}

// CloseSend implements Stream.
func (s *quicStream) CloseSend() error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if s.sendClosed.Load() || s.unusable.Load() {
		return nil
	}
	s.sendClosed.Store(true)
	return errors.Mark(s.stream.Close(), ErrLost)
}

// Close implements Stream. Messages sent before CloseSend still arrive.
func (s *quicStream) Close() error {
	s.unusable.Store(true)
	s.cancel()
	return nil
}

// cancel cancels reading, and writing unless CloseSend was called.
func (s *quicStream) cancel() {
	s.cancelOnce.Do(func() {
		s.stream.CancelRead(streamCancelled)
		if !s.sendClosed.Load() {
			s.stream.CancelWrite(streamCancelled)
		}
	})
}

// closeGracefully ends the sending side and waits up to linger until the peer has ended
// its side too, which shows that the last messages have arrived.
func (s *quicStream) closeGracefully(linger time.Duration) {
	_ = s.CloseSend()
	_ = s.stream.SetReadDeadline(time.Now().Add(linger))
	_, _ = io.Copy(io.Discard, s.stream)
	_ = s.Close()
}

// streamError converts an error of QUIC or of the codec to one of this package.
func streamError(ctx context.Context, err error, operation string) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(err, io.EOF):
		return io.EOF
	default:
		return errors.Mark(errors.Wrap(err, operation), ErrLost)
	}
}
