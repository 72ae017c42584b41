package wire

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Types of messages on control streams, from 64 on.
const (
	TypeHello Type = iota + 64
	TypeReport
	TypeDigest
	TypeConfig
	TypePing
	TypePong
)

// newControlMessage returns an empty control message of type t, or nil.
func newControlMessage(t Type) Message {
	switch t {
	case TypeHello:
		return new(Hello)
	case TypeReport:
		return new(Report)
	case TypeDigest:
		return new(Digest)
	case TypeConfig:
		return new(Config)
	case TypePing:
		return new(Ping)
	case TypePong:
		return new(Pong)
	default:
		return nil
	}
}

// ProtocolVersion is the version of the messages in this package.
const ProtocolVersion = 1

// Hello opens a control stream from a member, or from a relay of another failure
// domain, to a relay.
type Hello struct {
	Protocol    uint   `cbor:"1,keyasint"`
	Member      string `cbor:"2,keyasint"` // VM ID
	Incarnation uint64 `cbor:"3,keyasint"` // differs between starts of the process
	Domain      string `cbor:"4,keyasint"`
	// Relay is set when the sender is a relay of another failure domain.
	Relay bool `cbor:"5,keyasint,omitempty"`
	// TableVersion is the table version that the sender uses; 0: none.
	TableVersion uint64 `cbor:"6,keyasint,omitempty"`
	// Standby requests that the relay send no digests. A later Hello on the
	// same stream may request them.
	Standby bool `cbor:"7,keyasint,omitempty"`
	// Pool is the pool of the member's target. The member receives the totals of
	// this pool only; if empty, those of all pools.
	Pool string `cbor:"8,keyasint,omitempty"`
}

// Total contains the usage totals of one workspace at one source. Service and Started
// only increase within an incarnation of the source; Running and Queued are current
// values. For a target's pool, agents are the sources, and Queued counts a request at
// its home agent only, so that each request counts once when totals of sources are
// added.
type Total struct {
	Workspace workspace.RowID `cbor:"1,keyasint"`
	Service   uint64          `cbor:"2,keyasint"` // service units
	Started   uint64          `cbor:"3,keyasint,omitempty"`
	Running   uint32          `cbor:"4,keyasint,omitempty"`
	Queued    uint32          `cbor:"5,keyasint,omitempty"`
}

// PoolTotals contains the totals of one pool at one source, with the pool's load there.
type PoolTotals struct {
	Pool   string  `cbor:"1,keyasint"`
	Free   uint32  `cbor:"2,keyasint,omitempty"` // free slots
	Queued uint32  `cbor:"3,keyasint,omitempty"` // queued offers
	Totals []Total `cbor:"4,keyasint,omitempty"` // those that changed since the previous report; all in a full report
}

// Report carries the totals of a member to the relays of its failure domain. On a
// stream, Packed replaces Pools, and Member and Incarnation are those of the Hello.
type Report struct {
	Member       string       `cbor:"1,keyasint,omitempty"`
	Incarnation  uint64       `cbor:"2,keyasint,omitempty"`
	Sequence     uint64       `cbor:"3,keyasint"`
	TableVersion uint64       `cbor:"4,keyasint"` // table version that the member uses
	Pools        []PoolTotals `cbor:"5,keyasint,omitempty"`
	// Full is set when Pools contains all totals: absent ones are zero.
	Full bool `cbor:"6,keyasint,omitempty"`
	// Packed contains Pools encoded by package fleet, as differences from the
	// earlier reports on the same stream since the last full one.
	Packed []byte `cbor:"7,keyasint,omitempty"`
}

// Digest carries the totals of one failure domain from the relay that aggregated them
// to other relays and to members. On a stream, Packed replaces Pools, and an absent
// Domain or Relay is that of the sender.
type Digest struct {
	Domain      string       `cbor:"1,keyasint,omitempty"`
	Relay       string       `cbor:"2,keyasint,omitempty"` // VM ID of the relay
	Incarnation uint64       `cbor:"3,keyasint,omitempty"`
	Sequence    uint64       `cbor:"4,keyasint,omitempty"`
	Pools       []PoolTotals `cbor:"5,keyasint,omitempty"`
	// Packed contains Pools encoded by package fleet, as differences from the
	// earlier digests on the same stream.
	Packed []byte `cbor:"6,keyasint,omitempty"`
	// Full is set when Pools contains all totals: absent ones are zero.
	Full bool `cbor:"7,keyasint,omitempty"`
}

// Config carries the table, the VM list and the suspects to members. An absent part
// has not changed.
type Config struct {
	Table *workspace.Table `cbor:"1,keyasint,omitempty"`
	// VMs contains the VMs that differ from those sent earlier on the same stream.
	VMs []target.VM `cbor:"2,keyasint,omitempty"`
	// VMsAge is the time since a relay read the VM list from the platform.
	VMsAge time.Duration `cbor:"3,keyasint,omitempty"`
	// Suspects contains all suspects; absent when unchanged.
	Suspects *SuspectList `cbor:"4,keyasint,omitempty"`
	// Stale is set when the sender cannot read from the platform.
	Stale bool `cbor:"5,keyasint,omitempty"`
	// RemovedVMs contains the IDs of the VMs that were removed from the list.
	RemovedVMs []string `cbor:"6,keyasint,omitempty"`
}

// SuspectList contains the fingerprints of the requests that ran when a target crashed.
type SuspectList struct {
	Suspects []Suspect `cbor:"1,keyasint"`
	// Age is the time since a relay read the list from the platform.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
}

// Suspect is the fingerprint of a request that ran when a target crashed.
type Suspect struct {
	Fingerprint []byte `cbor:"1,keyasint"`
	Quarantined bool   `cbor:"2,keyasint,omitempty"`
}

// Ping requests a Pong with the same number.
type Ping struct {
	Number uint64 `cbor:"1,keyasint"`
}

// Pong answers a Ping.
type Pong struct {
	Number uint64 `cbor:"1,keyasint"`
}

// Type implements Message.
func (*Hello) Type() Type { return TypeHello }

// Type implements Message.
func (*Report) Type() Type { return TypeReport }

// Type implements Message.
func (*Digest) Type() Type { return TypeDigest }

// Type implements Message.
func (*Config) Type() Type { return TypeConfig }

// Type implements Message.
func (*Ping) Type() Type { return TypePing }

// Type implements Message.
func (*Pong) Type() Type { return TypePong }
