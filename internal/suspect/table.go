package suspect

import (
	"context"
	"encoding/hex"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/metric"
	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/request"
)

const (
	// maxWriteAttempts bounds the attempts to write a record in one call.
	maxWriteAttempts = 4
	// trialTimeout is the maximum duration of a trial. A trial that has not ended by then,
	// for example because its VM was lost, counts as a crash.
	trialTimeout = 15 * time.Minute
	// Retention is how long the table service retains a suspect after its last change.
	Retention = 24 * time.Hour
)

type state uint8

const (
	stateSuspect state = iota + 1
	stateTrial
	stateQuarantined
)

// record is the stored form of a suspect.
type record struct {
	State   state             `cbor:"1,keyasint"`
	Attempt request.AttemptID `cbor:"2,keyasint,omitempty"` // the attempt on trial
	Since   int64             `cbor:"3,keyasint"`           // last change, Unix seconds
	// CrashID is the ID of the last crash that was counted.
	CrashID string `cbor:"4,keyasint,omitempty"`
}

// quarantined reports whether the fingerprint must not run at now: it was quarantined, or
// its trial timed out.
func (r *record) quarantined(now time.Time) bool {
	if r.State == stateTrial {
		return now.Sub(time.Unix(r.Since, 0)) > trialTimeout
	}
	return r.State == stateQuarantined
}

// TableRegistry is a Registry that stores suspects in the table service.
type TableRegistry struct {
	table   platform.TableService
	now     func() time.Time
	changes *prometheus.CounterVec
}

var _ Registry = (*TableRegistry)(nil)

// NewTableRegistry returns a registry that stores suspects in table. With a nil
// registerer its metrics are not exported.
func NewTableRegistry(table platform.TableService, reg prometheus.Registerer) *TableRegistry {
	f := metric.NewFactory(reg, "mastichollow_suspect")
	return &TableRegistry{
		table:   table,
		now:     time.Now,
		changes: f.CounterVec("changes_total", "Changes of suspects, by kind: accused (in flight at a crash), tried (trial opened), acquitted (cleared), convicted (quarantined) or abandoned.", "change"),
	}
}

// RecordCrash implements Registry. It quarantines a fingerprint that was in flight at a
// second crash.
func (r *TableRegistry) RecordCrash(ctx context.Context, f Fingerprint, crashID string) error {
	err := r.change(ctx, f, "accused", func(old *record) (*record, error) {
		switch {
		case old == nil:
			return &record{State: stateSuspect, CrashID: crashID}, nil
		case old.CrashID == crashID:
			return nil, errNoChange
		default:
			return &record{State: stateQuarantined, CrashID: crashID}, nil
		}
	})
	if errors.Is(err, errNoChange) {
		return nil
	}
	return err
}

// BeginTrial implements Registry.
func (r *TableRegistry) BeginTrial(ctx context.Context, f Fingerprint, attempt request.AttemptID) error {
	return r.change(ctx, f, "tried", func(old *record) (*record, error) {
		switch {
		case old == nil:
		case old.quarantined(r.now()):
			return nil, errors.Wrapf(ErrQuarantined, "fingerprint %x", []byte(f))
		case old.State == stateTrial && old.Attempt != attempt:
			return nil, errors.Wrapf(ErrOnTrial, "fingerprint %x", []byte(f))
		}
		return &record{State: stateTrial, Attempt: attempt}, nil
	})
}

// Clear implements Registry.
func (r *TableRegistry) Clear(ctx context.Context, f Fingerprint, attempt request.AttemptID) error {
	return r.endTrial(ctx, f, attempt, "acquitted", nil)
}

// Quarantine implements Registry.
func (r *TableRegistry) Quarantine(ctx context.Context, f Fingerprint, attempt request.AttemptID) error {
	return r.endTrial(ctx, f, attempt, "convicted", &record{State: stateQuarantined})
}

// AbandonTrial implements Registry.
func (r *TableRegistry) AbandonTrial(ctx context.Context, f Fingerprint, attempt request.AttemptID) error {
	return r.endTrial(ctx, f, attempt, "abandoned", &record{State: stateSuspect})
}

