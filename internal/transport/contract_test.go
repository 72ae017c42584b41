package transport

import (
	"context"
	"io"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/standin/standintest"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// streamPair returns the two ends of a stream. On it, a has sent Ping 0 and b has received
// it.
type streamPair func(t *testing.T) (a, b Stream)

func newPipePair(t *testing.T) (Stream, Stream) {
	a, b := Pipe()
	require.NoError(t, a.Send(t.Context(), &wire.Ping{}))
	_, err := b.Recv(t.Context())
	require.NoError(t, err)
	return a, b
}

func newQUICPair(t *testing.T) (Stream, Stream) {
	server, client := newTestPair(t, "client")
	accepted := make(chan Stream)
	release := make(chan struct{})
	serve(t, server, HandlerFunc(func(_ context.Context, _ Peer, _ wire.Message, s Stream) {
		accepted <- s
		<-release
	}))
	t.Cleanup(func() { close(release) })
	a, err := client.Open(t.Context(), server.Addr())
	require.NoError(t, err)
	require.NoError(t, a.Send(t.Context(), &wire.Ping{}))
	return a, <-accepted
}

// TestStreamContract checks that each implementation fulfils the contract of Stream.
func TestStreamContract(t *testing.T) {
	cases := []struct {
		name string
		do   func(t *testing.T, a, b Stream)
	}{
		{"messages arrive in order, then EOF", func(t *testing.T, a, b Stream) {
			for n := uint64(1); n <= 50; n++ {
				require.NoError(t, a.Send(t.Context(), &wire.Ping{Number: n}))
			}
			require.NoError(t, a.CloseSend())
			for n := uint64(1); n <= 50; n++ {
				m, err := b.Recv(t.Context())
				require.NoError(t, err)
				require.Equal(t, &wire.Ping{Number: n}, m)
			}
			_, err := b.Recv(t.Context())
			require.ErrorIs(t, err, io.EOF)
		}},
		{"a half-closed stream still delivers in the other direction", func(t *testing.T, a, b Stream) {
			require.NoError(t, a.CloseSend())
			require.NoError(t, b.Send(t.Context(), &wire.Pong{Number: 7}))
			m, err := a.Recv(t.Context())
			require.NoError(t, err)
			require.Equal(t, &wire.Pong{Number: 7}, m)
		}},
		{"messages sent before CloseSend arrive after Close", func(t *testing.T, a, b Stream) {
			chunk := &wire.Chunk{Attempt: "a", Data: make([]byte, 20<<10)}
			require.NoError(t, a.Send(t.Context(), chunk))
			require.NoError(t, a.CloseSend())
			require.NoError(t, a.Close())
			m, err := b.Recv(t.Context())
			require.NoError(t, err)
			require.Equal(t, chunk, m)
		}},
		{"Close causes ErrLost at the other end", func(t *testing.T, a, b Stream) {
			require.NoError(t, a.Close())
			_, err := b.Recv(t.Context())
			requireMark(t, err, ErrLost)
		}},
		{"Send after Close returns ErrLost", func(t *testing.T, a, _ Stream) {
			require.NoError(t, a.Close())
			requireMark(t, a.Send(t.Context(), &wire.Ping{}), ErrLost)
		}},
		{"an interrupted Recv loses no message", func(t *testing.T, a, b Stream) {
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error)
			go func() {
				_, err := b.Recv(ctx)
				done <- err
			}()
			cancel()
			require.ErrorIs(t, <-done, context.Canceled)
			require.NoError(t, a.Send(t.Context(), &wire.Ping{Number: 3}))
			m, err := b.Recv(t.Context())
			require.NoError(t, err)
			require.Equal(t, &wire.Ping{Number: 3}, m)
		}},
	}
	for name, pair := range map[string]streamPair{"pipe": newPipePair, "quic": newQUICPair} {
		for _, c := range cases {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				a, b := pair(t)
				c.do(t, a, b)
			})
		}
	}
}

