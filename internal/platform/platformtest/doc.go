// Package platformtest holds the contract of the platform's interfaces as
// cases that any implementation can be run against.
//
// A case returns an error that says how the implementation broke the contract,
// so that a test can also show that a broken implementation is found out.
package platformtest

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/platform"
)

// Fault is a lasting fault of an implementation under test.
type Fault uint8

// Faults.
const (
	Working Fault = iota
	// Down refuses each call without effect.
	Down
	// AnswerLost applies each write and loses its answer.
	AnswerLost
	// RequestLost loses each write before its effect.
	RequestLost
)

// Case is one clause of a contract on subjects of type S.
type Case[S any] struct {
	Name  string
	Check func(ctx context.Context, subject S) error
}

// run runs each case on a subject of its own.
func run[S any](t *testing.T, cases []Case[S], factory func(t *testing.T) S) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) { c.run(t, factory) })
	}
}

// runInBubble is run with a bubble of synctest for each case.
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
		t.Errorf("contract broken: %v", err)
	}
}

// marks are the errors of the platform, of which each failure has one.
var marks = []error{
	platform.ErrNotFound, platform.ErrConflict, platform.ErrUnavailable, platform.ErrUncertain,
}

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

// firstError returns the first error of checks that run in order until one
// fails.
func firstError(checks ...func() error) error {
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}
