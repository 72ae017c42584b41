package wire

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Types of messages. Types 1 to 63 belong to the path of a request, types from
// 64 on to the control streams.
const (
	TypeOffer Type = iota + 1
	TypeGrant
	TypeRefuse
	TypeWithdraw
	TypeRun
	TypeHead
	TypeChunk
	TypeEnd
	TypeFail
	TypeResume
	TypeAccepted
	TypeQueued
)

// newMessage returns an empty message of type t, or nil.
func newMessage(t Type) Message {
	switch t {
	case TypeOffer:
		return new(Offer)
	case TypeGrant:
		return new(Grant)
	case TypeRefuse:
		return new(Refuse)
	case TypeWithdraw:
		return new(Withdraw)
	case TypeRun:
		return new(Run)
	case TypeHead:
		return new(Head)
	case TypeChunk:
		return new(Chunk)
	case TypeEnd:
		return new(End)
	case TypeFail:
		return new(Fail)
	case TypeResume:
		return new(Resume)
	case TypeAccepted:
		return new(Accepted)
	case TypeQueued:
		return new(Queued)
	default:
		return newControlMessage(t)
	}
}

// Offer asks an agent for a slot. The router opens one stream per offer; the
// body of the request follows in Run once the offer is granted.
type Offer struct {
	Request     request.ID        `cbor:"1,keyasint"`
	Attempt     request.AttemptID `cbor:"2,keyasint"`
	Workspace   workspace.RowID   `cbor:"3,keyasint"`
	Pool        string            `cbor:"4,keyasint"`
	Class       request.Class     `cbor:"5,keyasint"`
	CostHint    int64             `cbor:"6,keyasint"` // service units, 0: none
	Deadline    time.Duration     `cbor:"7,keyasint"` // time left
	Claim       []byte            `cbor:"8,keyasint"` // hash of workspace and idempotency key; empty: may be repeated
	Fingerprint []byte            `cbor:"9,keyasint"` // hash of workspace and content
	Version     uint64            `cbor:"10,keyasint"`
	Region      string            `cbor:"11,keyasint"` // region of the router
	// Suspect is set when an attempt with this fingerprint ran at a crash of
	// a target.
	Suspect bool `cbor:"12,keyasint,omitempty"`
	// Home is set when the agent is the first choice for this fingerprint.
	// The home agent counts the fingerprint as running until the offer's
	// stream ends, wherever the request runs.
	Home bool `cbor:"13,keyasint,omitempty"`
}

// Queued says that the offer waits at the agent. The router may offer the
// request to other agents as well, unless Duplicate is set.
type Queued struct {
	Attempt request.AttemptID `cbor:"1,keyasint"`
	// Duplicate says that a request with the same fingerprint is running.
	Duplicate bool `cbor:"2,keyasint,omitempty"`
	// Ahead is the number of offers that wait at the agent.
	Ahead uint32 `cbor:"3,keyasint,omitempty"`
}

// Grant gives the offer a slot. The router answers with Run or Withdraw.
type Grant struct {
	Attempt request.AttemptID `cbor:"1,keyasint"`
	// Hold is how long the slot is kept for Run.
	Hold time.Duration `cbor:"2,keyasint"`
}

// Refuse says that the attempt has not run and never will.
type Refuse struct {
	Attempt    request.AttemptID `cbor:"1,keyasint"`
	Reason     request.Reason    `cbor:"2,keyasint"`
	RetryAfter time.Duration     `cbor:"3,keyasint"`
	Detail     string            `cbor:"4,keyasint"`
	// Final says that no other agent would take the request either.
	Final bool `cbor:"5,keyasint"`
}

