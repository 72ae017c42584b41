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

// leaveAnswersPending begins one claim per key and finishes them while the table is
// unavailable, so that all answers are queued for Run.
func leaveAnswersPending(t *testing.T, claimer *TableClaimer, table *standin.Table, keys ...Key) {
	t.Helper()
	for _, key := range keys {
		_, err := claimer.Begin(t.Context(), key, "a", testFingerprint)
		require.NoError(t, err)
	}
	table.SetFault(func(string, string) standin.Fault { return standin.FaultDown })
	for _, key := range keys {
		require.Error(t, claimer.Finish(t.Context(), key, "a", &Answer{Status: 201}))
	}
}

// The outage ends while Run waits for its next retry. Answers still queued when Run stops
// must not be lost.
func TestRunStoppedAfterOutageStoresAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		claimer, table := newTestClaimer()
		keys := []Key{{1}, {2}, {3}}
		leaveAnswersPending(t, claimer, table, keys...)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- claimer.Run(ctx) }()
		time.Sleep(time.Minute) // until the exponential backoff has grown long
		synctest.Wait()
		table.SetFault(nil)
		stop()
		require.NoError(t, <-ended)
		for _, key := range keys {
			answer, err := claimer.Begin(t.Context(), key, "b", testFingerprint)
			require.Equal(t, "replayed", beginResult(answer, err), "claim %s", key)
		}
	})
}

// unresponsiveTable is a table service whose reads block until their context ends.
type unresponsiveTable struct{ platform.TableService }

func (unresponsiveTable) Get(ctx context.Context, _ string) (platform.Item, error) {
	<-ctx.Done()
	return platform.Item{}, platform.ErrUnavailable
}

func TestRunStoppedDuringOutageTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		claimer, table := newTestClaimer()
		leaveAnswersPending(t, claimer, table, Key{1}, Key{2}, Key{3})
		claimer.table = unresponsiveTable{table}
		ctx, stop := context.WithCancel(t.Context())
		stop()
		began := time.Now()
		require.NoError(t, claimer.Run(ctx))
		require.LessOrEqual(t, time.Since(began), shutdownSettleTimeout)
		require.Empty(t, claimer.pending)
	})
}
