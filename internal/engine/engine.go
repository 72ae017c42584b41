// Package engine contains the HTTP clients by which an agent calls its target, a
// model engine or a plain service. Their errors distinguish a call that did not
// reach the target, which may be retried at another target, from one that may have run.
// A client sends a call at most once and reports an answer as complete only if
// the protocol shows its end.
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
	// ErrTruncated marks an answer that ended before it was complete.
	ErrTruncated = errors.New("answer of the target was cut off")
	// ErrStalled marks an answer of which no byte arrived within the client's
	// time limit.
	ErrStalled = errors.New("target made no progress")
	// ErrFenced marks a call that the target rejected because it has seen a
	// higher fencing number: the call did not run.
	ErrFenced = errors.New("target refused the fencing number")
)

// Call is a request to a target.
type Call struct {
	Attempt string // attempt ID
	Method  string
	Path    string // with query
	Header  http.Header
	Body    []byte
	Fence   uint64 // fencing number of the agent
}

// Frame is a part of an answer's body.
type Frame struct {
	Data []byte
	// Units is the number of service units to charge for the frame: tokens of a
	// model; 0 for plain services, which are charged by time.
	Units int64
}

// Answer is an answer whose header has arrived.
type Answer interface {
	Status() int
	Header() http.Header
	// Next returns the next part of the body, or io.EOF once the answer is
	// complete. Other errors are marked ErrTruncated or ErrStalled.
	Next(ctx context.Context) (Frame, error)
	// Close cancels the call if its answer is not complete.
	Close() error
}

// Client calls one target.
type Client interface {
	// Do sends call to the target and returns when the header of its answer has
	// arrived. An error marked ErrNotSent or ErrFenced means that the call did
	// not run; after any other error it may have run.
	Do(ctx context.Context, call Call) (Answer, error)
	// Probe checks that the target is up and returns its start marker, which
	// changes when the target restarts.
	Probe(ctx context.Context) (string, error)
}