func TestPeerWithoutFleetKeyRefused(t *testing.T) {
	server := newTestEndpoint(t, "server", NewKey())
	stranger := newTestEndpoint(t, "stranger", NewKey())
	serve(t, server, HandlerFunc(func(context.Context, Peer, wire.Message, Stream) {
		t.Error("served a stream of a peer without the key")
	}))
	s, err := stranger.Open(t.Context(), server.Addr())
	if err == nil { // the client may complete its side of the handshake before it is refused
		_ = s.Send(t.Context(), &wire.Ping{})
		_, err = s.Recv(t.Context())
	}
	require.Error(t, err)
	require.Equal(t, 1.0, testutil.ToFloat64(stranger.metrics.peersRefused)+testutil.ToFloat64(server.metrics.peersRefused))
}

func TestKeyRotation(t *testing.T) {
	older, newer := NewKey(), NewKey()
	server := newTestEndpoint(t, "server", newer+","+older)
	client := newTestEndpoint(t, "client", older+","+newer)
	serve(t, server, echoHandler)
	s, err := client.Open(t.Context(), server.Addr())
	require.NoError(t, err)
	require.NoError(t, s.Send(t.Context(), &wire.Ping{Number: 1}))
	m, err := s.Recv(t.Context())
	require.NoError(t, err)
	require.Equal(t, &wire.Ping{Number: 1}, m)
}

func TestParseKeysRejectsInvalidKeys(t *testing.T) {
	for _, invalid := range []string{"", "%%%", "c2hvcnQ=", NewKey() + ",c2hvcnQ="} {
		_, err := ParseKeys(invalid)
		require.Error(t, err, "key %q", invalid)
	}
}

// TestNewConnectionWhileOldOneIsUnresponsive blackholes the network path of an open
// connection permanently, while the peer still accepts new connections.
func TestNewConnectionWhileOldOneIsUnresponsive(t *testing.T) {
	server, client := newTestPair(t, "client")
	serve(t, server, echoHandler)
	forwarder := standintest.Forward(t, server.Addr())
	first, err := client.Open(t.Context(), forwarder.Addr())
	require.NoError(t, err)
	require.NoError(t, first.Send(t.Context(), &wire.Ping{Number: 1}))
	_, err = first.Recv(t.Context())
	require.NoError(t, err)

	forwarder.BlackholeFlows()
	require.NoError(t, first.Send(t.Context(), &wire.Ping{Number: 2}), "Send on an unresponsive connection")
	client.Forget(forwarder.Addr())
	_, err = first.Recv(t.Context())
	requireMark(t, err, ErrLost)

	second, err := client.Open(t.Context(), forwarder.Addr())
	require.NoError(t, err)
	require.NoError(t, second.Send(t.Context(), &wire.Ping{Number: 3}))
	m, err := second.Recv(t.Context())
	require.NoError(t, err)
	require.Equal(t, &wire.Ping{Number: 3}, m)
}

func TestPeerIdentityFromCertificate(t *testing.T) {
	server, client := newTestPair(t, "client-7")
	peers := make(chan Peer, 1)
	serve(t, server, HandlerFunc(func(_ context.Context, p Peer, _ wire.Message, _ Stream) { peers <- p }))
	s, err := client.Open(t.Context(), server.Addr())
	require.NoError(t, err)
	require.NoError(t, s.Send(t.Context(), &wire.Ping{}))
	p := <-peers
	require.Equal(t, Peer{Member: "client-7", Domain: "d1", Region: "r1", Addr: p.Addr}, p)
}

func TestByteMetricsByLinkAndKind(t *testing.T) {
	server, client := newTestPair(t, "client")
	serve(t, server, echoHandler)
	s, err := client.Open(t.Context(), server.Addr())
	require.NoError(t, err)
	ping := &wire.Ping{Number: 1}
	require.NoError(t, s.Send(t.Context(), ping))
	_, err = s.Recv(t.Context())
	require.NoError(t, err)
	frame, err := wire.Append(nil, ping)
	require.NoError(t, err)
	want := float64(len(frame))
	require.Equal(t, want, testutil.ToFloat64(client.metrics.sentBytes.WithLabelValues(linkDomain, kindControl)))
	require.Equal(t, want, testutil.ToFloat64(client.metrics.receivedBytes.WithLabelValues(linkDomain, kindControl)))
	reg := prometheus.NewPedanticRegistry()
	require.NoError(t, reg.Register(packetCollector{client.metrics}))
	families, err := reg.Gather()
	require.NoError(t, err)
	require.Greater(t, families[0].GetMetric()[0].GetCounter().GetValue(), want)
}
