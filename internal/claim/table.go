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
	// maxBeginTries bounds the reads and writes of one Begin.
	maxBeginTries = 4
	// maxInlineBody is the largest body kept in the claim's row, in bytes.
	maxInlineBody = 16 << 10
	// maxStoredBody is the largest body kept at all, in bytes.
	maxStoredBody = 4 << 20
)

// TableConfig configures a TableClaimer.
type TableConfig struct {
	Table      platform.TableService
	Objects    platform.ObjectStore
	Logger     hclog.Logger
	Registerer prometheus.Registerer // nil: metrics are not exported
}

// TableClaimer keeps claims in the table service. Run must be called for the
// writes that are settled later.
type TableClaimer struct {
	table   platform.TableService
	objects platform.ObjectStore
	logger  hclog.Logger
	metrics *metrics
	later   chan deferred
}

var _ Claimer = (*TableClaimer)(nil)

// NewTableClaimer returns a claimer over the table service.
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
		later:   make(chan deferred, maxDeferred),
	}
}

// Begin implements Claimer.
func (c *TableClaimer) Begin(ctx context.Context, key Key, attempt request.AttemptID, fingerprint []byte) (*Answer, error) {
	answer, uncertain, err := c.begin(ctx, key, attempt, fingerprint)
	c.metrics.count(answer, err)
	if uncertain && errors.Is(err, ErrUnavailable) {
		c.settleLater(deferred{key: key, attempt: attempt, fingerprint: fingerprint})
	}
	return answer, err
}

// begin does the work of Begin; uncertain tells whether a write of this
// attempt may have taken effect, or may yet.
func (c *TableClaimer) begin(ctx context.Context, key Key, attempt request.AttemptID, fingerprint []byte) (_ *Answer, uncertain bool, _ error) {
	want := &record{State: stateStarted, Attempt: attempt, Fingerprint: fingerprint}
	var version uint64 // of the row that the claim replaces, 0: none
	for range maxBeginTries {
		err := c.write(ctx, key, want, version)
		switch {
		case err == nil:
			return nil, uncertain, nil
		case errors.Is(err, platform.ErrConflict):
		case errors.Is(err, platform.ErrUncertain):
			uncertain = true
		default:
			return nil, uncertain, errors.Mark(errors.Wrapf(err, "claim %s", key), ErrUnavailable)
		}
		found, next, err := c.read(ctx, key)
		if err != nil {
			return nil, uncertain, err
		}
		version = next
		if found == nil {
			continue
		}
		if found.State == stateStarted && found.Attempt == attempt {
			return nil, uncertain, nil
		}
		if err := found.checkContent(key, fingerprint); err != nil {
			return nil, uncertain, err
		}
		if found.State != stateReleased {
			answer, err := c.earlier(ctx, key, found)
			return answer, uncertain, err
		}
	}
	return nil, uncertain, errors.Wrapf(ErrUnavailable, "claim %s is contended", key)
}

// earlier returns the answer of the attempt that holds the claim.
func (c *TableClaimer) earlier(ctx context.Context, key Key, found *record) (*Answer, error) {
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

// Finish implements Claimer. When the platform is not available, Run stores
// the answer later; until then the request counts as started.
func (c *TableClaimer) Finish(ctx context.Context, key Key, attempt request.AttemptID, answer *Answer) error {
	d := deferred{key: key, attempt: attempt, answer: answer}
	err := c.settle(ctx, d)
	if isTransient(err) {
		c.settleLater(d)
	}
	return err
}

// Release implements Claimer. When the platform is not available, Run releases
// the claim later.
func (c *TableClaimer) Release(ctx context.Context, key Key, attempt request.AttemptID) error {
	d := deferred{key: key, attempt: attempt}
	err := c.settle(ctx, d)
	if isTransient(err) {
		c.settleLater(d)
	}
	return err
}

// write commits r under the condition that the row has version.
func (c *TableClaimer) write(ctx context.Context, key Key, r *record, version uint64) error {
	value, err := r.encode()
	if err != nil {
		return err
	}
	_, err = c.table.Commit(ctx, platform.Write{
		Key:     key.row(),
		Value:   value,
		If:      version,
		Expires: time.Now().Add(Retention),
	})
	return err
}

// read returns the claim and its version; nil and 0 when there is none.
func (c *TableClaimer) read(ctx context.Context, key Key) (*record, uint64, error) {
	item, err := c.table.Get(ctx, key.row())
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

// isTransient reports whether a write may succeed when it is repeated.
func isTransient(err error) bool {
	return errors.Is(err, ErrUnavailable)
}
