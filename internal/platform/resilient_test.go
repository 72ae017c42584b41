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

// failNextCalls makes the next n calls of table fail with fault.
func failNextCalls(table *standin.Table, n int, fault standin.Fault) {
	table.SetFault(func(string, string) standin.Fault {
		if n == 0 {
			return standin.FaultNone
		}
		n--
		return fault
	})
}

// withResilientTable runs check in a synctest bubble on a ResilientTable that wraps a
// stand-in table, and on its metrics.
func withResilientTable(t *testing.T, config platform.ResilientTableConfig, check func(*testing.T, *standin.Table, *platform.ResilientTable, prometheus.Gatherer)) {
	synctest.Test(t, func(t *testing.T) {
		reg, table := prometheus.NewRegistry(), standin.NewTable()
		config.Registerer = reg
		check(t, table, platform.NewResilientTable(table, config), reg)
	})
}

func TestResilientTableRetriesUnavailable(t *testing.T) {
	withResilientTable(t, platform.ResilientTableConfig{}, func(t *testing.T, table *standin.Table, resilient *platform.ResilientTable, _ prometheus.Gatherer) {
		failNextCalls(table, 2, standin.FaultDown)
		version, err := resilient.Commit(t.Context(), platform.Write{Key: "a"})
		require.NoError(t, err)
		failNextCalls(table, 2, standin.FaultDown)
		item, err := resilient.Get(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, version, item.Version)
	})
}

func TestResilientTableNeverRetriesUncertainCommit(t *testing.T) {
	withResilientTable(t, platform.ResilientTableConfig{}, func(t *testing.T, table *standin.Table, resilient *platform.ResilientTable, _ prometheus.Gatherer) {
		failNextCalls(table, 1, standin.FaultResponseLost)
		_, err := resilient.Commit(t.Context(), platform.Write{Key: "a"})
		require.ErrorIs(t, err, platform.ErrUncertain)
		_, writes := table.Calls()
		require.Equal(t, uint64(1), writes)
	})
}

func TestResilientTableBreakerOpensAndCloses(t *testing.T) {
	withResilientTable(t, platform.ResilientTableConfig{FailureThreshold: 3, OpenDuration: time.Second, MaxRetries: -1}, func(t *testing.T, table *standin.Table, resilient *platform.ResilientTable, _ prometheus.Gatherer) {
		failNextCalls(table, 4, standin.FaultDown)
		get := func() error { _, err := resilient.List(t.Context(), ""); return err }
		for range 3 {
			require.ErrorIs(t, get(), platform.ErrUnavailable)
		}
		require.True(t, resilient.BreakerOpen())
		require.ErrorIs(t, get(), platform.ErrUnavailable)
		reads, _ := table.Calls()
		require.Equal(t, uint64(3), reads, "calls while the breaker is open")
		time.Sleep(2 * time.Second)
		require.ErrorIs(t, get(), platform.ErrUnavailable, "trial call that fails")
		require.True(t, resilient.BreakerOpen())
		time.Sleep(2 * time.Second)
		require.NoError(t, get(), "trial call that succeeds")
		require.False(t, resilient.BreakerOpen())
	})
}

// hangingReads is a table service whose Get blocks until its context ends.
type hangingReads struct{ platform.TableService }

func (hangingReads) Get(ctx context.Context, _ string) (platform.Item, error) {
	<-ctx.Done()
	return platform.Item{}, errors.Mark(ctx.Err(), platform.ErrUnavailable)
}

func TestResilientTableCallTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		resilient := platform.NewResilientTable(hangingReads{}, platform.ResilientTableConfig{Timeout: time.Second, MaxRetries: -1})
		began := time.Now()
		_, err := resilient.Get(t.Context(), "a")
		require.True(t, errors.Is(err, platform.ErrUnavailable))
		require.Equal(t, time.Second, time.Since(began))
	})
}

func TestResilientTableMetricsByReason(t *testing.T) {
	withResilientTable(t, platform.ResilientTableConfig{MaxRetries: 1, FailureThreshold: 3}, func(t *testing.T, table *standin.Table, resilient *platform.ResilientTable, reg prometheus.Gatherer) {
		failNextCalls(table, 1, standin.FaultResponseLost)
		_, err := resilient.Commit(t.Context(), platform.Write{Key: "a"})
		require.Error(t, err)
		failNextCalls(table, 2, standin.FaultDown)
		short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err = resilient.Get(short, "a")
		require.Error(t, err)
		_, err = resilient.Get(t.Context(), "a")
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

func TestResilientTableCountsSuppressedRetries(t *testing.T) {
	withResilientTable(t, platform.ResilientTableConfig{MaxRetries: 2, FailureThreshold: unreachableThreshold}, func(t *testing.T, table *standin.Table, resilient *platform.ResilientTable, reg prometheus.Gatherer) {
		table.SetFault(func(string, string) standin.Fault { return standin.FaultDown })
		for range 6 { // the sixth call exhausts the retry budget
			_, err := resilient.Get(t.Context(), "a")
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

func TestResilientTableRetryBudget(t *testing.T) {
	withResilientTable(t, platform.ResilientTableConfig{FailureThreshold: unreachableThreshold}, func(t *testing.T, table *standin.Table, resilient *platform.ResilientTable, _ prometheus.Gatherer) {
		table.SetFault(func(string, string) standin.Fault { return standin.FaultDown })
		const calls = 1000
		for range calls {
			_, err := resilient.Get(t.Context(), "a")
			require.Error(t, err)
		}
		reads, _ := table.Calls()
		const share, burst = calls / 10, 10
		require.LessOrEqual(t, reads, uint64(calls+share+burst))
	})
}
