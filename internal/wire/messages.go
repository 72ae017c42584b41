package wire

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Types of messages. Types 1 to 63 are for request streams, types from 64 on for control
// streams.
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

// Offer requests a slot from an agent. The router opens one stream per offer. The body
// of the request is not part of it: it follows in Run once the offer is granted.
type Offer struct {
	Request      request.ID        `cbor:"1,keyasint"`
	Attempt      request.AttemptID `cbor:"2,keyasint"`
	Workspace    workspace.RowID   `cbor:"3,keyasint"`
	Pool         string            `cbor:"4,keyasint"`
	Class        request.Class     `cbor:"5,keyasint"`
	CostHint     int64             `cbor:"6,keyasint"`  // service units; 0: no hint
	Deadline     time.Duration     `cbor:"7,keyasint"`  // remaining time; 0: no deadline
	Claim        []byte            `cbor:"8,keyasint"`  // hash of workspace and idempotency key; empty if the request may be repeated
	Fingerprint  []byte            `cbor:"9,keyasint"`  // hash of workspace and content
	TableVersion uint64            `cbor:"10,keyasint"` // of the table that the router uses
	Region       string            `cbor:"11,keyasint"` // region of the router
	// Suspect is set when an attempt with this fingerprint was running when a
	// target crashed.
	Suspect bool `cbor:"12,keyasint,omitempty"`
	// Home is set when the agent is the home agent of this fingerprint, preferred
	// by rendezvous hash. The home agent counts the fingerprint as running until
	// the offer's stream ends, also when the request runs at another agent.
	Home bool `cbor:"13,keyasint,omitempty"`
}

// Queued reports that the offer waits at the agent. The router may then offer the
// request to other agents as well, unless Duplicate is set.
type Queued struct {
	Attempt request.AttemptID `cbor:"1,keyasint"`
	// Duplicate is set when a request with the same fingerprint is running.
	Duplicate bool `cbor:"2,keyasint,omitempty"`
	// Ahead is the number of offers that are queued at the agent.
	Ahead uint32 `cbor:"3,keyasint,omitempty"`
}

// Grant assigns a slot to the offer. The router responds with Run or Withdraw.
type Grant struct {
	Attempt request.AttemptID `cbor:"1,keyasint"`
	// ReservedFor is how long the slot stays reserved for Run.
	ReservedFor time.Duration `cbor:"2,keyasint"`
}

// Refuse reports that the attempt has not run and never will.
type Refuse struct {
	Attempt    request.AttemptID `cbor:"1,keyasint"`
	Reason     request.Reason    `cbor:"2,keyasint"`
	RetryAfter time.Duration     `cbor:"3,keyasint"`
	Detail     string            `cbor:"4,keyasint"`
	// Final is set when every other agent would refuse the request as well.
	Final bool `cbor:"5,keyasint"`
}

// Withdraw cancels an offer. The agent responds with Refuse if the attempt has not been
// accepted, and with Fail and OutcomeNotRun if it was accepted but not sent to the
// target. Once it was sent to the target, a request that may be repeated is cancelled
// there, and one that may not be repeated continues.
type Withdraw struct {
	Attempt request.AttemptID `cbor:"1,keyasint"`
	// Suspect reports to the home agent that the target of another agent crashed
	// while the request ran there. It may follow an earlier Withdraw.
	Suspect bool `cbor:"2,keyasint,omitempty"`
}

// Field is an HTTP header field.
type Field struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Run sends the request to the agent that granted its offer.
type Run struct {
	Attempt request.AttemptID `cbor:"1,keyasint"`
	Method  string            `cbor:"2,keyasint"`
	Path    string            `cbor:"3,keyasint"` // with query
	Header  []Field           `cbor:"4,keyasint"`
	Body    []byte            `cbor:"5,keyasint"`
}

// Accepted reports that the agent has received the request's body. From then on the
// attempt can be continued with Resume. The agent repeats it as a heartbeat while it has
// no further data of the answer, so that the router can tell a slow target from a stream
// that no longer delivers data.
type Accepted struct {
	Attempt request.AttemptID `cbor:"1,keyasint"`
}

// Head begins an answer with its status and header.
type Head struct {
	Attempt request.AttemptID `cbor:"1,keyasint"`
	Status  int               `cbor:"2,keyasint"`
	Header  []Field           `cbor:"3,keyasint"`
	// Replayed is set when the answer is the stored one of an earlier attempt
	// with the same idempotency key.
	Replayed bool `cbor:"4,keyasint"`
}

// Chunk is a part of an answer's body.
type Chunk struct {
	Attempt request.AttemptID `cbor:"1,keyasint"`
	Offset  uint64            `cbor:"2,keyasint"` // of Data in the body, in bytes
	Data    []byte            `cbor:"3,keyasint"`
}

// End ends an answer. An answer without it is incomplete.
//
// On the stream of a withdrawn offer to the home agent, the router sends End when the
// request has completed at another agent: the request did not crash its target.
type End struct {
	Attempt request.AttemptID `cbor:"1,keyasint"`
	Total   uint64            `cbor:"2,keyasint"` // bytes of the body
	Service int64             `cbor:"3,keyasint"` // service units charged
}

// Fail ends an attempt without a complete answer.
type Fail struct {
	Attempt    request.AttemptID `cbor:"1,keyasint"`
	Outcome    request.Outcome   `cbor:"2,keyasint"`
	Reason     request.Reason    `cbor:"3,keyasint"`
	RetryAfter time.Duration     `cbor:"4,keyasint"`
	Detail     string            `cbor:"5,keyasint"`
	// Suspect is set when the target crashed while the attempt ran.
	Suspect bool `cbor:"6,keyasint,omitempty"`
}

// Resume requests, on a new stream, the rest of an attempt's answer: the body from Offset
// on, preceded by Head if the field Head is set.
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
