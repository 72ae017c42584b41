package gate

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/eventlog"
	"github.com/mastichollow/mastichollow/internal/quarantine"
)

// enginePublishInterval is how often the learned estimates of engines are written to
// metrics and, if the set of slow targets changed, to the event log.
const enginePublishInterval = time.Second

const percent = 100

// watchEngines publishes the admission controller's learned estimates of engines and the
// use of fair shares until ctx ends.
func (g *Gate) watchEngines(ctx context.Context) {
	ticker := time.NewTicker(enginePublishInterval)
	defer ticker.Stop()
	slowTargets, uneven := make(map[string][]string), make(map[string]bool)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.publishEngines(slowTargets)
			g.publishSpeeds(uneven)
			g.publishShareUses()
			g.publishCrashes()
			g.publishColdUse()
			g.silent.retain(g.directory.Current().Contains)
			g.publishQueues()
			g.metrics.limitedTargets.Set(float64(g.controller.LimitedTargets()))
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

// publishSpeeds publishes the learned speeds of targets. uneven holds the services whose
// targets differed at the previous publication.
func (g *Gate) publishSpeeds(uneven map[string]bool) {
	for _, speeds := range g.controller.Speeds(g.config.Now()) {
		inUse := 0.0
		if speeds.Uneven {
			inUse = 1
		}
		g.metrics.learnedSpeeds.WithLabelValues(speeds.Service).Set(inUse)
		g.metrics.relativeTime.WithLabelValues(speeds.Service, "slowest").Set(speeds.Slowest)
		g.metrics.relativeTime.WithLabelValues(speeds.Service, "fastest").Set(speeds.Fastest)
		if uneven[speeds.Service] == speeds.Uneven {
			continue
		}
		uneven[speeds.Service] = speeds.Uneven
		g.config.Events.Event(logModule, "use of learned speeds changed", eventlog.Text("service", speeds.Service),
			eventlog.Bool("in_use", speeds.Uneven), eventlog.Int("targets", speeds.Targets),
			eventlog.Text("slowest", speeds.SlowestID), eventlog.Int("slowest_percent", int(percent*speeds.Slowest)),
			eventlog.Text("fastest", speeds.FastestID), eventlog.Int("fastest_percent", int(percent*speeds.Fastest)))
	}
}

// minLoggedClearing is the number of crashes from which a log line names a part that was
// cleared of them. After each crash, most parts that were in flight are cleared of that one.
const minLoggedClearing = 2

// publishCrashes publishes the crashes of targets that the controller presumed since the
// previous publication, and the parts of prompts that it began or ceased to block.
func (g *Gate) publishCrashes() {
	for _, crash := range g.controller.TakePresumedCrashes() {
		g.metrics.presumedCrashes.Inc()
		g.config.Events.Event(logModule, "target presumed crashed", eventlog.Text("target", crash.Target),
			eventlog.Bool("refused", crash.Refused), eventlog.Int("requests", crash.Requests),
			eventlog.Int("waiting", crash.Phases[quarantine.PhaseWaiting]), eventlog.Int("begun", crash.Phases[quarantine.PhaseBegun]),
			eventlog.Int("lasting", crash.Phases[quarantine.PhaseLasting]))
	}
	for phase, count := range g.controller.TakeLossesInCrashes() {
		g.metrics.lossesInCrashes.WithLabelValues(phase.String()).Add(float64(count))
	}
	for reason, count := range g.controller.TakeAdmittedSuspects() {
		g.metrics.admittedSuspects.WithLabelValues(reason.String()).Add(float64(count))
	}
	for _, clearing := range g.controller.TakePartClearings() {
		g.metrics.partClearings.WithLabelValues(clearing.Cause.String()).Inc()
		if clearing.Crashes >= minLoggedClearing {
			g.config.Events.Event(logModule, "suspected part cleared", eventlog.Text("part", strconv.FormatUint(clearing.Part, hexBase)),
				eventlog.Int("crashes", clearing.Crashes), eventlog.Text("by", clearing.Cause.String()))
		}
	}
	suspected, dropped := g.controller.TakeSuspectedParts()
	g.metrics.suspectedParts.Set(float64(suspected))
	g.metrics.droppedParts.Add(float64(dropped))
	changes, blocked := g.controller.TakePartBlockChanges(g.config.Now())
	g.metrics.blockedParts.Set(float64(blocked))
	for _, change := range changes {
		message := "part unblocked"
		if change.Blocked {
			message = "part blocked"
		}
		g.config.Events.Event(logModule, message, eventlog.Text("part", strconv.FormatUint(change.Part, hexBase)),
			eventlog.Int("crashes", change.Crashes), eventlog.Int("tied", change.Tied), eventlog.Int("workspaces", change.Workspaces))
	}
}

// publishColdUse publishes the number of cold targets and what became of the requests for them
// since the previous publication.
func (g *Gate) publishColdUse() {
	cold, use := g.directory.Current().ColdCount(g.config.Now()), g.controller.TakeColdUse()
	g.metrics.coldTargets.Set(float64(cold))
	g.metrics.coldSends.Add(float64(use.Sends))
	g.metrics.coldDiversions.Add(float64(use.Diverted))
	if use.Sends+use.Diverted > 0 {
		g.config.Events.Event(logModule, "cold targets", eventlog.Int("targets", cold), eventlog.Int("sends", use.Sends), eventlog.Int("diverted", use.Diverted))
	}
}

// maxShareLines bounds the log lines on the use of fair shares per publication.
const maxShareLines = 8

// publishShareUses publishes what became of the fair shares of workspaces that request
// more, since the previous publication.
func (g *Gate) publishShareUses() {
	for i, use := range g.controller.TakeShareUses() {
		var within, above admission.TierWork
		for tier, work := range use.Tiers {
			g.metrics.tierWork.WithLabelValues(string(tier), "admitted").Add(work.Admitted)
			g.metrics.tierWork.WithLabelValues(string(tier), "refused").Add(work.Refused)
			total := &above
			if tier.WithinShare() {
				total = &within
			}
			total.Admitted += work.Admitted
			total.Refused += work.Refused
		}
		g.metrics.forfeitedShare.Add(use.Forfeited)
		g.metrics.unservedWork.Add(use.Unserved)
		if i >= maxShareLines {
			continue
		}
		g.config.Events.Event(logModule, "share used", eventlog.Text("workspace", use.Workspace),
			eventlog.Int("share_per_s", int(use.Share)), eventlog.Int("local_per_s", int(use.LocalRate)),
			eventlog.Int("requested_per_s", int(use.Requested)), eventlog.Int("served_per_s", int(use.Served)),
			eventlog.Int("admitted_within", int(within.Admitted)), eventlog.Int("refused_within", int(within.Refused)),
			eventlog.Int("admitted_above", int(above.Admitted)), eventlog.Int("refused_above", int(above.Refused)),
			eventlog.Int("forfeited", int(use.Forfeited)), eventlog.Int("unserved", int(use.Unserved)))
	}
}
