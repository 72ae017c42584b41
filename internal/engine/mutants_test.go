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

// brokenClient is a client with parts replaced to violate the contract. Nil functions
// change nothing.
type brokenClient struct {
	engine.Client
	changeCall   func(engine.Call) engine.Call                                    // changes the call
	replaceError func(context.Context, engine.Call, error) (engine.Answer, error) // replaces the error of Do
	changeFrame  func(engine.Frame, error) (engine.Frame, error)                  // changes what Next returns
	closeAnswer  func(engine.Answer) error
}

func (b brokenClient) Do(ctx context.Context, call engine.Call) (engine.Answer, error) {
	if b.changeCall != nil {
		call = b.changeCall(call)
	}
	answer, err := b.Client.Do(ctx, call)
	if err != nil && b.replaceError != nil {
		return b.replaceError(ctx, call, err)
	}
	if err != nil {
		return nil, err
	}
	return brokenAnswer{answer, b}, nil
}

type brokenAnswer struct {
	engine.Answer
	broken brokenClient
}

func (a brokenAnswer) Next(ctx context.Context) (engine.Frame, error) {
	frame, err := a.Answer.Next(ctx)
	if a.broken.changeFrame != nil {
		return a.broken.changeFrame(frame, err)
	}
	return frame, err
}

func (a brokenAnswer) Close() error {
	if a.broken.closeAnswer != nil {
		return a.broken.closeAnswer(a.Answer)
	}
	return a.Answer.Close()
}

// mutation returns a faulty variant of a client.
type mutation func(engine.Client) engine.Client

// withCallError replaces the error from of calls by to.
func withCallError(from, to error) mutation {
	return func(c engine.Client) engine.Client {
		return brokenClient{Client: c, replaceError: func(_ context.Context, _ engine.Call, err error) (engine.Answer, error) {
			if errors.Is(err, from) {
				err = to
			}
			return nil, err
		}}
	}
}

// withFrameChange changes the frames and errors of reads.
func withFrameChange(change func(engine.Frame, error) (engine.Frame, error)) mutation {
	return func(c engine.Client) engine.Client { return brokenClient{Client: c, changeFrame: change} }
}

// withFrameError replaces the error from of reads by to.
func withFrameError(from, to error) mutation {
	return withFrameChange(func(frame engine.Frame, err error) (engine.Frame, error) {
		if errors.Is(err, from) {
			err = to
		}
		return frame, err
	})
}

// withCallChange changes the calls.
func withCallChange(change func(*engine.Call)) mutation {
	return func(c engine.Client) engine.Client {
		return brokenClient{Client: c, changeCall: func(call engine.Call) engine.Call { change(&call); return call }}
	}
}

// withRepeatedCall repeats a call that failed.
func withRepeatedCall(c engine.Client) engine.Client {
	return brokenClient{Client: c, replaceError: func(ctx context.Context, call engine.Call, _ error) (engine.Answer, error) {
		return c.Do(ctx, call)
	}}
}

// withLateClose delays the close of answers by openAnswerDuration.
func withLateClose(c engine.Client) engine.Client {
	return brokenClient{Client: c, closeAnswer: func(a engine.Answer) error {
		time.AfterFunc(openAnswerDuration, func() { a.Close() })
		return nil
	}}
}

// alwaysHealthyClient is a client whose probe always succeeds.
type alwaysHealthyClient struct{ engine.Client }

func (alwaysHealthyClient) Probe(context.Context) (string, error) { return "", nil }

func alwaysHealthyProbe(c engine.Client) engine.Client { return alwaysHealthyClient{c} }

func setOneUnit(f engine.Frame, err error) (engine.Frame, error) {
	f.Units = 1
	return f, err
}

func appendSpace(f engine.Frame, err error) (engine.Frame, error) {
	f.Data = append(f.Data, ' ')
	return f, err
}

// openAnswerDuration is how long withLateClose leaves an answer open, which is longer
// than a case may run.
const openAnswerDuration = 2 * time.Hour

func TestClientContractFindsMutants(t *testing.T) {
	for name, mutant := range map[string]struct {
		make  mutation
		fails string
	}{
		"truncated answer as complete":  {withFrameError(engine.ErrTruncated, io.EOF), "connection closed before the end: truncated"},
		"stall as truncation":           {withFrameError(engine.ErrStalled, engine.ErrTruncated), "no progress in the body: stalled"},
		"truncated call as not sent":    {withCallError(engine.ErrTruncated, engine.ErrNotSent), "connection closed before the header: truncated, sent once"},
		"cancelled call as not sent":    {withCallError(engine.ErrTruncated, engine.ErrNotSent), "cancelled context ends a call that may run"},
		"truncated call sent again":     {withRepeatedCall, "connection closed before the header: truncated, sent once"},
		"unreachable as truncation":     {withCallError(engine.ErrNotSent, engine.ErrTruncated), "unreachable target: call is not sent"},
		"fenced as not sent":            {withCallError(engine.ErrFenced, engine.ErrNotSent), "rejected fencing number"},
		"units not counted":             {withFrameChange(setOneUnit), "complete answer ends with EOF"},
		"body changed":                  {withFrameChange(appendSpace), "complete answer ends with EOF"},
		"fencing number not forwarded":  {withCallChange(func(c *engine.Call) { c.Fence = 0 }), "call arrives unchanged"},
		"idempotency key not forwarded": {withCallChange(func(c *engine.Call) { c.Header = nil }), "call arrives unchanged"},
		"close without effect":          {withLateClose, "close cancels the call"},
		"probe always succeeds":         {alwaysHealthyProbe, "probe of an unreachable target fails"},
		"probe without a marker":        {alwaysHealthyProbe, "probe returns the start marker"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
				defer cancel()
				c := contractCase(t, mutant.fails)
				subject := answerKinds()["stream"].newSubject(t, c.Behaviour, serve)
				require.NoError(t, c.Check(ctx, subject), "unchanged client")
				subject = answerKinds()["stream"].newSubject(t, c.Behaviour, serve)
				subject.Client = mutant.make(subject.Client)
				require.Error(t, c.Check(ctx, subject))
				time.Sleep(openAnswerDuration) // until withLateClose has closed its answers
			})
		})
	}
}

func contractCase(t *testing.T, name string) enginetest.Case {
	for _, c := range enginetest.Cases() {
		if c.Name == name {
			return c
		}
	}
	t.Fatalf("contract has no case %q", name)
	return enginetest.Case{}
}
