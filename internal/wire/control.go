package wire

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// Types of messages on control streams.
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

// Hello opens a control stream from a member to a relay.
type Hello struct {
	Protocol    uint   `cbor:"1,keyasint"`
	Member      string `cbor:"2,keyasint"` // VM ID
	Incarnation uint64 `cbor:"3,keyasint"` // differs for each start of the process
	Domain      string `cbor:"4,keyasint"`
	// Relay is set when the sender is a relay of another failure domain.
	Relay bool `cbor:"5,keyasint,omitempty"`
	// Version is the table version in force at the sender, 0: none.
	Version uint64 `cbor:"6,keyasint,omitempty"`
	// Standby asks the relay to send no digests; a later Hello on the same
	// stream may ask for them.
	Standby bool `cbor:"7,keyasint,omitempty"`
	// Pool is the pool of the member's target, whose sums alone it gets. Empty:
	// it gets all.
	Pool string `cbor:"8,keyasint,omitempty"`
}

// Sum is what one workspace has got at one source. Service and Started only
// grow within an incarnation of the source; Running and Queued are the latest
// figures. In the pool of a target agents report, and Queued counts a request
// at its home agent only, so that each counts once wherever sums are added up.
type Sum struct {
	Workspace workspace.RowID `cbor:"1,keyasint"`
	Service   uint64          `cbor:"2,keyasint"` // service units
	Started   uint64          `cbor:"3,keyasint,omitempty"`
	Running   uint32          `cbor:"4,keyasint,omitempty"`
	Queued    uint32          `cbor:"5,keyasint,omitempty"`
}

// PoolSums are the sums of one pool at one source, with its load.
type PoolSums struct {
	Pool   string `cbor:"1,keyasint"`
	Free   uint32 `cbor:"2,keyasint,omitempty"` // free slots
	Queued uint32 `cbor:"3,keyasint,omitempty"` // waiting offers
	Sums   []Sum  `cbor:"4,keyasint,omitempty"` // those that changed since the last report; all in a full one
}

// Report goes from a member to the relays of its failure domain. On a stream
// Pools goes as Packed, and Member and Incarnation are those of the Hello.
type Report struct {
	Member      string     `cbor:"1,keyasint,omitempty"`
	Incarnation uint64     `cbor:"2,keyasint,omitempty"`
	Sequence    uint64     `cbor:"3,keyasint"`
	Confirmed   uint64     `cbor:"4,keyasint"` // table version in force at the member
	Pools       []PoolSums `cbor:"5,keyasint,omitempty"`
	// Full says that Pools has all sums: those that it lacks are zero.
	Full bool `cbor:"6,keyasint,omitempty"`
	// Packed holds Pools as differences to the reports before it on the same
	// stream, from the last full one on, in the encoding of package fleet.
	Packed []byte `cbor:"7,keyasint,omitempty"`
}

// Digest carries the sums of one failure domain, from the relay that added
// them up to other relays and to members. On a stream Pools goes as Packed, and
// an absent Domain or Relay is that of the sender.
type Digest struct {
	Domain      string     `cbor:"1,keyasint,omitempty"`
	Relay       string     `cbor:"2,keyasint,omitempty"` // VM ID of the relay
	Incarnation uint64     `cbor:"3,keyasint,omitempty"`
	Sequence    uint64     `cbor:"4,keyasint,omitempty"`
	Pools       []PoolSums `cbor:"5,keyasint,omitempty"`
	// Packed holds Pools as differences to the digests before it on the same
	// stream, in the encoding of package fleet.
	Packed []byte `cbor:"6,keyasint,omitempty"`
	// Full says that Pools has all sums: those that it lacks are zero.
	Full bool `cbor:"7,keyasint,omitempty"`
}

// Config carries the table and the VM list to members. An absent part has not
// changed. VMs holds the VMs that differ from those sent before on the same
// stream.
type Config struct {
	Table *workspace.Table `cbor:"1,keyasint,omitempty"`
	VMs   []target.VM      `cbor:"2,keyasint,omitempty"`
	// VMsAge is the time since a relay read VMs from the platform.
	VMsAge time.Duration `cbor:"3,keyasint,omitempty"`
	// Suspects are all fingerprints under suspicion; absent when unchanged.
	Suspects *SuspectList `cbor:"4,keyasint,omitempty"`
	// Stale says that the sender cannot read the platform.
	Stale bool `cbor:"5,keyasint,omitempty"`
	// Gone are the IDs of the VMs that are no longer listed.
	Gone []string `cbor:"6,keyasint,omitempty"`
}

// SuspectList holds the fingerprints of requests that ran at the crash of a
// target.
type SuspectList struct {
	Suspects []Suspect `cbor:"1,keyasint"`
	// Age is the time since a relay read the list from the platform.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
}

// Suspect is the fingerprint of a request that ran at the crash of a target.
type Suspect struct {
	Fingerprint []byte `cbor:"1,keyasint"`
	Quarantined bool   `cbor:"2,keyasint,omitempty"`
}

// Ping asks for a Pong with the same number.
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
