// Package engine declares how an agent meets its target, a model engine or a
// plain service, and the errors by which it tells a call that did not reach
// the target from one that may have run.
package engine

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Errors of a call to a target.
var (
	// ErrNotSent marks a call of which no byte reached the target.
	ErrNotSent = errors.New("call did not reach the target")
	// ErrTruncated marks an answer that ended before it was whole.
	ErrTruncated = errors.New("answer of the target was cut off")
	// ErrStalled marks an answer that made no progress in time.
	ErrStalled = errors.New("target made no progress")
	// ErrFenced marks a call refused by the target for its old fencing
	// number: it did not run.
	ErrFenced = errors.New("target refused the fencing number")
)

// Call is a request as the target gets it.
type Call struct {
	Attempt string
	Method  string
	Path    string // with query
	Header  http.Header
	Body    []byte
	Fence   uint64 // fencing number of the agent
}

// Frame is a piece of an answer's body.
type Frame struct {
	Data []byte
	// Units is the service that the frame stands for: tokens of a model; 0
	// for plain services, which are charged by time.
	Units int64
}

// Answer is an answer that has begun.
type Answer interface {
	Status() int
	Header() http.Header
	// Next returns the next piece, or io.EOF once the answer is whole. Other
	// errors are marked ErrTruncated or ErrStalled.
	Next(ctx context.Context) (Frame, error)
	// Close cancels the answer if it is not whole.
	Close() error
}

// Client calls one target.
type Client interface {
	// Do hands call to the target and returns when its answer begins. An
	// error marked ErrNotSent or ErrFenced means that the call did not run;
	// with any other error it may have.
	Do(ctx context.Context, call Call) (Answer, error)
	// Probe checks that the target is up and returns its start marker, which
	// differs after a restart of the target.
	Probe(ctx context.Context) (string, error)
}
