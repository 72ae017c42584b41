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

// Violation is a promise that was broken.
type Violation struct {
	Rule string
	ID   string // of a call, empty: none
	What string
}

func (v Violation) String() string { return fmt.Sprintf("%s: %s %s", v.Rule, v.ID, v.What) }

const (
	// contact is how long a gate must have been out of trouble before a promise
	// with a time bound holds for it; the platform's figure.
	contact = 3 * time.Second
	// leaveMargin is how long a target may go on after its caller left; the
	// platform allows 0.5 s, a shared machine as much again.
	leaveMargin = time.Second
	// logDelay is how long after an answer its line may be written; a gate that
	// is killed before loses it.
	logDelay = time.Second
)

// checker compares what callers saw with what targets ran.
type checker struct {
	history  *History
	operator *operator
	records  []Record
	runs     map[string][]standin.Run // by call
	drained  map[string]time.Time     // by target ID: when its leaving was acknowledged
	found    []Violation
}

func (c *checker) report(rule string, r *Record, format string, args ...any) {
	c.found = append(c.found, Violation{Rule: rule, ID: r.Call.ID, What: fmt.Sprintf(format, args...) + " " + describe(r)})
}

func describe(r *Record) string {
	return fmt.Sprintf("[gate %d %s sent %s took %v status %d events %d/%d cut %v fresh %v error %v]", r.Gate, r.Route.Name,
		r.Start.Format("05.000"), r.End.Sub(r.Start).Round(time.Millisecond), r.Answer.Status, r.Answer.Events, r.Events,
		r.Answer.Truncated, r.Fresh, r.Err)
}

// check returns what was broken.
func (c *checker) check() []Violation {
	sent := make(map[string]*Record, len(c.records))
	for i := range c.records {
		r := &c.records[i]
		sent[r.Call.ID] = r
		c.checkAnswer(r)
		c.checkTime(r)
		c.checkLost(r)
		c.checkStoreAlone(r)
	}
	for id, runs := range c.runs {
		r := sent[id]
		if r == nil {
			c.found = append(c.found, Violation{Rule: "unasked", ID: id, What: "a target ran a call that no caller sent"})
			continue
		}
		c.checkRuns(r, runs)
	}
	return c.found
}

// repeatable reports whether a call may run more than once.
func repeatable(r *Record) bool {
	return r.Route.Kind == standin.Idempotent || r.Route.Kind == standin.ResumableStream
}

func (c *checker) checkAnswer(r *Record) {
	if errors.Is(r.Err, standin.ErrWrongResponse) && r.Left.IsZero() {
		c.report("wrong answer", r, "")
	}
	if r.Answer.NotRun && !repeatable(r) && len(c.runs[r.Call.ID]) > 0 {
		c.report("false refusal", r, "ran %d times", len(c.runs[r.Call.ID]))
	}
	switch r.Answer.Status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		if !r.OldKey {
			c.report("denied", r, "though the table allows it")
		}
	}
	if r.Steady && !r.Refused && r.Answer.Status != http.StatusOK {
		c.report("not served in calm", r, "")
	}
}

