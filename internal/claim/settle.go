package claim

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/request"
)

const (
	// maxPendingSettlements bounds the settlements queued for Run.
	maxPendingSettlements = 1024
	// settleTimeout bounds the retries of one settlement.
	settleTimeout = time.Hour
	// shutdownSettleTimeout bounds the last writes of all queued settlements when Run ends.
	shutdownSettleTimeout = 5 * time.Second
)

// settlement is the final update of a claim by its attempt: either its answer, or a release
// since the attempt has not run and never will.
type settlement struct {
	key         Key
	attempt     request.AttemptID
	fingerprint []byte
	answer      *Answer // nil: release
}

// Run retries the settlements that could not be written immediately, until ctx ends. Those
// still queued are then retried once, so that an agent that stops shortly after an
// outage loses no answers.
func (c *TableClaimer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			c.settlePending(ctx)
			return nil
		case s := <-c.pending:
			if !c.settleWithRetry(ctx, s) {
				c.settlePending(ctx, s)
				return nil
			}
		}
	}
}

// settleWithRetry retries a settlement with exponential backoff. It returns false when ctx
// ended first.
func (c *TableClaimer) settleWithRetry(ctx context.Context, s settlement) bool {
	operation := func() (struct{}, error) {
		err := c.settle(ctx, s)
		if err != nil && !isRetryable(err) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}
	_, err := backoff.Retry(ctx, operation, backoff.WithMaxElapsedTime(settleTimeout))
	if err != nil && ctx.Err() != nil {
		return false
	}
	c.logUnsettled(s, err)
	return true
}

// settlePending tries the interrupted and the queued settlements once, within
// shutdownSettleTimeout.
func (c *TableClaimer) settlePending(ctx context.Context, interrupted ...settlement) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownSettleTimeout)
	defer cancel()
	for _, s := range interrupted {
		c.logUnsettled(s, c.settle(ctx, s))
	}
	for {
		select {
		case s := <-c.pending:
			c.logUnsettled(s, c.settle(ctx, s))
		default:
			return
		}
	}
}

// logUnsettled logs a settlement that failed and is not retried. It does nothing if err is
// nil.
func (c *TableClaimer) logUnsettled(s settlement, err error) {
	if err != nil {
		c.logger.Warn("failed to settle a claim; its key may stay blocked", "claim", s.key.String(), "attempt", s.attempt, "error", err)
	}
}

// enqueueSettlement queues a settlement for Run, or drops it if the queue is full. A claim
// that is never settled stays started, so that its request does not run again.
func (c *TableClaimer) enqueueSettlement(s settlement) {
	select {
	case c.pending <- s:
		c.metrics.deferred.Inc()
	default:
		c.metrics.dropped.Inc()
		c.logger.Warn("dropped the settlement of a claim: queue is full; its key may stay blocked", "claim", s.key.String(), "attempt", s.attempt)
	}
}

// settle writes a settlement. Errors marked ErrUnavailable are retryable.
func (c *TableClaimer) settle(ctx context.Context, s settlement) error {
	found, version, err := c.readRecord(ctx, s.key)
	if err != nil {
		return err
	}
	final, err := c.finalRecord(ctx, s, found)
	if err != nil || final == nil {
		return err
	}
	err = c.writeRecord(ctx, s.key, final, version)
	return errors.Mark(errors.Wrapf(err, "claim %s", s.key), ErrUnavailable)
}

// finalRecord returns the record to write for a settlement, or nil if none is needed.
//
// A release writes a record even if the attempt has no record in the row. This increases
// the row's version, so that a delayed write of the attempt cannot take effect afterwards.
func (c *TableClaimer) finalRecord(ctx context.Context, s settlement, found *record) (*record, error) {
	if found == nil {
		if s.answer != nil {
			return nil, errors.Newf("claim %s of attempt %s does not exist", s.key, s.attempt)
		}
		return &record{State: stateReleased, Attempt: s.attempt, Fingerprint: s.fingerprint}, nil
	}
	if s.answer == nil && found.State == stateReleased && found.Attempt != s.attempt {
		return &record{State: stateReleased, Attempt: s.attempt, Fingerprint: found.Fingerprint}, nil
	}
	if found.Attempt != s.attempt || found.State != stateStarted {
		return nil, nil
	}
	if s.answer == nil {
		return &record{State: stateReleased, Attempt: s.attempt, Fingerprint: found.Fingerprint}, nil
	}
	return c.completedRecord(ctx, s, found.Fingerprint)
}

// completedRecord returns the record of a completed attempt. It first puts a body over
// maxInlineBodyBytes into the object store and drops one over maxStoredBodyBytes.
func (c *TableClaimer) completedRecord(ctx context.Context, s settlement, fingerprint []byte) (*record, error) {
	r := &record{State: stateCompleted, Attempt: s.attempt, Fingerprint: fingerprint}
	answer := *s.answer
	r.Answer = &answer
	switch size := len(answer.Body); {
	case size <= maxInlineBodyBytes:
		return r, nil
	case size > maxStoredBodyBytes:
		answer.Body, r.BodyDropped = nil, true
		return r, nil
	}
	r.Object = "answer/" + s.key.String() + "/" + string(s.attempt)
	if err := c.objects.Put(ctx, r.Object, answer.Body); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "storing the answer of claim %s", s.key), ErrUnavailable)
	}
	answer.Body = nil
	return r, nil
}
