package claim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/request"
)

const (
	// maxBeginWrites bounds the writes, each followed by a read, of one Begin.
	maxBeginWrites = 4
	// maxInlineBodyBytes is the size of the largest body stored in the claim's row.
	maxInlineBodyBytes = 16 << 10
	// maxStoredBodyBytes is the size of the largest body stored at all.
	maxStoredBodyBytes = 4 << 20
)

// TableConfig configures a TableClaimer.
type TableConfig struct {
	Table      platform.TableService
	Objects    platform.ObjectStore
	Logger     hclog.Logger
	Registerer prometheus.Registerer // nil: metrics are not exported
}

// TableClaimer stores claims in the table service. Run must be running to retry
// settlements that failed.
type TableClaimer struct {
	table   platform.TableService
	objects platform.ObjectStore
	logger  hclog.Logger
	metrics *metrics
	pending chan settlement
}

var _ Claimer = (*TableClaimer)(nil)

// NewTableClaimer returns a claimer that stores claims in cfg.Table.
func NewTableClaimer(cfg TableConfig) *TableClaimer {
	logger := cfg.Logger
	if logger == nil {
		logger = hclog.NewNullLogger()
	}
	return &TableClaimer{
		table:   cfg.Table,
		objects: cfg.Objects,
		logger:  logger,
		metrics: newMetrics(cfg.Registerer),
		pending: make(chan settlement, maxPendingSettlements),
	}
}

// Begin implements Claimer.
func (c *TableClaimer) Begin(ctx context.Context, key Key, attempt request.AttemptID, fingerprint []byte) (*Answer, error) {
	answer, uncertain, err := c.begin(ctx, key, attempt, fingerprint)
	c.metrics.countBegin(answer, err)
	if uncertain && errors.Is(err, ErrUnavailable) {
		c.enqueueSettlement(settlement{key: key, attempt: attempt, fingerprint: fingerprint})
	}
	return answer, err
}

// begin implements Begin. uncertain says that a write of this attempt may have taken
// effect or may still do so.
func (c *TableClaimer) begin(ctx context.Context, key Key, attempt request.AttemptID, fingerprint []byte) (_ *Answer, uncertain bool, _ error) {
	started := &record{State: stateStarted, Attempt: attempt, Fingerprint: fingerprint}
	var version uint64 // of the row that the claim replaces; 0: there is none
	for range maxBeginWrites {
		err := c.writeRecord(ctx, key, started, version)
		switch {
		case err == nil:
			return nil, uncertain, nil
		case errors.Is(err, platform.ErrConflict):
		case errors.Is(err, platform.ErrUncertain):
			uncertain = true
		default:
			return nil, uncertain, errors.Mark(errors.Wrapf(err, "claim %s", key), ErrUnavailable)
		}
		found, foundVersion, err := c.readRecord(ctx, key)
		if err != nil {
			return nil, uncertain, err
		}
		version = foundVersion
		if found == nil {
			continue
		}
		if found.State == stateStarted && found.Attempt == attempt {
			return nil, uncertain, nil
		}
		if err := found.checkFingerprint(key, fingerprint); err != nil {
			return nil, uncertain, err
		}
		if found.State != stateReleased {
			answer, err := c.previousAnswer(ctx, key, found)
			return answer, uncertain, err
		}
	}
	return nil, uncertain, errors.Wrapf(ErrUnavailable, "claim %s is contended", key)
}

// previousAnswer returns the stored answer of the attempt that owns the claim, or an error
// marked ErrStarted if there is none.
func (c *TableClaimer) previousAnswer(ctx context.Context, key Key, found *record) (*Answer, error) {
	if found.State != stateCompleted {
		return nil, errors.Wrapf(ErrStarted, "claim %s is held by attempt %s", key, found.Attempt)
	}
	if found.BodyDropped {
		return nil, errors.Wrapf(ErrStarted, "claim %s has completed, but its answer was too large to keep", key)
	}
	if found.Object == "" {
		return found.Answer, nil
	}
	body, err := c.objects.Get(ctx, found.Object)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "claim %s has completed, but its answer cannot be read", key), ErrStarted)
	}
	answer := *found.Answer
	answer.Body = body
	return &answer, nil
}

// Finish implements Claimer. If the platform is unavailable it returns an error marked
// ErrUnavailable and Run stores the answer later; until then the claim stays started.
func (c *TableClaimer) Finish(ctx context.Context, key Key, attempt request.AttemptID, answer *Answer) error {
	s := settlement{key: key, attempt: attempt, answer: answer}
	err := c.settle(ctx, s)
	if isRetryable(err) {
		c.enqueueSettlement(s)
	}
	return err
}

// Release implements Claimer. If the platform is unavailable it returns an error marked
// ErrUnavailable and Run releases the claim later.
func (c *TableClaimer) Release(ctx context.Context, key Key, attempt request.AttemptID) error {
	s := settlement{key: key, attempt: attempt}
	err := c.settle(ctx, s)
	if isRetryable(err) {
		c.enqueueSettlement(s)
	}
	return err
}

// writeRecord commits r on the condition that the row has the given version.
func (c *TableClaimer) writeRecord(ctx context.Context, key Key, r *record, version uint64) error {
	value, err := r.encode()
	if err != nil {
		return err
	}
	_, err = c.table.Commit(ctx, platform.Write{
		Key:     key.rowKey(),
		Value:   value,
		If:      version,
		Expires: time.Now().Add(Retention),
	})
	return err
}

// readRecord returns the claim and the version of its row, or nil and 0 if there is none.
func (c *TableClaimer) readRecord(ctx context.Context, key Key) (*record, uint64, error) {
	item, err := c.table.Get(ctx, key.rowKey())
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Mark(errors.Wrapf(err, "claim %s", key), ErrUnavailable)
	}
	found, err := decodeRecord(item)
	if err != nil {
		return nil, 0, errors.Mark(err, ErrUnavailable)
	}
	return found, item.Version, nil
}

// isRetryable reports whether a failed settlement may succeed on a retry.
func isRetryable(err error) bool {
	return errors.Is(err, ErrUnavailable)
}
