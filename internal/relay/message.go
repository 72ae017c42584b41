package relay

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/target"
)

// Path is the HTTP path at which a gate serves its Feed to its peers.
const Path = "/relay"

// Revision is a revision of the metadata store. Numbers are comparable only within an era,
// which rises when the store is restored from an older copy.
type Revision struct {
	Era    int64
	Number int64
}

// Before reports whether r is older than other.
func (r Revision) Before(other Revision) bool {
	return r.Era < other.Era || r.Era == other.Era && r.Number < other.Number
}

// pollRequest describes the state of a member. It is zero in the first request to a relay,
// except for the table.
type pollRequest struct {
	Epoch int64 `cbor:"1,keyasint"` // epoch of the feed that issued Sequence
	// Sequence is the number of the last change of targets that the member applied.
	Sequence uint64 `cbor:"2,keyasint"`
	// TableVersion is the version of the member's table, 0 if it has none.
	TableVersion int64 `cbor:"3,keyasint"`
	// Confirmations is the value in the last response that the member applied.
	Confirmations uint64 `cbor:"4,keyasint"`
	// AnyAge requests the full cached state, regardless of its age.
	AnyAge bool `cbor:"5,keyasint,omitempty"`
	// TableDigest is the digest of the member's table: a version may have come again with
	// other content.
	TableDigest uint64 `cbor:"6,keyasint,omitempty"`
	// EvacuationChanges is the value in the last response that the member applied.
	EvacuationChanges uint64 `cbor:"7,keyasint,omitempty"`
}

// pollResponse holds the changes since the state that a pollRequest describes.
type pollResponse struct {
	Epoch    int64  `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
	// Full reports that Targets is the full list and not only the changes.
	Full    bool           `cbor:"3,keyasint"`
	Targets []wireInstance `cbor:"4,keyasint,omitempty"`
	Removed []string       `cbor:"5,keyasint,omitempty"` // IDs of removed targets
	// Revision is the number of the revision of the targets in the store, in TargetsEra.
	Revision int64 `cbor:"6,keyasint"`
	// Field 7 held the time since the relay's reconnection to the store; RecoveredRevision has
	// its position now.

	TableVersion int64 `cbor:"8,keyasint"`
	// Table is the table in the platform's encoding; empty if the member has it.
	Table []byte `cbor:"9,keyasint,omitempty"`
	// Confirmations counts the reads of the store that returned or confirmed the table.
	Confirmations uint64 `cbor:"10,keyasint"`
	// TableAge is the time between the relay's last confirmation of the table and the
	// arrival of the request; negative if the confirmation came later.
	TableAge   time.Duration `cbor:"11,keyasint"`
	TargetsEra int64         `cbor:"12,keyasint,omitempty"`
	TableEra   int64         `cbor:"13,keyasint,omitempty"`

	// EvacuationChanges counts the changes of the fields below.
	EvacuationChanges uint64 `cbor:"14,keyasint,omitempty"`
	// Evacuated lists the evacuated failure domains at a revision of the store.
	Evacuated          []string `cbor:"15,keyasint,omitempty"`
	EvacuationEra      int64    `cbor:"16,keyasint,omitempty"`
	EvacuationRevision int64    `cbor:"17,keyasint,omitempty"`
	// HeldEvacuations holds, by failure domain, how long an evacuation from before a restore
	// of the store goes on.
	HeldEvacuations map[string]time.Duration `cbor:"18,keyasint,omitempty"`

	// RecoveredRevision and RecoveredEra are the position of the first target list that the relay
	// read after it last lost the store for long enough that entries of live targets may have
	// expired; 0: never.
	RecoveredRevision int64 `cbor:"19,keyasint,omitempty"`
	RecoveredEra      int64 `cbor:"20,keyasint,omitempty"`
}

func (r *pollResponse) revision() Revision { return Revision{Era: r.TargetsEra, Number: r.Revision} }

func (r *pollResponse) recovered() Revision {
	return Revision{Era: r.RecoveredEra, Number: r.RecoveredRevision}
}

func (r *pollResponse) evacuations() target.EvacuationList {
	return target.EvacuationList{Domains: r.Evacuated, Era: r.EvacuationEra, Revision: r.EvacuationRevision, Held: r.HeldEvacuations}
}

// wireInstance is the wire format of a target.Instance.
type wireInstance struct {
	ID       string `cbor:"1,keyasint"`
	Addr     string `cbor:"2,keyasint"`
	Service  string `cbor:"3,keyasint"`
	Domain   string `cbor:"4,keyasint"`
	Slots    int    `cbor:"5,keyasint"`
	Draining bool   `cbor:"6,keyasint,omitempty"`
	Born     int64  `cbor:"7,keyasint"`
	// ColdReported and ColdLeft are those of the entry, ColdLeft as of the response.
	ColdReported bool          `cbor:"8,keyasint,omitempty"`
	ColdLeft     time.Duration `cbor:"9,keyasint,omitempty"`
}

// encodeInstance encodes an entry at now, on the clock of its ReportedColdUntil.
func encodeInstance(instance target.Instance, now time.Duration) wireInstance {
	return wireInstance{
		instance.ID, instance.Addr, instance.Service, instance.Domain, instance.Slots, instance.Draining, instance.StartedMillis,
		instance.ColdReported, max(instance.ReportedColdUntil-now, 0),
	}
}

// decode decodes an entry that was received at now. The time that it was on its way is not
// subtracted from ColdLeft.
func (w wireInstance) decode(now time.Duration) target.Instance {
	instance := target.Instance{
		ID: w.ID, Addr: w.Addr, Service: w.Service, Domain: w.Domain, Slots: w.Slots, Draining: w.Draining, StartedMillis: w.Born,
		ColdReported: w.ColdReported,
	}
	if w.ColdLeft > 0 {
		instance.ReportedColdUntil = now + w.ColdLeft
	}
	return instance
}
