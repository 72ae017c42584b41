// Package target describes the VMs and back ends that serve requests and caches which
// targets are live.
//
// Invariant: a VM that was once listed as leaving is never treated as live again under
// the same VM ID.
package target

// State is the lifecycle state of a VM.
type State string

// States of a VM in the platform's list.
const (
	StateJoining State = "joining"
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Role is the role of the process that runs on a VM.
type Role string

// Roles of a VM.
const (
	RoleRouter Role = "router"
	RoleAgent  Role = "agent"
)

// Kind distinguishes model engines from plain services.
type Kind string

// Kinds of targets.
const (
	KindModel   Kind = "model"
	KindService Kind = "service"
)

// VM is one entry of the platform's VM list. For an agent it also describes
// the target that runs next to it.
type VM struct {
	ID     string `cbor:"1,keyasint" json:"id"`
	Addr   string `cbor:"2,keyasint" json:"addr"` // IP:port of the process's fleet listener (UDP)
	Role   Role   `cbor:"3,keyasint" json:"role"`
	Region string `cbor:"4,keyasint" json:"region"`
	Domain string `cbor:"5,keyasint" json:"domain"` // failure domain
	Pool   string `cbor:"6,keyasint" json:"pool"`   // model or service name; set for agents only
	Kind   Kind   `cbor:"7,keyasint" json:"kind"`   // set for agents only
	State  State  `cbor:"8,keyasint" json:"state"`
}
