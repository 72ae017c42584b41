package admission

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/pace"
	"github.com/mastichollow/mastichollow/internal/quarantine"
)

// Report is the state that a gate sends to its peers.
type Report struct {
	quarantine.Report
	Loads map[string]Load
	Usage map[string]Usage
	// Estimates holds the gate's own engine estimates, by service.
	Estimates map[string]EngineEstimate
	// Backoffs holds the backoffs that targets requested of the gate, by target ID.
	Backoffs map[string]Backoff
	// RequestLimits holds what the gate heard of limited targets and sends to them, by
	// target ID.
	RequestLimits map[string]LimitReport
	// Speeds holds the gate's own estimates of the speed of some targets, by service.
	Speeds map[string]pace.ServiceReport
}

// Report returns the state of this gate.
func (c *Controller) Report(now time.Duration) Report {
	c.takeUpLosses()
	c.mu.Lock()
	defer c.mu.Unlock()
	return Report{
		Report: c.quarantine.Report(now),
		Loads:  c.loads.localLoads(), Usage: c.usageTracker.localUsage(now), Backoffs: c.backoffs.listLocal(now), Estimates: c.localEstimates(),
		RequestLimits: c.requestLimits.report(now), Speeds: c.reportSpeeds(now),
	}
}

// Merge applies the report of a peer.
func (c *Controller) Merge(now time.Duration, node string, report Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads.setPeerReport(now, node, report.Loads)
	c.usageTracker.setPeerReport(now, node, report.Usage)
	c.peerEstimates[node] = peerEstimates{receivedAt: now, byService: report.Estimates}
	for id, backoff := range report.Backoffs {
		recordBackoff(c.backoffs.hints, id, backoff.TargetStarted, now+backoff.Remaining)
	}
	c.requestLimits.merge(now, node, report.RequestLimits)
	if !c.config.IgnoreSpeeds {
		c.speeds.Merge(now, report.Speeds)
	}
	c.quarantine.Merge(now, report.Report)
}

// SetPeerReportLifetime sets how long a peer's report counts, but at least
// minPeerReportLifetime.
func (c *Controller) SetPeerReportLifetime(lifetime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerReportLifetime = max(lifetime, minPeerReportLifetime)
	c.requestLimits.reportLifetime = c.peerReportLifetime
}

// SetGateCount sets the number of live gates, which share the retry budget.
func (c *Controller) SetGateCount(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gateCount = max(count, 1)
}
