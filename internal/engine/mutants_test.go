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

// replaceError replaces errors marked from by to.
func replaceError(from, to error) func(context.Context, engine.Call, error) (engine.Answer, error) {
	return func(_ context.Context, _ engine.Call, err error) (engine.Answer, error) {
		if errors.Is(err, from) {
			return nil, to
		}
		return nil, err
	}
}

// replaceNext replaces errors of Next marked from by to.
func replaceNext(from, to error) func(engine.Frame, error) (engine.Frame, error) {
	return func(frame engine.Frame, err error) (engine.Frame, error) {
		if errors.Is(err, from) {
			return frame, to
		}
		return frame, err
	}
}

// brokenProbe is a client whose probe always succeeds.
type brokenProbe struct{ engine.Client }

func (brokenProbe) Probe(context.Context) (string, error) { return "", nil }

// abandoned is how long a mutant leaves an answer open, longer than its check
// lasts.
const abandoned = 2 * time.Hour

func TestClientContractFindsMutants(t *testing.T) {
	for name, mutant := range map[string]struct {
		make  func(engine.Client) engine.Client
		fails string
	}{
		"cut answer as whole": {
			func(c engine.Client) engine.Client {
				return broken{Client: c, next: replaceNext(engine.ErrTruncated, io.EOF)}
			},
			"cut before the end: truncated",
		},
		"stall as cut": {
			func(c engine.Client) engine.Client {
				return broken{Client: c, next: replaceNext(engine.ErrStalled, engine.ErrTruncated)}
			},
			"no progress in the body: stalled",
		},
		"cut call as not sent": {
			func(c engine.Client) engine.Client {
				return broken{Client: c, failed: replaceError(engine.ErrTruncated, engine.ErrNotSent)}
			},
			"cut before the head: truncated, sent once",
		},
		"cancelled call as not sent": {
			func(c engine.Client) engine.Client {
				return broken{Client: c, failed: replaceError(engine.ErrTruncated, engine.ErrNotSent)}
			},
			"end of the caller's context ends a call that may run",
		},
		"cut call sent again": {
			func(c engine.Client) engine.Client {
				return broken{Client: c, failed: func(ctx context.Context, call engine.Call, _ error) (engine.Answer, error) {
					return c.Do(ctx, call)
				}}
			},
			"cut before the head: truncated, sent once",
		},
		"unreachable as cut": {
			func(c engine.Client) engine.Client {
				return broken{Client: c, failed: replaceError(engine.ErrNotSent, engine.ErrTruncated)}
			},
			"unreachable target: call is not sent",
		},
		"fenced as not sent": {
			func(c engine.Client) engine.Client {
				return broken{Client: c, failed: replaceError(engine.ErrFenced, engine.ErrNotSent)}
			},
			"refused fencing number",
		},
		"units not counted": {
			func(c engine.Client) engine.Client {
				return broken{Client: c, next: func(f engine.Frame, err error) (engine.Frame, error) {
					f.Units = 1
					return f, err
				}}
			},
			"whole answer ends with EOF",
		},
		"piece changed": {
			func(c engine.Client) engine.Client {
				return broken{Client: c, next: func(f engine.Frame, err error) (engine.Frame, error) {
					f.Data = append(f.Data, ' ')
					return f, err
				}}
			},
			"whole answer ends with EOF",
		},
		"fence not passed on": {
			func(c engine.Client) engine.Client {
				return broken{Client: c, call: func(call engine.Call) engine.Call { call.Fence = 0; return call }}
			},
			"call arrives as it was made",
		},
		"idempotency key not passed on": {
			func(c engine.Client) engine.Client {
				return broken{Client: c, call: func(call engine.Call) engine.Call { call.Header = nil; return call }}
			},
			"call arrives as it was made",
		},
		"close without effect": {
			func(c engine.Client) engine.Client {
				return broken{Client: c, close: func(a engine.Answer) error {
					time.AfterFunc(abandoned, func() { a.Close() })
					return nil
				}}
			},
			"close cancels the call",
		},
		"probe always succeeds": {
			func(c engine.Client) engine.Client { return brokenProbe{c} },
			"probe of an unreachable target fails",
		},
		"probe without a marker": {
			func(c engine.Client) engine.Client { return brokenProbe{c} },
			"probe returns the start marker",
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
				defer cancel()
				c := findCase(t, mutant.fails)
				subject := kinds()["stream"].newSubject(t, c.Target)
				require.NoError(t, c.Check(ctx, subject), "client as it is")
				subject = kinds()["stream"].newSubject(t, c.Target)
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
