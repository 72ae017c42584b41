package transport

import (
	"context"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/wire"
)

func TestPipeDeliversInOrderThenEnds(t *testing.T) {
	a, b := Pipe()
	ctx := context.Background()
	require.NoError(t, a.Send(ctx, &wire.Ping{Number: 1}))
	require.NoError(t, a.Send(ctx, &wire.Ping{Number: 2}))
	require.NoError(t, a.CloseSend())
	for want := uint64(1); want <= 2; want++ {
		m, err := b.Recv(ctx)
		require.NoError(t, err)
		require.Equal(t, &wire.Ping{Number: want}, m)
	}
	_, err := b.Recv(ctx)
	require.ErrorIs(t, err, io.EOF)
}

func TestPipeCloseLosesTheStream(t *testing.T) {
	a, b := Pipe()
	require.NoError(t, a.Close())
	_, err := b.Recv(context.Background())
	require.ErrorIs(t, err, ErrLost)
	require.ErrorIs(t, b.Send(context.Background(), &wire.Ping{}), ErrLost)
}