// checkTime: a gate out of trouble answers within the route's time limit.
func (c *checker) checkTime(r *Record) {
	limit := r.Start.Add(r.Route.Timeout + lateMargin)
	if r.Left.IsZero() && isTimeout(r.Err) && c.gateCalm(r.Gate, r.Start.Add(-contact), limit) {
		c.report("late", r, "no answer in time")
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// gateCalm reports whether a gate and the way to it had no trouble. A planned
// stop and trouble of the store are none.
func (c *checker) gateCalm(gate int, from, to time.Time) bool {
	return c.history.Calm(Subject{PartGate, gate}, from, to) && c.history.Calm(Subject{PartCallerLink, gate}, from, to)
}

// checkLost: a gate out of trouble, also one that stops as planned, ends no
// connection without an answer to a call that a target ran.
func (c *checker) checkLost(r *Record) {
	ended := r.Err != nil && !isTimeout(r.Err) && !errors.Is(r.Err, standin.ErrWrongResponse) || r.Answer.Truncated
	if !ended || !r.Left.IsZero() || len(c.runs[r.Call.ID]) == 0 {
		return
	}
	from := r.Start.Add(-contact)
	if c.gateCalm(r.Gate, from, r.End) && c.history.AllCalm(PartTarget, from, r.End) {
		c.report("lost", r, "ran and got no whole answer")
	}
}

// checkStoreAlone: trouble of the store alone keeps no call without a key from
// being served.
func (c *checker) checkStoreAlone(r *Record) {
	if !r.Route.Public || r.Refused || !r.Left.IsZero() || r.Answer.Status == http.StatusOK {
		return
	}
	from := r.Start.Add(-contact)
	if c.gateCalm(r.Gate, from, r.End) && c.history.Calm(Subject{PartStop, r.Gate}, from, r.End) && c.history.AllCalm(PartTarget, from, r.End) {
		c.report("not served", r, "though only the store may be in trouble")
	}
}

func (c *checker) checkRuns(r *Record, runs []standin.Run) {
	if len(runs) > 1 && !repeatable(r) {
		c.report("ran twice", r, "%d times", len(runs))
	}
	ended := 0
	for i := range runs {
		c.checkRun(r, &runs[i])
		if !c.history.AllCalm(PartTarget, r.Start, r.End) {
			ended++
		}
	}
	if len(runs)-ended > r.Route.MaxTargets {
		c.report("too many targets", r, "ran on %d", len(runs))
	}
}

// checkRun: one run is the call that the caller sent, where it may run.
func (c *checker) checkRun(r *Record, run *standin.Run) {
	if run.Path != r.Call.Path || run.Body != standin.BodyDigest(r.Call.Body) {
		c.report("changed", r, "ran as %s", run.Path)
	}
	if run.HasKey || run.Workspace != c.operator.owner[r.Call.Key] {
		c.report("wrong workspace", r, "ran for %q, key passed on: %v", run.Workspace, run.HasKey)
	}
	c.checkService(r, run)
	if revoked := c.operator.revoked[r.Call.Key]; !revoked.IsZero() && r.Start.After(revoked.Add(revokedWithin)) {
		c.report("revoked key", r, "ran %v after the change", r.Start.Sub(revoked))
	}
	if !r.Left.IsZero() {
		c.checkLeft(r, run)
	}
	leaving := c.drained[run.Instance]
	if !leaving.IsZero() && r.Start.After(leaving.Add(drainedWithin)) && c.inTouch(r.Gate, leaving, r.End) {
		c.report("leaving target", r, "%s ran it %v after it said that it leaves", run.Instance, r.Start.Sub(leaving))
	}
}

// inTouch reports whether a gate and its way to the store had no trouble from
// contact before a moment on.
func (c *checker) inTouch(gate int, from, to time.Time) bool {
	from = from.Add(-contact)
	return c.gateCalm(gate, from, to) && c.history.Calm(Subject{PartStop, gate}, from, to) &&
		c.history.Calm(Subject{PartStoreLink, gate}, from, to) && c.history.Calm(Subject{What: PartStore}, from, to)
}

func (c *checker) checkService(r *Record, run *standin.Run) {
	if r.Route.Name != moving {
		if run.Service != r.Route.Service {
			c.report("wrong service", r, "ran at %s", run.Service)
		}
		return
	}
	if run.Service != shop && run.Service != depot {
		c.report("wrong service", r, "ran at %s", run.Service)
	}
	if !c.operator.allowed(r.Start, r.End)[run.Service] && c.inTouch(r.Gate, r.Start.Add(-changedWithin), r.End) {
		c.report("old table", r, "ran at %s", run.Service)
	}
}

// checkLeft: a target stops soon after the caller left.
func (c *checker) checkLeft(r *Record, run *standin.Run) {
	until := r.Left.Add(leaveMargin)
	if run.End.IsZero() || run.End.After(until) || run.Start.After(until) {
		from := r.Start.Add(-contact)
		if c.gateCalm(r.Gate, from, until) && c.history.AllCalm(PartTarget, from, until) {
			c.report("work after leaving", r, "%s began %v, ended %v after the caller left", run.Instance, run.Start.Sub(r.Left), run.End.Sub(r.Left))
		}
	}
}

// callID is how the IDs of calls look in logs.
var callID = regexp.MustCompile(`[0-9a-f]{16}`)

// checkLogs: a call that a gate answered itself or failed stands in its log.
func (c *checker) checkLogs(logs []string) error {
	logged := make(map[string]bool)
	for _, file := range logs {
		data, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "reading a log")
		}
		for _, id := range callID.FindAll(data, -1) {
			logged[string(id)] = true
		}
	}
	for i := range c.records {
		r := &c.records[i]
		answered := r.Answer.Status != 0 && r.Answer.Status != http.StatusOK
		written := c.history.Calm(Subject{PartGate, r.Gate}, r.Start, r.End.Add(logDelay))
		if answered && written && !logged[r.Call.ID] {
			c.report("not logged", r, "")
		}
	}
	return nil
}
