// Package platformtest contains the contracts of the platform's interfaces as test
// cases that any implementation can be run against.
//
// A case returns an error that says how the implementation violates the contract,
// instead of failing a test, so that a test can also check that a faulty
// implementation is detected.
package platformtest

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/platform"
)

// Fault is a fault that an implementation under test has until it is set again.
type Fault uint8

// Values of Fault.
const (
	FaultNone Fault = iota
	// FaultDown makes each call fail without effect.
	FaultDown
	// FaultResponseLost applies each write but loses its response.
	FaultResponseLost
	// FaultRequestLost loses each write before it is applied.
	FaultRequestLost
)

// Case is one requirement of a contract on implementations of type S.
type Case[S any] struct {
	Name  string
	Check func(ctx context.Context, subject S) error
}

// run runs each case on a new subject.
func run[S any](t *testing.T, cases []Case[S], factory func(t *testing.T) S) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { c.run(t, factory) })
	}
}

// runInBubble is run with a synctest bubble for each case.
func runInBubble[S any](t *testing.T, cases []Case[S], factory func(t *testing.T) S) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { c.run(t, factory) })
		})
	}
}

func (c Case[S]) run(t *testing.T, factory func(t *testing.T) S) {
	t.Helper()
	if err := c.Check(t.Context(), factory(t)); err != nil {
		t.Errorf("contract violated: %v", err)
	}
}

// marks are the marker errors of the platform. Each failure has exactly one of them.
var marks = []error{
	platform.ErrNotFound, platform.ErrConflict, platform.ErrUnavailable, platform.ErrUncertain,
}

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

// firstError runs checks in order until one fails and returns its error.
func firstError(checks ...func() error) error {
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}
