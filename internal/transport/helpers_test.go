package transport

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/standin"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// requireMark checks that err is marked mark; the standard library's Is does
// not see marks.
func requireMark(t testing.TB, err, mark error) {
	t.Helper()
	require.Truef(t, errors.Is(err, mark), "%v is not marked %q", err, mark)
}

type testEndpoint struct {
	*Endpoint
	keys string
}

func newTestEndpoint(t testing.TB, member, keys string) testEndpoint {
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
	return testEndpoint{Endpoint: e, keys: keys}
}

func newTestEndpointWith(t testing.TB, member, keys string) *Endpoint {
	t.Helper()
	return newTestEndpoint(t, member, keys).Endpoint
}

// run serves h on e until the test ends.
func run(t testing.TB, e *Endpoint, h Handler) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = e.Run(ctx, h) }()
}

// echo sends each message back.
var echo = HandlerFunc(func(ctx context.Context, _ Peer, m wire.Message, s Stream) {
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

// newForwarder returns a link to server that ends with the test.
func newForwarder(t *testing.T, server string) *standin.Forwarder {
	t.Helper()
	f, err := standin.NewForwarder(server)
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.Close() })
	return f
}
