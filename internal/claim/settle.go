package claim

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/request"
)

const (
	// maxDeferred bounds the settlements that wait for the platform.
	maxDeferred = 1024
	// maxSettleTime bounds the tries of one settlement.
	maxSettleTime = time.Hour
	// stopTime bounds the last tries of all settlements when Run ends.
	stopTime = 5 * time.Second
)

// deferred is the final word of an attempt on its claim: its answer, or that
// it has not run and never will.
type deferred struct {
	key         Key
	attempt     request.AttemptID
	fingerprint []byte
	answer      *Answer // nil: release
}

// Run settles claims that could not be settled at once, until ctx ends. What
// waits then is tried once more, so that an agent that stops shortly after an
// outage loses no answers.
func (c *TableClaimer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			c.settleRest(ctx)
			return nil
		case d := <-c.later:
			if !c.retry(ctx, d) {
				c.settleRest(ctx, d)
				return nil
			}
		}
	}
}

// retry repeats a settlement with growing pauses. It returns false when ctx
// ended before the settlement did.
func (c *TableClaimer) retry(ctx context.Context, d deferred) bool {
	operation := func() (struct{}, error) {
		err := c.settle(ctx, d)
		if err != nil && !isTransient(err) {
			err = backoff.Permanent(err)
		}
		return struct{}{}, err
	}
	_, err := backoff.Retry(ctx, operation, backoff.WithMaxElapsedTime(maxSettleTime))
	if err != nil && ctx.Err() != nil {
		return false
	}
	c.unsettled(d, err)
	return true
}

// settleRest tries first and all that waits once, within stopTime.
func (c *TableClaimer) settleRest(ctx context.Context, first ...deferred) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
	defer cancel()
	for _, d := range first {
		c.unsettled(d, c.settle(ctx, d))
	}
	for {
		select {
		case d := <-c.later:
			c.unsettled(d, c.settle(ctx, d))
		default:
			return
		}
	}
}

// unsettled logs a settlement that was given up. A nil error is none.
func (c *TableClaimer) unsettled(d deferred, err error) {
	if err != nil {
		c.logger.Warn("claim was not settled", "claim", d.key.String(), "attempt", d.attempt, "error", err)
	}
}

// settleLater queues d for Run. A claim that is not settled stays started: its
// request is not run again.
func (c *TableClaimer) settleLater(d deferred) {
	select {
	case c.later <- d:
		c.metrics.deferred.Inc()
	default:
		c.metrics.dropped.Inc()
		c.logger.Warn("claim is left unsettled: too many are waiting", "claim", d.key.String(), "attempt", d.attempt)
	}
}

// settle writes the final word of an attempt. Errors marked ErrUnavailable are
// worth another try.
func (c *TableClaimer) settle(ctx context.Context, d deferred) error {
	found, version, err := c.read(ctx, d.key)
	if err != nil {
		return err
	}
	next, err := c.final(ctx, d, found)
	if err != nil || next == nil {
		return err
	}
	err = c.write(ctx, d.key, next, version)
	return errors.Mark(errors.Wrapf(err, "claim %s", d.key), ErrUnavailable)
}

// final returns the record to write for d, or nil when nothing is left to do.
//
// A release writes a record also where there is none of the attempt's own, so
// that the row's version moves on and a write of the attempt that is still on
// its way cannot take effect afterwards.
func (c *TableClaimer) final(ctx context.Context, d deferred, found *record) (*record, error) {
	if found == nil {
		if d.answer != nil {
			return nil, errors.Newf("claim %s of attempt %s does not exist", d.key, d.attempt)
		}
		return &record{State: stateReleased, Attempt: d.attempt, Fingerprint: d.fingerprint}, nil
	}
	if d.answer == nil && found.State == stateReleased && found.Attempt != d.attempt {
		return &record{State: stateReleased, Attempt: d.attempt, Fingerprint: found.Fingerprint}, nil
	}
	if found.Attempt != d.attempt || found.State != stateStarted {
		return nil, nil
	}
	if d.answer == nil {
		return &record{State: stateReleased, Attempt: d.attempt, Fingerprint: found.Fingerprint}, nil
	}
	return c.completed(ctx, d, found.Fingerprint)
}

// completed returns the record of a finished attempt; a large body is put into
// the object store first.
func (c *TableClaimer) completed(ctx context.Context, d deferred, fingerprint []byte) (*record, error) {
	r := &record{State: stateCompleted, Attempt: d.attempt, Fingerprint: fingerprint}
	answer := *d.answer
	r.Answer = &answer
	switch size := len(answer.Body); {
	case size <= maxInlineBody:
		return r, nil
	case size > maxStoredBody:
		answer.Body, r.BodyDropped = nil, true
		return r, nil
	}
	r.Object = "answer/" + d.key.String() + "/" + string(d.attempt)
	if err := c.objects.Put(ctx, r.Object, answer.Body); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "storing the answer of claim %s", d.key), ErrUnavailable)
	}
	answer.Body = nil
	return r, nil
}
