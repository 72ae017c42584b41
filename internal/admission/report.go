package admission

import (
	"maps"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/pace"
	"github.com/mastichollow/mastichollow/internal/target"
)

// Report is the state that a gate sends to its peers.
type Report struct {
	Loads map[string]Load
	Usage map[string]Usage
	// Suspects holds, by request, the runs of targets that crashed while they ran it, with
	// the time since.
	Suspects map[Fingerprint]map[TargetRun]time.Duration
	// Crashes holds the recent crashes of which the gate has evidence, with the time since.
	Crashes map[TargetRun]time.Duration
	// SuspectParts holds the crashes of the parts of prompts that the gate suspects, ClearedParts
	// the time since a request with a suspected part completed at it, and OutlastedParts the
	// time since a response with one had lasted longer than most crashes take.
	// DisprovedCrashes holds the time since targets responded after their presumed crash.
	DisprovedCrashes map[TargetRun]time.Duration
	SuspectParts     map[uint64][]PartCrash
	ClearedParts     map[uint64]time.Duration
	OutlastedParts   map[uint64]time.Duration
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
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects.settleUnframed(now)
	parts := c.suspects.parts
	return Report{
		Crashes: c.suspects.listConfirmed(now), SuspectParts: parts.report(now), DisprovedCrashes: parts.listDisproved(now),
		ClearedParts: reportTimes(now, parts.cleared), OutlastedParts: reportTimes(now, parts.outlasted),
		Loads: c.loads.localLoads(), Usage: c.usageTracker.localUsage(now), Suspects: c.suspects.report(now), Backoffs: c.backoffs.listLocal(now), Estimates: c.localEstimates(),
		RequestLimits: c.requestLimits.report(now), Speeds: c.reportSpeeds(now),
	}
}

// oldSuspectRounds is the number of reports over which each older suspect is named once: 2.6 s
// at one report each 200 ms. It is a prime, so that a peer that gets only every second or
// third report learns all of them too.
const oldSuspectRounds = 13

// OmitOldSuspects removes the requests and parts without a crash in the last
// suspectReportAge from the report, except those whose turn it is in a round. Each of them
// has its turn once in oldSuspectRounds rounds.
func (r *Report) OmitOldSuspects(round uint64) {
	hasTurn := func(hash uint64) bool { return hash%oldSuspectRounds == round%oldSuspectRounds }
	maps.DeleteFunc(r.Suspects, func(f Fingerprint, ages map[TargetRun]time.Duration) bool {
		for _, age := range ages {
			if age <= suspectReportAge {
				return false
			}
		}
		return !hasTurn(uint64(f))
	})
	maps.DeleteFunc(r.SuspectParts, func(part uint64, crashes []PartCrash) bool {
		return !hasTurn(part) && !slices.ContainsFunc(crashes, func(crash PartCrash) bool { return crash.At <= suspectReportAge })
	})
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
	for run, age := range report.DisprovedCrashes {
		c.suspects.disprove(now-age, run)
	}
	for f, suspect := range report.Suspects {
		c.suspects.mergeSuspect(now, f, suspect)
	}
	for run, age := range report.Crashes {
		c.suspects.mergeConfirmed(now, run, age)
	}
	c.suspects.parts.merge(now, report.SuspectParts, report.ClearedParts, report.OutlastedParts)
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

// RecordRefused records that a target refused a connection that carried no request.
func (c *Controller) RecordRefused(now time.Duration, instance *target.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects.recordUnreachable(now, instance)
}
