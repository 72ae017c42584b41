package eventlog

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"
)

// output collects the written bytes.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Split(strings.TrimSpace(o.buf.String()), "\n")
}

func startLog(t *testing.T, out io.Writer) (*Log, func()) {
	l := New(out, prometheus.NewRegistry())
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	return l, func() {
		cancel()
		l.Wait()
	}
}

func TestEventMatchesLoggerFormat(t *testing.T) {
	out := &output{}
	l, stop := startLog(t, out)
	l.Event("gate", "request ended", Text("request", "a\"b\\\n\xff"), Int("status", 503), Text("empty", ""), Millis("ms", time.Second), Bool("over", true), Bool("under", false))
	l.Logger("gate", hclog.Info).Info("request ended", "status", 503)
	stop()
	for _, line := range out.lines() {
		var fields map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &fields), line)
		require.Equal(t, "request ended", fields["@message"])
		require.Equal(t, "gate", fields["@module"])
		require.Equal(t, "info", fields["@level"])
		require.InDelta(t, 503, fields["status"], 0)
		_, err := time.Parse(time.RFC3339Nano, fields["@timestamp"].(string))
		require.NoError(t, err)
		require.NotContains(t, fields, "empty")
		require.NotContains(t, fields, "under")
	}
	require.Len(t, out.lines(), 2)
}

// stalledWriter is an output that blocks until release is closed.
type stalledWriter struct{ release chan struct{} }

func (s stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestStalledOutputDoesNotBlock(t *testing.T) {
	out := stalledWriter{make(chan struct{})}
	l, _ := startLog(t, out)
	l.limiter.SetLimit(rate.Inf)
	defer close(out.release)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10 * queueLines {
			l.Event("gate", "request ended", Int("status", 200))
			l.Logger("gate", hclog.Info).Info("x")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a caller of the log blocks on the output")
	}
	require.Positive(t, testutil.ToFloat64(l.dropped))
}

func TestRateLimitReportsDroppedLines(t *testing.T) {
	out := &output{}
	l, stop := startLog(t, out)
	for range 5 * burstLines {
		l.Event("gate", "request ended")
	}
	stop()
	require.LessOrEqual(t, len(out.lines()), 2*burstLines)
	require.Positive(t, testutil.ToFloat64(l.dropped))
	l.limiter.SetLimit(1e9)
	l.flush([]byte("next\n"))
	require.Contains(t, strings.Join(out.lines(), ""), "log lines dropped")
}

func TestBulkEventsLeaveRoomForOtherLines(t *testing.T) {
	out := &output{}
	l, stop := startLog(t, out)
	l.limiter.SetLimit(0)
	for range 2 * burstLines {
		l.BulkEvent("gate", "request ended", Text("outcome", "overloaded"))
	}
	for range reservedLines - 1 {
		l.Event("gate", "share used")
	}
	stop()
	all := strings.Join(out.lines(), "")
	require.Equal(t, burstLines-reservedLines+1, strings.Count(all, "overloaded"))
	require.Equal(t, reservedLines-1, strings.Count(all, "share used"))
}
