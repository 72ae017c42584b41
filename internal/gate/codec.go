package gate

import (
	"net/http"
	"time"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/pace"
	"github.com/mastichollow/mastichollow/internal/prompt"
)

// RequestMeta is the metadata that a caller sends with its request.
type RequestMeta struct {
	ID  string // unique per attempt of the caller
	Key string // API key; empty: none
	// Timeout is how long the caller waits for the response; 0: unknown.
	Timeout      time.Duration
	Parts        []prompt.Part // of the prompt, in order
	PromptTokens int
	// MaxOutputTokens bounds the tokens to generate; LengthHint is the caller's
	// estimate of them. 0: unknown.
	MaxOutputTokens int
	LengthHint      int
	// LastEventID is the last event that the caller received of a stream that it
	// resumes; empty: a new stream.
	LastEventID string
}

// TargetMeta is the metadata that the gate sends to a target with a request.
type TargetMeta struct {
	TimeLeft    time.Duration // until the request's deadline
	TargetID    string        // intended target; any other must refuse
	Workspace   string        // empty: none
	LastEventID string        // resume after this event; empty: from the start
}

// ResponseMeta is the metadata of a target's response.
type ResponseMeta struct {
	// NotExecuted: the target states that it did not run the request.
	NotExecuted bool
	// Misdirected: another target responded and did not run the request.
	Misdirected bool
	// Sealed: the response carries the target's seal, which only its own successes
	// have.
	Sealed bool
	// Draining: the target accepts no new work from now on.
	Draining bool
	// Backoff is how long this gate must send nothing to a target that rejected the
	// request; 0: not requested.
	Backoff time.Duration
	// RequestLimit is what the response says about the target's request limit.
	RequestLimit admission.RequestLimit
	// Statement is what the target states about its load; the zero value: nothing.
	Statement pace.Statement
	// InvalidStatement: the target's statement about its load cannot be parsed.
	InvalidStatement bool
}

// Codec translates between HTTP header fields and the gate's types.
type Codec interface {
	// IDHeader returns the name of the field with the request's identifier.
	IDHeader() string
	// UniqueResponseFields returns the names of the fields that a target sends once per
	// response, in canonical form.
	UniqueResponseFields() []string
	// DecodeRequest reads the caller's metadata. It never fails: malformed values
	// count as missing.
	DecodeRequest(h http.Header) RequestMeta
	// DecodeSize reads the caller's metadata without the parts of the prompt, which take most
	// of the time.
	DecodeSize(h http.Header) RequestMeta
	// EncodeRequest returns the header fields for a target: the caller's fields that
	// may be forwarded, and those that the gate sets.
	EncodeRequest(caller http.Header, meta TargetMeta) http.Header
	// DecodeResponse reads the metadata of a target's response.
	DecodeResponse(status int, h http.Header) ResponseMeta
}
