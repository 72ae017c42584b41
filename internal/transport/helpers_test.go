package transport

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/wire"
)

// requireMark checks that err is marked with mark, which errors.Is of the standard library
// does not see.
func requireMark(t testing.TB, err, mark error) {
	t.Helper()
	require.Truef(t, errors.Is(err, mark), "%v is not marked %q", err, mark)
}

func newTestEndpoint(t testing.TB, member, keys string) *Endpoint {
	t.Helper()
	parsed, err := ParseKeys(keys)
	require.NoError(t, err)
	e, err := NewEndpoint(EndpointConfig{
		Addr: "127.0.0.1:0",
		Keys: parsed,
		Self: Peer{Member: member, Domain: "d1", Region: "r1"},
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// newTestPair returns a server and a client endpoint with the same key.
func newTestPair(t testing.TB, client string) (*Endpoint, *Endpoint) {
	t.Helper()
	key := NewKey()
	return newTestEndpoint(t, "server", key), newTestEndpoint(t, client, key)
}

// serve runs e with the handler h until the test ends.
func serve(t testing.TB, e *Endpoint, h Handler) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = e.Run(ctx, h) }()
}

// echoHandler sends each message back.
var echoHandler = HandlerFunc(func(ctx context.Context, _ Peer, m wire.Message, s Stream) {
	for {
		if err := s.Send(ctx, m); err != nil {
			return
		}
		var err error
		if m, err = s.Recv(ctx); err != nil {
			return
		}
	}
})
