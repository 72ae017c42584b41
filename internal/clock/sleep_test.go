package clock

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSleepContextEnds(t *testing.T) {
	require.True(t, Sleep(t.Context(), time.Millisecond))
	require.True(t, Sleep(t.Context(), -time.Second))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(time.Millisecond, cancel)
	require.False(t, Sleep(ctx, time.Hour))
	require.False(t, Sleep(ctx, 0))
}
