package soak

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/platform/standin"
)

// Violation is a violated guarantee.
type Violation struct {
	Rule   string
	CallID string // empty if no single call is affected
	Detail string
}

func (v Violation) String() string { return fmt.Sprintf("%s: %s %s", v.Rule, v.CallID, v.Detail) }

const (
	// minUndisruptedTime is how long a gate must have been undisrupted before a
	// guarantee with a time bound applies to it. The platform specifies 3 s.
	minUndisruptedTime = 3 * time.Second
	// cancelMargin is how long a target may continue after its caller disconnected:
	// the platform allows 0.5 s, and a shared machine may add as much.
	cancelMargin = time.Second
	// maxLogDelay bounds the time from a response to its log line. A gate that is
	// killed earlier loses the line.
	maxLogDelay = time.Second
)

// checker compares what callers received with what targets ran.
type checker struct {
	history     *History
	operator    *operator
	records     []CallRecord
	runsByCall  map[string][]standin.Run // by call ID
	drainedAt   map[string]time.Time     // by target ID: when its row with the draining state was written
	crashes     []time.Time              // of targets, by calls with the crashing part
	limitUses   []limitUse
	evacuations []evacuation
	violations  []Violation
}

func (c *checker) addViolation(rule string, r *CallRecord, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, CallID: r.Call.ID, Detail: fmt.Sprintf(format, args...) + " " + describeRecord(r)})
}

func describeRecord(r *CallRecord) string {
	return fmt.Sprintf("[gate %d %s sent %s took %v status %d events %d/%d cut %v fresh %v error %v]", r.Gate, r.Route.Name,
		r.Start.Format("05.000"), r.End.Sub(r.Start).Round(time.Millisecond), r.Response.Status, r.Response.Events, r.ExpectedEvents,
		r.Response.Truncated, r.NewConnection, r.Err)
}

// check returns all violations.
func (c *checker) check() []Violation {
	recordByID := make(map[string]*CallRecord, len(c.records))
	for i := range c.records {
		r := &c.records[i]
		recordByID[r.Call.ID] = r
		c.checkResponse(r)
		c.checkDeadline(r)
		c.checkLostResponse(r)
		c.checkServedDespiteStore(r)
	}
	for id, runs := range c.runsByCall {
		r := recordByID[id]
		if r == nil {
			c.violations = append(c.violations, Violation{Rule: "unasked", CallID: id, Detail: "a target ran a call that no caller sent"})
			continue
		}
		c.checkRuns(r, runs)
	}
	c.checkCrashingPart(recordByID)
	c.checkRequestLimits(recordByID)
	return c.violations
}

// repeatable reports whether a call may run more than once.
func repeatable(r *CallRecord) bool {
	return r.Route.Kind == standin.Idempotent || r.Route.Kind == standin.ResumableStream
}

func (c *checker) checkResponse(r *CallRecord) {
	if errors.Is(r.Err, standin.ErrWrongResponse) && r.AbandonedAt.IsZero() {
		c.addViolation("wrong answer", r, "")
	}
	if r.Response.NotExecuted && !repeatable(r) && len(c.runsByCall[r.Call.ID]) > 0 {
		c.addViolation("false refusal", r, "ran %d times", len(c.runsByCall[r.Call.ID]))
	}
	switch r.Response.Status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		if !r.RevokedKey {
			c.addViolation("denied", r, "though the table allows it")
		}
	}
	if r.FaultFree && !r.DialFailed && r.Response.Status != http.StatusOK {
		c.addViolation("not served in calm", r, "")
	}
}

