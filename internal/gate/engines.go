package gate

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/mastichollow/mastichollow/internal/eventlog"
)

// enginePublishInterval is how often the learned estimates of engines are written to
// metrics and, if the set of slow targets changed, to the event log.
const enginePublishInterval = time.Second

// watchEngines publishes the admission controller's learned estimates of engines until
// ctx ends.
func (g *Gate) watchEngines(ctx context.Context) {
	ticker := time.NewTicker(enginePublishInterval)
	defer ticker.Stop()
	slowTargets := make(map[string][]string)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.publishEngines(slowTargets)
		}
	}
}

// publishEngines publishes the estimates once. slowTargets holds the slow targets of
// each service as last published.
func (g *Gate) publishEngines(slowTargets map[string][]string) {
	for _, engine := range g.controller.Engines() {
		g.metrics.prefillSpeed.WithLabelValues(engine.Service).Set(engine.Speed)
		g.metrics.slowTargets.WithLabelValues(engine.Service).Set(float64(len(engine.Slow)))
		if slices.Equal(slowTargets[engine.Service], engine.Slow) {
			continue
		}
		slowTargets[engine.Service] = engine.Slow
		g.config.Events.Event(logModule, "slow targets changed", eventlog.Text("service", engine.Service),
			eventlog.Int("count", len(engine.Slow)), eventlog.Text("targets", strings.Join(engine.Slow, ",")),
			eventlog.Int("read_tokens_per_ms", int(engine.Speed)), eventlog.Millis("overhead_ms", engine.Overhead))
	}
}
