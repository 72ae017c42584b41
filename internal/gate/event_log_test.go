package gate

import (
	"bytes"
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/account"
	"github.com/mastichollow/mastichollow/internal/eventlog"
)

// Totals computed from the event log, as after an incident, must equal the counters in
// the metrics.
func TestEventLogMatchesCounters(t *testing.T) {
	f := newFixture(t, testRoutes(once), firstRequestThen(closeConn(), succeed("whole")))
	f.gate.metrics = newMetrics(prometheus.NewRegistry())
	var lines bytes.Buffer
	events := eventlog.New(&lines, prometheus.NewRegistry())
	f.gate.config.Events = events
	f.gate.config.Domain = "d"
	ctx, cancel := context.WithCancel(context.Background())
	go events.Run(ctx)
	for range 5 {
		f.send("/p/", "b")
	}
	f.send("/p/", "b", "Key", "wrong")
	f.send("/unknown/", "b")
	f.tableAge = time.Hour
	f.send("/p/", "b")
	cancel()
	events.Wait()

	reader := account.NewReader(account.Options{MaxAttempts: 100})
	require.NoError(t, reader.Read(&lines))
	summary := reader.Summary()
	require.Zero(t, summary.Skipped)
	require.Equal(t, 8, summary.Attempts)
	for status, attempts := range summary.Statuses {
		counted := testutil.ToFloat64(f.gate.metrics.requests.WithLabelValues(strconv.Itoa(status)))
		require.EqualValues(t, counted, attempts, "status %d", status)
	}
	require.Contains(t, summary.Domains, "d")
}