// checkDeadline: an undisrupted gate responds within the time limit of the route.
func (c *checker) checkDeadline(r *CallRecord) {
	limit := r.Start.Add(r.Route.Timeout + lateMargin)
	if r.AbandonedAt.IsZero() && isTimeout(r.Err) && c.gateUndisrupted(r.Gate, r.Start.Add(-minUndisruptedTime), limit) {
		c.addViolation("late", r, "no answer in time")
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// gateUndisrupted reports whether a gate and its caller link were undisrupted. Planned
// stops and store faults do not count.
func (c *checker) gateUndisrupted(gate int, from, to time.Time) bool {
	return c.history.Undisrupted(Subject{PartGate, gate}, from, to) && c.history.Undisrupted(Subject{PartCallerLink, gate}, from, to)
}

// checkLostResponse: an undisrupted gate, also during a planned stop, closes no
// connection without a response to a call that a target ran.
func (c *checker) checkLostResponse(r *CallRecord) {
	connectionEnded := r.Err != nil && !isTimeout(r.Err) && !errors.Is(r.Err, standin.ErrWrongResponse) || r.Response.Truncated
	if !connectionEnded || !r.AbandonedAt.IsZero() || len(c.runsByCall[r.Call.ID]) == 0 {
		return
	}
	from := r.Start.Add(-minUndisruptedTime)
	if c.gateUndisrupted(r.Gate, from, r.End) && c.history.AllUndisrupted(PartTarget, from, r.End) {
		c.addViolation("lost", r, "ran and got no whole answer")
	}
}

// checkServedDespiteStore: store faults alone do not prevent calls without a key from
// being served.
func (c *checker) checkServedDespiteStore(r *CallRecord) {
	if !r.Route.Public || r.DialFailed || !r.AbandonedAt.IsZero() || r.Response.Status == http.StatusOK {
		return
	}
	from := r.Start.Add(-minUndisruptedTime)
	if c.gateUndisrupted(r.Gate, from, r.End) && c.history.Undisrupted(Subject{PartPlannedStop, r.Gate}, from, r.End) && c.history.AllUndisrupted(PartTarget, from, r.End) &&
		c.history.AllUndisrupted(PartRequestLimit, from, r.End) && c.history.AllUndisrupted(PartEvacuation, from, r.End) {
		c.addViolation("not served", r, "though only the store may be in trouble")
	}
}

func (c *checker) checkRuns(r *CallRecord, runs []standin.Run) {
	if len(runs) > 1 && !repeatable(r) {
		c.addViolation("ran twice", r, "%d times", len(runs))
	}
	disrupted := 0
	for i := range runs {
		c.checkRun(r, &runs[i])
		if !c.history.AllUndisrupted(PartTarget, r.Start, r.End) {
			disrupted++
		}
	}
	if len(runs)-disrupted > r.Route.MaxTargets {
		c.addViolation("too many targets", r, "ran on %d", len(runs))
	}
}

// checkRun: a run matches the call that the caller sent and took place where the call
// may run.
func (c *checker) checkRun(r *CallRecord, run *standin.Run) {
	if run.Path != r.Call.Path || run.Body != standin.BodyDigest(r.Call.Body) {
		c.addViolation("changed", r, "ran as %s", run.Path)
	}
	if run.HasKey || run.Workspace != c.operator.workspaceByKey[r.Call.Key] {
		c.addViolation("wrong workspace", r, "ran for %q, key passed on: %v", run.Workspace, run.HasKey)
	}
	c.checkService(r, run)
	c.checkEvacuation(r, run)
	if revokedAt := c.operator.revokedAt[r.Call.Key]; !revokedAt.IsZero() && r.Start.After(revokedAt.Add(maxRevocationDelay)) {
		c.addViolation("revoked key", r, "ran %v after the change", r.Start.Sub(revokedAt))
	}
	if !r.AbandonedAt.IsZero() {
		c.checkCancelled(r, run)
	}
	drainedAt := c.drainedAt[run.Instance]
	if !drainedAt.IsZero() && r.Start.After(drainedAt.Add(maxDrainDelay)) && c.gateAndStoreUndisrupted(r.Gate, drainedAt, r.End) {
		c.addViolation("leaving target", r, "%s ran it %v after it said that it leaves", run.Instance, r.Start.Sub(drainedAt))
	}
}

// gateAndStoreUndisrupted reports whether a gate, its links and the store were
// undisrupted from minUndisruptedTime before from until to. Here planned stops count.
func (c *checker) gateAndStoreUndisrupted(gate int, from, to time.Time) bool {
	from = from.Add(-minUndisruptedTime)
	return c.gateUndisrupted(gate, from, to) && c.history.Undisrupted(Subject{PartPlannedStop, gate}, from, to) &&
		c.history.Undisrupted(Subject{PartStoreLink, gate}, from, to) && c.history.Undisrupted(Subject{Part: PartStore}, from, to)
}

func (c *checker) checkService(r *CallRecord, run *standin.Run) {
	if r.Route.Name != movingRoute {
		if run.Service != r.Route.Service {
			c.addViolation("wrong service", r, "ran at %s", run.Service)
		}
		return
	}
	if run.Service != shopService && run.Service != depotService {
		c.addViolation("wrong service", r, "ran at %s", run.Service)
	}
	if !c.operator.allowedServices(r.Start, r.End)[run.Service] && c.gateAndStoreUndisrupted(r.Gate, r.Start.Add(-maxChangeDelay), r.End) {
		c.addViolation("old table", r, "ran at %s", run.Service)
	}
}

// checkCancelled: a target stops soon after the caller disconnected.
func (c *checker) checkCancelled(r *CallRecord, run *standin.Run) {
	until := r.AbandonedAt.Add(cancelMargin)
	if run.End.IsZero() || run.End.After(until) || run.Start.After(until) {
		from := r.Start.Add(-minUndisruptedTime)
		if c.gateUndisrupted(r.Gate, from, until) && c.history.AllUndisrupted(PartTarget, from, until) {
			c.addViolation("work after leaving", r, "%s began %v, ended %v after the caller left", run.Instance, run.Start.Sub(r.AbandonedAt), run.End.Sub(r.AbandonedAt))
		}
	}
}

// callIDPattern matches call IDs in logs.
var callIDPattern = regexp.MustCompile(`[0-9a-f]{16}`)

// checkLogged: a gate logs each call that it refused or failed.
func (c *checker) checkLogged(logs []string) error {
	logged := make(map[string]bool)
	for _, file := range logs {
		data, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "reading log")
		}
		for _, id := range callIDPattern.FindAll(data, -1) {
			logged[string(id)] = true
		}
	}
	for i := range c.records {
		r := &c.records[i]
		refused := r.Response.Status != 0 && r.Response.Status != http.StatusOK
		logKept := c.history.Undisrupted(Subject{PartGate, r.Gate}, r.Start, r.End.Add(maxLogDelay))
		if refused && logKept && !logged[r.Call.ID] {
			c.addViolation("not logged", r, "")
		}
	}
	return nil
}
