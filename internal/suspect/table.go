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
	// maxTries bounds the writes of one call.
	maxTries = 4
	// trialTimeout is the longest trial. One that has not ended by then, for
	// example because its VM was lost, counts as a crash.
	trialTimeout = 15 * time.Minute
	// Retention is how long the table service keeps a suspect after its last
	// change.
	Retention = 24 * time.Hour
)

type state uint8

const (
	stateSuspect state = iota + 1
	stateTrial
	stateQuarantined
)

// record is a suspect as the table service keeps it.
type record struct {
	State   state             `cbor:"1,keyasint"`
	Attempt request.AttemptID `cbor:"2,keyasint,omitempty"` // on trial
	Since   int64             `cbor:"3,keyasint"`           // Unix seconds
	// Accusation is the last one that counted.
	Accusation string `cbor:"4,keyasint,omitempty"`
}

// quarantined reports whether the fingerprint may not run any more at now.
func (r *record) quarantined(now time.Time) bool {
	if r.State == stateTrial {
		return now.Sub(time.Unix(r.Since, 0)) > trialTimeout
	}
	return r.State == stateQuarantined
}

// TableRegistry keeps suspects in the table service.
type TableRegistry struct {
	table   platform.TableService
	now     func() time.Time
	changes *prometheus.CounterVec
}

var _ Registry = (*TableRegistry)(nil)

// NewTableRegistry returns a registry over the table service. A nil registerer
// leaves the metrics unexported.
func NewTableRegistry(table platform.TableService, reg prometheus.Registerer) *TableRegistry {
	f := metric.For(reg, "mastichollow_suspect")
	return &TableRegistry{
		table:   table,
		now:     time.Now,
		changes: f.Counters("changes_total", "Changes of suspects, by kind: accused, tried, acquitted, convicted or abandoned.", "change"),
	}
}

// Accuse implements Registry. A fingerprint with a second accusation ran at two
// crashes and is quarantined.
func (r *TableRegistry) Accuse(ctx context.Context, f Fingerprint, accusation string) error {
	err := r.change(ctx, f, "accused", func(old *record) (*record, error) {
		switch {
		case old == nil:
			return &record{State: stateSuspect, Accusation: accusation}, nil
		case old.Accusation == accusation:
			return nil, errNothing
		default:
			return &record{State: stateQuarantined, Accusation: accusation}, nil
		}
	})
	if errors.Is(err, errNothing) {
		return nil
	}
	return err
}

// Try implements Registry.
func (r *TableRegistry) Try(ctx context.Context, f Fingerprint, attempt request.AttemptID) error {
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

// Acquit implements Registry.
func (r *TableRegistry) Acquit(ctx context.Context, f Fingerprint, attempt request.AttemptID) error {
	return r.endTrial(ctx, f, attempt, "acquitted", nil)
}

// Convict implements Registry.
func (r *TableRegistry) Convict(ctx context.Context, f Fingerprint, attempt request.AttemptID) error {
	return r.endTrial(ctx, f, attempt, "convicted", &record{State: stateQuarantined})
}

// Abandon implements Registry.
func (r *TableRegistry) Abandon(ctx context.Context, f Fingerprint, attempt request.AttemptID) error {
	return r.endTrial(ctx, f, attempt, "abandoned", &record{State: stateSuspect})
}

// Listed is a suspect as List returns it.
type Listed struct {
	Fingerprint Fingerprint
	Quarantined bool
}

// List returns all suspects.
func (r *TableRegistry) List(ctx context.Context) ([]Listed, error) {
	items, err := r.table.List(ctx, platform.PrefixSuspect)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "listing suspects"), ErrUnavailable)
	}
	listed := make([]Listed, 0, len(items))
	for _, item := range items {
		found, err := FromItem(item, r.now())
		if err != nil {
			return nil, err
		}
		listed = append(listed, found)
	}
	return listed, nil
}

// FromItem decodes an item under platform.PrefixSuspect that was read at now.
func FromItem(item platform.Item, now time.Time) (Listed, error) {
	f, err := hex.DecodeString(strings.TrimPrefix(item.Key, platform.PrefixSuspect))
	if err != nil {
		return Listed{}, errors.Wrapf(err, "suspect %q", item.Key)
	}
	found, err := decode(item)
	if err != nil {
		return Listed{}, err
	}
	return Listed{Fingerprint: f, Quarantined: found.quarantined(now)}, nil
}

// errNothing ends a change without a write.
var errNothing = errors.New("nothing to change")

// endTrial replaces the trial of attempt by next, nil to delete it. Another
// attempt's record is left alone.
func (r *TableRegistry) endTrial(ctx context.Context, f Fingerprint, attempt request.AttemptID, kind string, next *record) error {
	err := r.change(ctx, f, kind, func(old *record) (*record, error) {
		if old == nil || old.State != stateTrial || old.Attempt != attempt {
			return nil, errNothing
		}
		return next, nil
	})
	if errors.Is(err, errNothing) {
		return nil
	}
	return err
}

// change replaces the record of f by what next returns for it: a new record,
// nil to delete it, or an error to leave it. A write whose answer was lost is
// made again on what is then found, so next must be idempotent or name its
// attempt.
func (r *TableRegistry) change(ctx context.Context, f Fingerprint, kind string, next func(old *record) (*record, error)) error {
	key := platform.PrefixSuspect + hex.EncodeToString(f)
	var last error
	for range maxTries {
		old, version, err := r.read(ctx, key)
		if err != nil {
			return err
		}
		wanted, err := next(old)
		if err != nil {
			return err
		}
		if wanted != nil && wanted.Accusation == "" && old != nil {
			wanted.Accusation = old.Accusation
		}
		last = r.write(ctx, key, wanted, version)
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

func (r *TableRegistry) write(ctx context.Context, key string, next *record, version uint64) error {
	now := r.now()
	w := platform.Write{Key: key, If: version, Delete: next == nil, Expires: now.Add(Retention)}
	if next != nil {
		next.Since = now.Unix()
		value, err := cbor.Marshal(next)
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
