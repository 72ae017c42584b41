// Package enginetest contains the contract of engine.Client as test cases that any
// implementation can be run against.
//
// A case returns an error that says how the implementation violates the contract,
// instead of failing a test, so that a test can also check that a faulty
// implementation is detected.
package enginetest

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/engine"
)

// Behaviour is how a target responds to the calls of one case.
type Behaviour uint8

// Behaviours of a target.
const (
	// AnswersCalls sends a complete answer to each call, in several writes.
	AnswersCalls Behaviour = iota
	// Unreachable refuses connections.
	Unreachable
	// RejectsFence rejects the fencing number of each call.
	RejectsFence
	// ClosesBeforeHeader closes the connection after reading the call.
	ClosesBeforeHeader
	// ClosesInBody closes the connection after a part of the body.
	ClosesInBody
	// ClosesBeforeEnd closes the connection after the body, before the marker of
	// its end.
	ClosesBeforeEnd
	// StallsBeforeHeader reads the call and never answers.
	StallsBeforeHeader
	// StallsInBody sends no more data after a part of the body.
	StallsInBody
	// AnswersSlowly sends a complete answer to each call. Each delay between the
	// writes is shorter than the client's progress timeout, their sum is longer.
	AnswersSlowly
	// StallsInFirstBody sends only a part of the first call's body and answers
	// later calls.
	StallsInFirstBody
)

// Answer is a complete answer.
type Answer struct {
	Status int
	Header map[string]string // a subset of the headers
	Body   string
	Units  int64
}

// Subject is a client under test with the target that it calls.
type Subject struct {
	engine.Client
	// Call returns a call that the target accepts. It has the header
	// Idempotency-Key and a hop-by-hop header.
	Call func() engine.Call
	// Want is the target's complete answer.
	Want Answer
	// Received returns the calls that reached the target, in order.
	Received func() []engine.Call
	// CallReceived is closed when the target has received a call.
	CallReceived <-chan struct{}
	// CallCancelled is closed when the target has noticed the cancellation of a
	// call whose answer was not complete.
	CallCancelled <-chan struct{}
	// StartMarker is what the target returns to a probe.
	StartMarker string
}

// Factory returns a client of a target with the given behaviour.
type Factory func(t *testing.T, target Behaviour) Subject

// Case is one requirement of the contract.
type Case struct {
	Name            string
	Behaviour       Behaviour
	Check           func(ctx context.Context, s Subject) error
	WaitsForTimeout bool // waits for a timeout of the client
}

// Run runs each case on a new subject.
func Run(t *testing.T, cases []Case, factory Factory) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { c.run(t, factory) })
	}
}

// RunInBubble is Run with a synctest bubble for each case. The factory's subjects
// must do no I/O outside the bubble.
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
	if err := c.Check(t.Context(), factory(t, c.Behaviour)); err != nil {
		t.Errorf("contract violated: %v", err)
	}
}

// UntimedCases returns the cases that do not wait for a timeout of the client. Their
// results do not depend on the speed of the machine, so they need no fake clock.
func UntimedCases() []Case {
	return slices.DeleteFunc(Cases(), func(c Case) bool { return c.WaitsForTimeout })
}

// Cases returns the contract of engine.Client.
func Cases() []Case {
	return []Case{
		{"complete answer ends with EOF", AnswersCalls, checkCompleteAnswer, false},
		{"slow answer that makes progress is complete", AnswersSlowly, checkCompleteAnswer, true},
		{"call arrives unchanged", AnswersCalls, checkCallArrives, false},
		{"close cancels the call", StallsInBody, checkClose, false},
		{"cancelled context ends a read", StallsInBody, checkReadCancelled, false},
		{"cancelled context ends a call that may run", StallsBeforeHeader, checkCallCancelled, false},
		{"unreachable target: call is not sent", Unreachable, checkNotSent, false},
		{"call with a cancelled context is not sent", AnswersCalls, checkEndedContext, false},
		{"rejected fencing number", RejectsFence, checkFenced, false},
		{"connection closed before the header: truncated, sent once", ClosesBeforeHeader, checkClosedBeforeHeader, false},
		{"connection closed in the body: truncated", ClosesInBody, checkClosedInBody, false},
		{"connection closed before the end: truncated", ClosesBeforeEnd, checkClosedInBody, false},
		{"no header in time: stalled", StallsBeforeHeader, checkStalledBeforeHeader, true},
		{"no progress in the body: stalled", StallsInBody, checkStalledInBody, true},
		{"next call succeeds after a stall", StallsInFirstBody, checkAfterStall, true},
		{"probe returns the start marker", AnswersCalls, checkProbe, false},
		{"probe of an unreachable target fails", Unreachable, checkProbeFails, false},
	}
}

// marks are the marker errors of a call. Each failure has exactly one of them.
var marks = []error{engine.ErrNotSent, engine.ErrTruncated, engine.ErrStalled, engine.ErrFenced}

// wantMark returns an error unless err is marked with want and no other marker.
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