// Withdraw takes an offer back. The agent answers with Refuse when the attempt
// has not been accepted, and with Fail and OutcomeNotRun when it was accepted
// but not handed to the target. Later, a request that may be repeated is
// cancelled at the target, and one that may not goes on.
type Withdraw struct {
	Attempt request.AttemptID `cbor:"1,keyasint"`
	// Suspect tells the home agent that the request ran at the crash of a
	// target elsewhere. It may be sent after an earlier Withdraw.
	Suspect bool `cbor:"2,keyasint,omitempty"`
}

// Field is a header field of HTTP.
type Field struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Run hands the request to the agent that granted its offer.
type Run struct {
	Attempt request.AttemptID `cbor:"1,keyasint"`
	Method  string            `cbor:"2,keyasint"`
	Path    string            `cbor:"3,keyasint"` // with query
	Header  []Field           `cbor:"4,keyasint"`
	Body    []byte            `cbor:"5,keyasint"`
}

// Accepted says that the agent holds the request's body. From here on the
// attempt can be asked for with Resume. It is repeated as a heartbeat while there
// is no more of the answer, which tells a slow target from a silent stream.
type Accepted struct {
	Attempt request.AttemptID `cbor:"1,keyasint"`
}

// Head begins an answer.
type Head struct {
	Attempt request.AttemptID `cbor:"1,keyasint"`
	Status  int               `cbor:"2,keyasint"`
	Header  []Field           `cbor:"3,keyasint"`
	// Replayed says that the answer is that of an earlier attempt under the
	// same idempotency key.
	Replayed bool `cbor:"4,keyasint"`
}

// Chunk is a piece of an answer's body.
type Chunk struct {
	Attempt request.AttemptID `cbor:"1,keyasint"`
	Offset  uint64            `cbor:"2,keyasint"` // of the first byte in the body
	Data    []byte            `cbor:"3,keyasint"`
}

// End ends an answer. Without it an answer is not whole.
//
// On the stream of a home offer that it has withdrawn, the router sends End when
// the request ended with a whole answer elsewhere: the fingerprint did not crash
// its target.
type End struct {
	Attempt request.AttemptID `cbor:"1,keyasint"`
	Total   uint64            `cbor:"2,keyasint"` // bytes of the body
	Service int64             `cbor:"3,keyasint"` // service units charged
}

// Fail ends an attempt without a whole answer.
type Fail struct {
	Attempt    request.AttemptID `cbor:"1,keyasint"`
	Outcome    request.Outcome   `cbor:"2,keyasint"`
	Reason     request.Reason    `cbor:"3,keyasint"`
	RetryAfter time.Duration     `cbor:"4,keyasint"`
	Detail     string            `cbor:"5,keyasint"`
	// Suspect says that the target crashed while the attempt ran.
	Suspect bool `cbor:"6,keyasint,omitempty"`
}

// Resume asks, on a new stream, for the rest of an attempt's answer: the body
// from Offset on, and the Head before it when Head is set.
type Resume struct {
	Attempt request.AttemptID `cbor:"1,keyasint"`
	Offset  uint64            `cbor:"2,keyasint"`
	Head    bool              `cbor:"3,keyasint"`
}

// Type implements Message.
func (*Offer) Type() Type { return TypeOffer }

// Type implements Message.
func (*Grant) Type() Type { return TypeGrant }

// Type implements Message.
func (*Refuse) Type() Type { return TypeRefuse }

// Type implements Message.
func (*Withdraw) Type() Type { return TypeWithdraw }

// Type implements Message.
func (*Run) Type() Type { return TypeRun }

// Type implements Message.
func (*Accepted) Type() Type { return TypeAccepted }

// Type implements Message.
func (*Head) Type() Type { return TypeHead }

// Type implements Message.
func (*Chunk) Type() Type { return TypeChunk }

// Type implements Message.
func (*End) Type() Type { return TypeEnd }

// Type implements Message.
func (*Fail) Type() Type { return TypeFail }

// Type implements Message.
func (*Resume) Type() Type { return TypeResume }

// Type implements Message.
func (*Queued) Type() Type { return TypeQueued }
