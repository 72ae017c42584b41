package platform_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/standin"
)

// countdown makes the first n calls of a table meet fault.
func countdown(table *standin.Table, n int, fault standin.Fault) {
	table.SetFault(func(string, string) standin.Fault {
		if n == 0 {
			return standin.FaultNone
		}
		n--
		return fault
	})
}

// withGuarded runs check on a guarded stand-in table and its counters.
func withGuarded(t *testing.T, config platform.GuardConfig, check func(*testing.T, *standin.Table, *platform.Guarded, prometheus.Gatherer)) {
	synctest.Test(t, func(t *testing.T) {
		reg, table := prometheus.NewRegistry(), standin.NewTable()
		config.Registerer = reg
		check(t, table, platform.NewGuarded(table, config), reg)
	})
}

func TestGuardedRepeatsWhatHadNoEffect(t *testing.T) {
	withGuarded(t, platform.GuardConfig{}, func(t *testing.T, table *standin.Table, g *platform.Guarded, _ prometheus.Gatherer) {
		countdown(table, 2, standin.FaultDown)
		version, err := g.Commit(t.Context(), platform.Write{Key: "a"})
		require.NoError(t, err)
		countdown(table, 2, standin.FaultDown)
		item, err := g.Get(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, version, item.Version)
	})
}

func TestGuardedNeverRepeatsAnUncertainCommit(t *testing.T) {
	withGuarded(t, platform.GuardConfig{}, func(t *testing.T, table *standin.Table, g *platform.Guarded, _ prometheus.Gatherer) {
		countdown(table, 1, standin.FaultAnswerLost)
		_, err := g.Commit(t.Context(), platform.Write{Key: "a"})
		require.ErrorIs(t, err, platform.ErrUncertain)
		_, writes := table.Calls()
		require.Equal(t, uint64(1), writes)
	})
}

func TestGuardedBreakerOpensAndCloses(t *testing.T) {
	withGuarded(t, platform.GuardConfig{Failures: 3, Open: time.Second, Retries: -1}, func(t *testing.T, table *standin.Table, g *platform.Guarded, _ prometheus.Gatherer) {
		countdown(table, 4, standin.FaultDown)
		get := func() error { _, err := g.List(t.Context(), ""); return err }
		for range 3 {
			require.ErrorIs(t, get(), platform.ErrUnavailable)
		}
		require.True(t, g.Open())
		require.ErrorIs(t, get(), platform.ErrUnavailable)
		reads, _ := table.Calls()
		require.Equal(t, uint64(3), reads, "calls while the breaker is open")
		time.Sleep(2 * time.Second)
		require.ErrorIs(t, get(), platform.ErrUnavailable, "trial that fails")
		require.True(t, g.Open())
		time.Sleep(2 * time.Second)
		require.NoError(t, get(), "trial that succeeds")
		require.False(t, g.Open())
	})
}

// stuck is a table service whose reads last until their context ends.
type stuck struct{ platform.TableService }

func (stuck) Get(ctx context.Context, _ string) (platform.Item, error) {
	<-ctx.Done()
	return platform.Item{}, errors.Mark(ctx.Err(), platform.ErrUnavailable)
}

func TestGuardedBoundsEachCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := platform.NewGuarded(stuck{}, platform.GuardConfig{Timeout: time.Second, Retries: -1})
		began := time.Now()
		_, err := g.Get(t.Context(), "a")
		require.True(t, errors.Is(err, platform.ErrUnavailable))
		require.Equal(t, time.Second, time.Since(began))
	})
}

func TestGuardedCountsEachReason(t *testing.T) {
	withGuarded(t, platform.GuardConfig{Retries: 1, Failures: 3}, func(t *testing.T, table *standin.Table, g *platform.Guarded, reg prometheus.Gatherer) {
		countdown(table, 1, standin.FaultAnswerLost)
		_, err := g.Commit(t.Context(), platform.Write{Key: "a"})
		require.Error(t, err)
		countdown(table, 2, standin.FaultDown)
		short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err = g.Get(short, "a")
		require.Error(t, err)
		_, err = g.Get(t.Context(), "a")
		require.Error(t, err)
		require.NoError(t, testutil.GatherAndCompare(reg, strings.NewReader(`
# HELP mastichollow_platform_calls_total Calls of the table service, with retries, by operation and result.
# TYPE mastichollow_platform_calls_total counter
mastichollow_platform_calls_total{op="commit",result="uncertain"} 1
mastichollow_platform_calls_total{op="get",result="unavailable"} 2
# HELP mastichollow_platform_refused_total Calls of the table service that were not made or not repeated, by operation and reason.
# TYPE mastichollow_platform_refused_total counter
mastichollow_platform_refused_total{op="get",reason="breaker_open"} 1
mastichollow_platform_refused_total{op="get",reason="deadline"} 1
`)))
	})
}

func TestGuardedCountsGivenUpRetries(t *testing.T) {
	withGuarded(t, platform.GuardConfig{Retries: 2, Failures: neverOpen}, func(t *testing.T, table *standin.Table, g *platform.Guarded, reg prometheus.Gatherer) {
		table.SetFault(func(string, string) standin.Fault { return standin.FaultDown })
		for range 6 { // the burst of retries is used up in the sixth call
			_, err := g.Get(t.Context(), "a")
			require.ErrorIs(t, err, platform.ErrUnavailable)
		}
		require.NoError(t, testutil.GatherAndCompare(reg, strings.NewReader(`
# HELP mastichollow_platform_refused_total Calls of the table service that were not made or not repeated, by operation and reason.
# TYPE mastichollow_platform_refused_total counter
mastichollow_platform_refused_total{op="get",reason="retries_used_up"} 5
mastichollow_platform_refused_total{op="get",reason="retry_budget"} 1
# HELP mastichollow_platform_retries_total Repeated calls of the table service by operation.
# TYPE mastichollow_platform_retries_total counter
mastichollow_platform_retries_total{op="get"} 10
`), "mastichollow_platform_refused_total", "mastichollow_platform_retries_total"))
	})
}

func TestGuardedBoundsRetriesToAShareOfTheCalls(t *testing.T) {
	withGuarded(t, platform.GuardConfig{Failures: neverOpen}, func(t *testing.T, table *standin.Table, g *platform.Guarded, _ prometheus.Gatherer) {
		table.SetFault(func(string, string) standin.Fault { return standin.FaultDown })
		const calls = 1000
		for range calls {
			_, err := g.Get(t.Context(), "a")
			require.Error(t, err)
		}
		reads, _ := table.Calls()
		const share, burst = calls / 10, 10
		require.LessOrEqual(t, reads, uint64(calls+share+burst))
	})
}
