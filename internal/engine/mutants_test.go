package engine_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/engine"
	"github.com/mastichollow/mastichollow/internal/engine/enginetest"
)

// broken is a client with parts replaced.
type broken struct {
	engine.Client
	call   func(engine.Call) engine.Call                                    // changes the call
	failed func(context.Context, engine.Call, error) (engine.Answer, error) // replaces the error of Do
	next   func(engine.Frame, error) (engine.Frame, error)                  // changes what Next returns
	close  func(engine.Answer) error
}

func (b broken) Do(ctx context.Context, call engine.Call) (engine.Answer, error) {
	if b.call != nil {
		call = b.call(call)
	}
	answer, err := b.Client.Do(ctx, call)
	if err != nil && b.failed != nil {
		return b.failed(ctx, call, err)
	}
	if err != nil {
		return nil, err
	}
	return brokenAnswer{answer, b}, nil
}

type brokenAnswer struct {
	engine.Answer
	broken broken
}

func (a brokenAnswer) Next(ctx context.Context) (engine.Frame, error) {
	frame, err := a.Answer.Next(ctx)
	if a.broken.next != nil {
		return a.broken.next(frame, err)
	}
	return frame, err
}

func (a brokenAnswer) Close() error {
	if a.broken.close != nil {
		return a.broken.close(a.Answer)
	}
	return a.Answer.Close()
}

// mutate makes a mutant of a client.
type mutate func(engine.Client) engine.Client

// withError is a client whose calls fail with to instead of from.
func withError(from, to error) mutate {
	return func(c engine.Client) engine.Client {
		return broken{Client: c, failed: func(_ context.Context, _ engine.Call, err error) (engine.Answer, error) {
			if errors.Is(err, from) {
				err = to
			}
			return nil, err
		}}
	}
}

// withNext is a client whose frames and errors of reads are changed.
func withNext(change func(engine.Frame, error) (engine.Frame, error)) mutate {
	return func(c engine.Client) engine.Client { return broken{Client: c, next: change} }
}

// withReadError is a client whose reads fail with to instead of from.
func withReadError(from, to error) mutate {
	return withNext(func(frame engine.Frame, err error) (engine.Frame, error) {
		if errors.Is(err, from) {
			err = to
		}
		return frame, err
	})
}

// withCall is a client whose calls are changed.
func withCall(change func(*engine.Call)) mutate {
	return func(c engine.Client) engine.Client {
		return broken{Client: c, call: func(call engine.Call) engine.Call { change(&call); return call }}
	}
}

// sendTwice is a client that repeats a call that failed.
func sendTwice(c engine.Client) engine.Client {
	return broken{Client: c, failed: func(ctx context.Context, call engine.Call, _ error) (engine.Answer, error) {
		return c.Do(ctx, call)
	}}
}

// closeLate is a client whose answers are closed long after they should be.
func closeLate(c engine.Client) engine.Client {
	return broken{Client: c, close: func(a engine.Answer) error {
		time.AfterFunc(abandoned, func() { a.Close() })
		return nil
	}}
}

// brokenProbe is a client whose probe always succeeds.
type brokenProbe struct{ engine.Client }

func (brokenProbe) Probe(context.Context) (string, error) { return "", nil }

func probeBlindly(c engine.Client) engine.Client { return brokenProbe{c} }

func countOneUnit(f engine.Frame, err error) (engine.Frame, error) {
	f.Units = 1
	return f, err
}

func addSpace(f engine.Frame, err error) (engine.Frame, error) {
	f.Data = append(f.Data, ' ')
	return f, err
}

// abandoned is how long a mutant leaves an answer open, longer than its check
// lasts.
const abandoned = 2 * time.Hour

func TestClientContractFindsMutants(t *testing.T) {
	for name, mutant := range map[string]struct {
		make  mutate
		fails string
	}{
		"cut answer as whole":           {withReadError(engine.ErrTruncated, io.EOF), "cut before the end: truncated"},
		"stall as cut":                  {withReadError(engine.ErrStalled, engine.ErrTruncated), "no progress in the body: stalled"},
		"cut call as not sent":          {withError(engine.ErrTruncated, engine.ErrNotSent), "cut before the head: truncated, sent once"},
		"cancelled call as not sent":    {withError(engine.ErrTruncated, engine.ErrNotSent), "end of the caller's context ends a call that may run"},
		"cut call sent again":           {sendTwice, "cut before the head: truncated, sent once"},
		"unreachable as cut":            {withError(engine.ErrNotSent, engine.ErrTruncated), "unreachable target: call is not sent"},
		"fenced as not sent":            {withError(engine.ErrFenced, engine.ErrNotSent), "refused fencing number"},
		"units not counted":             {withNext(countOneUnit), "whole answer ends with EOF"},
		"piece changed":                 {withNext(addSpace), "whole answer ends with EOF"},
		"fence not passed on":           {withCall(func(c *engine.Call) { c.Fence = 0 }), "call arrives as it was made"},
		"idempotency key not passed on": {withCall(func(c *engine.Call) { c.Header = nil }), "call arrives as it was made"},
		"close without effect":          {closeLate, "close cancels the call"},
		"probe always succeeds":         {probeBlindly, "probe of an unreachable target fails"},
		"probe without a marker":        {probeBlindly, "probe returns the start marker"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
				defer cancel()
				c := findCase(t, mutant.fails)
				subject := kinds()["stream"].newSubject(t, c.Target, serve)
				require.NoError(t, c.Check(ctx, subject), "client as it is")
				subject = kinds()["stream"].newSubject(t, c.Target, serve)
				subject.Client = mutant.make(subject.Client)
				require.Error(t, c.Check(ctx, subject))
				time.Sleep(abandoned) // the answers that a mutant left open end
			})
		})
	}
}

func findCase(t *testing.T, name string) enginetest.Case {
	for _, c := range enginetest.Cases() {
		if c.Name == name {
			return c
		}
	}
	t.Fatalf("contract has no case %q", name)
	return enginetest.Case{}
}
