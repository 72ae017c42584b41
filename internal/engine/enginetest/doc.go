// Package enginetest holds the contract of engine.Client as cases that any
// implementation can be run against.
//
// A case returns an error that says how the implementation broke the contract,
// so that a test can also show that a broken implementation is found out.
package enginetest

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/engine"
)

// Behaviour is what a target does with the calls of one case.
type Behaviour uint8

// Behaviours of a target.
const (
	// Works answers each call whole, in several pieces.
	Works Behaviour = iota
	// Unreachable cannot be connected to.
	Unreachable
	// RefusesFence refuses the fencing number of each call.
	RefusesFence
	// CutsHead loses the connection after it took the call.
	CutsHead
	// CutsBody loses the connection after a part of the body.
	CutsBody
	// CutsEnd loses the connection after the body and before the mark of its
	// end.
	CutsEnd
	// StallsHead takes the call and never answers.
	StallsHead
	// StallsBody stops for good after a part of the body.
	StallsBody
	// Trickles answers each call whole, with pauses between the pieces that
	// are shorter than the client's progress limit and together longer.
	Trickles
	// StallsOnce stops after a part of the first call's body and answers the
	// calls after it.
	StallsOnce
)

// Answer is a whole answer.
type Answer struct {
	Status int
	Header map[string]string // headers that it has at least
	Body   string
	Units  int64
}

// Subject is a client under test and the target that it calls.
type Subject struct {
	engine.Client
	// Call returns a call that the target takes. It has the header
	// Idempotency-Key and a header that concerns only the connection.
	Call func() engine.Call
	// Want is the answer of a target that works.
	Want Answer
	// Received returns the calls that reached the target, in order.
	Received func() []engine.Call
	// Taken is closed once the target has taken a call.
	Taken <-chan struct{}
	// Cancelled is closed once the target has seen the end of a call whose
	// answer was not whole.
	Cancelled <-chan struct{}
	// Start is the start marker of the target.
	Start string
}

// Factory makes a client of a target that behaves.
type Factory func(t *testing.T, target Behaviour) Subject

// Case is one clause of the contract.
type Case struct {
	Name   string
	Target Behaviour
	Check  func(ctx context.Context, s Subject) error
	Timed  bool // waits for a time limit of the client
}

// Run runs each of cases on a subject of its own.
func Run(t *testing.T, cases []Case, factory Factory) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { c.run(t, factory) })
	}
}

// RunInBubble is Run with a bubble of synctest for each case. The factory makes
// subjects that do no I/O outside of it.
func RunInBubble(t *testing.T, cases []Case, factory Factory) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { c.run(t, factory) })
		})
	}
}

func (c Case) run(t *testing.T, factory Factory) {
	t.Helper()
	if err := c.Check(t.Context(), factory(t, c.Target)); err != nil {
		t.Errorf("contract broken: %v", err)
	}
}

// UntimedCases returns the cases that wait for no time limit, so that their
// verdicts hold on any machine without a fake clock.
func UntimedCases() []Case {
	return slices.DeleteFunc(Cases(), func(c Case) bool { return c.Timed })
}

// Cases returns the contract of engine.Client.
func Cases() []Case {
	return []Case{
		{"whole answer ends with EOF", Works, checkWhole, false},
		{"slow answer that makes progress is whole", Trickles, checkWhole, true},
		{"call arrives as it was made", Works, checkArrives, false},
		{"close cancels the call", StallsBody, checkClose, false},
		{"end of the caller's context ends a read", StallsBody, checkReadCancelled, false},
		{"end of the caller's context ends a call that may run", StallsHead, checkCallCancelled, false},
		{"unreachable target: call is not sent", Unreachable, checkNotSent, false},
		{"call whose context has ended is not sent", Works, checkEndedContext, false},
		{"refused fencing number", RefusesFence, checkFenced, false},
		{"cut before the head: truncated, sent once", CutsHead, checkCutHead, false},
		{"cut in the body: truncated", CutsBody, checkCutBody, false},
		{"cut before the end: truncated", CutsEnd, checkCutBody, false},
		{"no head in time: stalled", StallsHead, checkStalledHead, true},
		{"no progress in the body: stalled", StallsBody, checkStalledBody, true},
		{"new call works after a stall", StallsOnce, checkAfterStall, true},
		{"probe returns the start marker", Works, checkProbe, false},
		{"probe of an unreachable target fails", Unreachable, checkProbeFails, false},
	}
}

// marks are the errors of a call, of which each failure has one.
var marks = []error{engine.ErrNotSent, engine.ErrTruncated, engine.ErrStalled, engine.ErrFenced}

// wantMark returns an error unless err is marked want and nothing else.
func wantMark(what string, err, want error) error {
	if err == nil {
		return errors.Newf("%s: succeeded, want error %v", what, want)
	}
	for _, mark := range marks {
		if is := errors.Is(err, mark); is != errors.Is(want, mark) {
			return errors.Newf("%s: error %v is marked %v: %t, want mark %v", what, err, mark, is, want)
		}
	}
	return nil
}
