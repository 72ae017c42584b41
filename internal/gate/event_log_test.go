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
	"github.com/mastichollow/mastichollow/internal/admission"
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

func TestShareUsesPublished(t *testing.T) {
	f := newFixture(t, testRoutes(once), succeed("whole"))
	f.gate.metrics = newMetrics(prometheus.NewRegistry())
	var lines bytes.Buffer
	events := eventlog.New(&lines, prometheus.NewRegistry())
	f.gate.config.Events = events
	f.controller.SetCapacity(1)
	const workspaces = 2 * maxShareLines
	for n := range 2 * workspaces {
		request := admission.Request{Workspace: strconv.Itoa(n % workspaces), Service: "letters", Slots: 8, PromptTokens: 100}
		f.controller.Admit(time.Duration(1+n/workspaces)*time.Second, &request, f.directory.Current().Available("letters"))
	}
	f.gate.publishShareUses()
	ctx, cancel := context.WithCancel(context.Background())
	go events.Run(ctx)
	cancel()
	events.Wait()

	require.Equal(t, maxShareLines, bytes.Count(lines.Bytes(), []byte(`"share used"`)), "the volume is bounded")
	require.Contains(t, lines.String(), `"workspace":"0","share_per_s":0,"local_per_s":0,"requested_per_s":21`, "100 tokens, an eighth of the way out of the window of 4 s")
	decided := 0.0
	for _, tier := range []admission.Tier{admission.TierShare, admission.TierUnusedShare, admission.TierSurplus, admission.TierIdle, admission.TierNone} {
		for _, decision := range []string{"admitted", "refused"} {
			decided += testutil.ToFloat64(f.gate.metrics.tierWork.WithLabelValues(string(tier), decision))
		}
	}
	require.InDelta(t, workspaces*100, decided, 1e-6, "the first request of each workspace came before any demand was known")
}
