package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/standin"
)

// deferAnswers finishes one claim per key while the table is down, so that all
// answers wait for Run.
func deferAnswers(t *testing.T, claimer *TableClaimer, table *standin.Table, keys ...Key) {
	t.Helper()
	for _, key := range keys {
		_, err := claimer.Begin(t.Context(), key, "a", testPrint)
		require.NoError(t, err)
	}
	table.SetFault(func(string, string) standin.Fault { return standin.FaultDown })
	for _, key := range keys {
		require.Error(t, claimer.Finish(t.Context(), key, "a", &Answer{Status: 201}))
	}
}

func TestStopAfterOutageLosesNoAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		claimer, table := newTestClaimer()
		keys := []Key{{1}, {2}, {3}}
		deferAnswers(t, claimer, table, keys...)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- claimer.Run(ctx) }()
		time.Sleep(time.Minute) // into the long pauses between tries
		synctest.Wait()
		table.SetFault(nil)
		stop()
		require.NoError(t, <-ended)
		for _, key := range keys {
			answer, err := claimer.Begin(t.Context(), key, "b", testPrint)
			require.Equal(t, "replayed", result(answer, err), "claim %s", key)
		}
	})
}

// silentTable never answers.
type silentTable struct{ platform.TableService }

func (silentTable) Get(ctx context.Context, _ string) (platform.Item, error) {
	<-ctx.Done()
	return platform.Item{}, platform.ErrUnavailable
}

func TestStopDuringOutageIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		claimer, table := newTestClaimer()
		deferAnswers(t, claimer, table, Key{1}, Key{2}, Key{3})
		claimer.table = silentTable{table}
		ctx, stop := context.WithCancel(t.Context())
		stop()
		began := time.Now()
		require.NoError(t, claimer.Run(ctx))
		require.LessOrEqual(t, time.Since(began), stopTime)
		require.Empty(t, claimer.later)
	})
}
