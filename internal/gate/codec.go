package gate

import (
	"net/http"
	"time"

	"github.com/mastichollow/mastichollow/internal/admission"
)

// Meta is what a caller says of its request.
type Meta struct {
	ID  string // one for each attempt of the caller
	Key string // empty: none
	// Patience is how long the caller will wait; 0: not said.
	Patience time.Duration
	Parts    []admission.Part // of the prompt, in order
	Prompt   int              // tokens
	// MaxOutput bounds the tokens to generate, LengthHint is the caller's guess
	// of them; 0: not said.
	MaxOutput  int
	LengthHint int
	// LastEvent is the last event of a broken stream that the caller has seen.
	LastEvent string
}

// Outbound is what the gate tells a target of a request.
type Outbound struct {
	Left      time.Duration // until nobody waits for the answer
	Instance  string        // the target meant; another one must refuse
	Workspace string        // empty: none
	LastEvent string        // empty: from the start
}

// Verdict is what a target's answer says of itself.
type Verdict struct {
	// NotRun: the target says that it did not run the request.
	NotRun bool
	// Misdirected: another target answered, which did not run the request.
	Misdirected bool
	// Genuine: the answer bears the mark of a target's own success.
	Genuine bool
	// Leaving: the target takes no new work from now on.
	Leaving bool
	// Pause is how long a target that rejected the request wants nothing from
	// this gate; 0: not said.
	Pause time.Duration
}

// Codec translates between header fields on the wire and the gate's types.
type Codec interface {
	// IDHeader names the field with the request's identifier.
	IDHeader() string
	// Decode reads what the caller says. It never fails: what cannot be read
	// counts as not said.
	Decode(h http.Header) Meta
	// Outbound returns the fields for a target: those of the caller that may
	// pass, and those that the gate sets.
	Outbound(caller http.Header, o Outbound) http.Header
	// Verdict reads what an answer says of itself.
	Verdict(status int, h http.Header) Verdict
}
