package claim

import (
	"bytes"
	"encoding/hex"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/request"
)

// state is the state of a claim.
type state uint8

const (
	// stateStarted: the claim's attempt may have run, may be running or may still run.
	stateStarted state = iota + 1
	// stateReleased: the claim's attempt has not run and never will.
	stateReleased
	// stateCompleted: the claim's attempt has run; the record has its answer.
	stateCompleted
)

// record is a claim as stored in the table service.
type record struct {
	State       state             `cbor:"1,keyasint"`
	Attempt     request.AttemptID `cbor:"2,keyasint"`
	Fingerprint []byte            `cbor:"3,keyasint"`
	Answer      *Answer           `cbor:"4,keyasint,omitempty"` // without the body when Object is set
	Object      string            `cbor:"5,keyasint,omitempty"` // key of the body in the object store
	// BodyDropped says that the body was too large to be stored.
	BodyDropped bool `cbor:"6,keyasint,omitempty"`
}

// encode returns the stored form of the record.
func (r *record) encode() ([]byte, error) {
	data, err := cbor.Marshal(r)
	return data, errors.Wrap(err, "encoding a claim")
}

func decodeRecord(item platform.Item) (*record, error) {
	r := new(record)
	if err := cbor.Unmarshal(item.Value, r); err != nil {
		return nil, errors.Wrapf(err, "claim %q is malformed", item.Key)
	}
	return r, nil
}

// checkFingerprint returns an error marked ErrKeyReused unless the record belongs to a
// request with the same fingerprint.
func (r *record) checkFingerprint(key Key, fingerprint []byte) error {
	if bytes.Equal(r.Fingerprint, fingerprint) {
		return nil
	}
	return errors.Wrapf(ErrKeyReused, "claim %s", key)
}

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k) }

// rowKey returns the key of the claim's row in the table service.
func (k Key) rowKey() string { return platform.PrefixClaim + k.String() }
