package platform

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/clock"
)

// Defaults of ResilientTableConfig.
const (
	defaultMaxRetries       = 3
	defaultInitialBackoff   = 50 * time.Millisecond
	defaultMaxBackoff       = 2 * time.Second
	defaultFailureThreshold = 5
	defaultOpenDuration     = time.Second
	defaultRetryPercent     = 10 // retries as a percentage of first calls
	defaultRetryBurst       = 10
	backoffJitter           = 0.5
)

// ResilientTableConfig configures a ResilientTable. Zero fields take their defaults.
type ResilientTableConfig struct {
	Timeout          time.Duration // of one attempt; default 2 s
	MaxRetries       int           // attempts after the first; default 3, negative: none
	InitialBackoff   time.Duration // before the first retry, doubled for each further one; default 50 ms
	MaxBackoff       time.Duration // default 2 s
	FailureThreshold int           // consecutive failures that open the circuit breaker; default 5
	OpenDuration     time.Duration // minimum time that the breaker stays open; default 1 s
	Registerer       prometheus.Registerer
}

func (c ResilientTableConfig) withDefaults() ResilientTableConfig {
	setDefault(&c.Timeout, defaultTimeout)
	setDefault(&c.MaxRetries, defaultMaxRetries)
	setDefault(&c.InitialBackoff, defaultInitialBackoff)
	setDefault(&c.MaxBackoff, defaultMaxBackoff)
	setDefault(&c.FailureThreshold, defaultFailureThreshold)
	setDefault(&c.OpenDuration, defaultOpenDuration)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// ResilientTable is a TableService that wraps another one with a timeout per attempt,
// retries within a retry budget, and a circuit breaker. It retries only calls that are
// proven to have had no effect, never a commit whose effect is uncertain.
type ResilientTable struct {
	table       TableService
	config      ResilientTableConfig
	breaker     *breaker
	retryBudget *retryBudget
	metrics     *callMetrics
}

// NewResilientTable returns a ResilientTable that wraps table.
func NewResilientTable(table TableService, config ResilientTableConfig) *ResilientTable {
	config = config.withDefaults()
	return &ResilientTable{
		table:       table,
		config:      config,
		breaker:     &breaker{failureThreshold: config.FailureThreshold, openDuration: config.OpenDuration},
		retryBudget: newRetryBudget(defaultRetryPercent, defaultRetryBurst),
		metrics:     newCallMetrics(config.Registerer),
	}
}

// WithoutRetries returns a table that attempts each call at most once, for callers that
// retry themselves or must not wait. It shares the circuit breaker and the metrics of t.
func (t *ResilientTable) WithoutRetries() *ResilientTable {
	noRetries := *t
	noRetries.config.MaxRetries = 0
	return &noRetries
}

// Get implements TableService.
func (t *ResilientTable) Get(ctx context.Context, key string) (item Item, err error) {
	err = t.call(ctx, "get", func(ctx context.Context) error {
		item, err = t.table.Get(ctx, key)
		return err
	})
	return item, err
}

// List implements TableService.
func (t *ResilientTable) List(ctx context.Context, prefix string) (items []Item, err error) {
	err = t.call(ctx, "list", func(ctx context.Context) error {
		items, err = t.table.List(ctx, prefix)
		return err
	})
	return items, err
}

// Commit implements TableService.
func (t *ResilientTable) Commit(ctx context.Context, writes ...Write) (version uint64, err error) {
	err = t.call(ctx, "commit", func(ctx context.Context) error {
		version, err = t.table.Commit(ctx, writes...)
		return err
	})
	return version, err
}

// BreakerOpen reports whether the circuit breaker is open.
func (t *ResilientTable) BreakerOpen() bool { return t.breaker.isOpen() }

// call attempts the operation until its result is final or there is no further retry.
func (t *ResilientTable) call(ctx context.Context, op string, attempt func(context.Context) error) error {
	t.retryBudget.deposit()
	delays := t.newBackoff()
	for retriesMade := 0; ; retriesMade++ {
		err := t.attempt(ctx, op, attempt)
		if resultOf(err) != resultUnavailable {
			return err
		}
		if reason := t.waitBeforeRetry(ctx, retriesMade, delays); reason != "" {
			t.metrics.suppressed.WithLabelValues(op, reason).Inc()
			return errors.Wrapf(err, "not repeated (%s)", reason)
		}
		t.metrics.retries.WithLabelValues(op).Inc()
	}
}

// attempt makes one attempt unless the circuit breaker rejects it.
func (t *ResilientTable) attempt(ctx context.Context, op string, attempt func(context.Context) error) error {
	if !t.breaker.allow() {
		t.metrics.suppressed.WithLabelValues(op, reasonBreakerOpen).Inc()
		return errors.Wrap(ErrUnavailable, "circuit breaker is open")
	}
	bounded, cancel := context.WithTimeout(ctx, t.config.Timeout)
	defer cancel()
	err := attempt(bounded)
	result := resultOf(err)
	t.metrics.calls.WithLabelValues(op, result).Inc()
	// A call that was cancelled by its caller does not count as a failure of the service.
	healthy := result != resultUnavailable && result != resultUncertain
	t.breaker.record(healthy || errors.Is(ctx.Err(), context.Canceled))
	return err
}

// waitBeforeRetry waits for the backoff before a retry. It returns a reason if there must
// be no retry, and an empty string otherwise.
func (t *ResilientTable) waitBeforeRetry(ctx context.Context, retriesMade int, delays *backoff.ExponentialBackOff) string {
	delay := delays.NextBackOff()
	deadline, hasDeadline := ctx.Deadline()
	switch {
	case retriesMade >= t.config.MaxRetries:
		return reasonMaxRetries
	case t.breaker.isOpen():
		return reasonBreakerOpen
	case hasDeadline && time.Until(deadline) <= delay:
		return reasonDeadline
	case !t.retryBudget.withdraw():
		return reasonRetryBudget
	}
	if !clock.Sleep(ctx, delay) {
		return reasonDeadline
	}
	return ""
}

func (t *ResilientTable) newBackoff() *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = t.config.InitialBackoff
	delays.MaxInterval = t.config.MaxBackoff
	delays.RandomizationFactor = backoffJitter
	delays.Reset()
	return delays
}