// Entry describes a suspect.
type Entry struct {
	Fingerprint Fingerprint
	Quarantined bool
}

// List returns all suspects.
func (r *TableRegistry) List(ctx context.Context) ([]Entry, error) {
	items, err := r.table.List(ctx, platform.PrefixSuspect)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "listing suspects"), ErrUnavailable)
	}
	listed := make([]Entry, 0, len(items))
	for _, item := range items {
		found, err := DecodeItem(item, r.now())
		if err != nil {
			return nil, err
		}
		listed = append(listed, found)
	}
	return listed, nil
}

// DecodeItem decodes an item under platform.PrefixSuspect. now is the time at which it was
// read and decides whether its trial has timed out.
func DecodeItem(item platform.Item, now time.Time) (Entry, error) {
	f, err := hex.DecodeString(strings.TrimPrefix(item.Key, platform.PrefixSuspect))
	if err != nil {
		return Entry{}, errors.Wrapf(err, "suspect %q", item.Key)
	}
	found, err := decode(item)
	if err != nil {
		return Entry{}, err
	}
	return Entry{Fingerprint: f, Quarantined: found.quarantined(now)}, nil
}

// errNoChange makes change return without a write.
var errNoChange = errors.New("nothing to change")

// endTrial replaces the trial of attempt by replacement; nil deletes it. It does not
// change the trial of another attempt.
func (r *TableRegistry) endTrial(ctx context.Context, f Fingerprint, attempt request.AttemptID, kind string, replacement *record) error {
	err := r.change(ctx, f, kind, func(old *record) (*record, error) {
		if old == nil || old.State != stateTrial || old.Attempt != attempt {
			return nil, errNoChange
		}
		return replacement, nil
	})
	if errors.Is(err, errNoChange) {
		return nil
	}
	return err
}

// change replaces the record of f by the result of next: a new record, nil to delete it,
// or an error to leave it unchanged. If a write conflicts or its response is lost, change
// calls next again with the record that it then reads, so next must be idempotent or
// identify its attempt.
func (r *TableRegistry) change(ctx context.Context, f Fingerprint, kind string, next func(old *record) (*record, error)) error {
	key := platform.PrefixSuspect + hex.EncodeToString(f)
	var last error
	for range maxWriteAttempts {
		old, version, err := r.read(ctx, key)
		if err != nil {
			return err
		}
		replacement, err := next(old)
		if err != nil {
			return err
		}
		if replacement != nil && replacement.CrashID == "" && old != nil {
			replacement.CrashID = old.CrashID
		}
		last = r.write(ctx, key, replacement, version)
		if last == nil {
			r.changes.WithLabelValues(kind).Inc()
			return nil
		}
		if errors.Is(last, platform.ErrUnavailable) {
			break
		}
	}
	return errors.Mark(errors.Wrapf(last, "suspect %q", key), ErrUnavailable)
}

func (r *TableRegistry) read(ctx context.Context, key string) (*record, uint64, error) {
	item, err := r.table.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Mark(errors.Wrapf(err, "suspect %q", key), ErrUnavailable)
	}
	found, err := decode(item)
	return found, item.Version, err
}

func (r *TableRegistry) write(ctx context.Context, key string, replacement *record, version uint64) error {
	now := r.now()
	w := platform.Write{Key: key, If: version, Delete: replacement == nil, Expires: now.Add(Retention)}
	if replacement != nil {
		replacement.Since = now.Unix()
		value, err := cbor.Marshal(replacement)
		if err != nil {
			return errors.Wrap(err, "encoding a suspect")
		}
		w.Value = value
	}
	_, err := r.table.Commit(ctx, w)
	return err
}

func decode(item platform.Item) (*record, error) {
	found := new(record)
	if err := cbor.Unmarshal(item.Value, found); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "suspect %q is malformed", item.Key), ErrUnavailable)
	}
	return found, nil
}
