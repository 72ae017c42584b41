package platform

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/clock"
)

// Defaults of GuardConfig.
const (
	defaultRetries     = 3
	defaultBackoff     = 50 * time.Millisecond
	defaultMaxBackoff  = 2 * time.Second
	defaultFailures    = 5
	defaultOpen        = time.Second
	defaultRetryShare  = 10 // percent of the calls
	defaultRetryBurst  = 10
	backoffRandomShare = 0.5
)

// GuardConfig configures a Guarded. Zero fields take their defaults.
type GuardConfig struct {
	Timeout    time.Duration // of one attempt; default 2 s
	Retries    int           // attempts after the first; default 3, negative: none
	Backoff    time.Duration // before the first retry, doubled for each further one; default 50 ms
	MaxBackoff time.Duration // default 2 s
	Failures   int           // consecutive failures that open the circuit breaker; default 5
	Open       time.Duration // least time for which the breaker stays open; default 1 s
	Registerer prometheus.Registerer
}

func (c GuardConfig) withDefaults() GuardConfig {
	setDefault(&c.Timeout, defaultTimeout)
	setDefault(&c.Retries, defaultRetries)
	setDefault(&c.Backoff, defaultBackoff)
	setDefault(&c.MaxBackoff, defaultMaxBackoff)
	setDefault(&c.Failures, defaultFailures)
	setDefault(&c.Open, defaultOpen)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Guarded is a TableService that bounds the time of each call, repeats calls
// that are proven to have had no effect, and stops calling a service that
// keeps failing. It never repeats a commit whose effect is uncertain.
type Guarded struct {
	table   TableService
	config  GuardConfig
	breaker *breaker
	budget  *budget
	metrics *guardMetrics
}

// NewGuarded returns a guarded table.
func NewGuarded(table TableService, config GuardConfig) *Guarded {
	config = config.withDefaults()
	return &Guarded{
		table:   table,
		config:  config,
		breaker: &breaker{failures: config.Failures, open: config.Open},
		budget:  newBudget(defaultRetryShare, defaultRetryBurst),
		metrics: newGuardMetrics(config.Registerer),
	}
}

// Once returns a table that makes each call at most once, for callers that
// repeat calls themselves or must not wait. It shares the circuit breaker and
// the counters of g.
func (g *Guarded) Once() *Guarded {
	once := *g
	once.config.Retries = 0
	return &once
}

// Get implements TableService.
func (g *Guarded) Get(ctx context.Context, key string) (item Item, err error) {
	err = g.call(ctx, "get", func(ctx context.Context) error {
		item, err = g.table.Get(ctx, key)
		return err
	})
	return item, err
}

// List implements TableService.
func (g *Guarded) List(ctx context.Context, prefix string) (items []Item, err error) {
	err = g.call(ctx, "list", func(ctx context.Context) error {
		items, err = g.table.List(ctx, prefix)
		return err
	})
	return items, err
}

// Commit implements TableService.
func (g *Guarded) Commit(ctx context.Context, writes ...Write) (version uint64, err error) {
	err = g.call(ctx, "commit", func(ctx context.Context) error {
		version, err = g.table.Commit(ctx, writes...)
		return err
	})
	return version, err
}

// Open reports whether the circuit breaker is open.
func (g *Guarded) Open() bool { return g.breaker.isOpen() }

// call makes attempts until one has a final result.
func (g *Guarded) call(ctx context.Context, op string, attempt func(context.Context) error) error {
	g.budget.earn()
	waits := g.newBackoff()
	for tried := 0; ; tried++ {
		err := g.attempt(ctx, op, attempt)
		if resultOf(err) != resultUnavailable {
			return err
		}
		if reason := g.wait(ctx, tried, waits); reason != "" {
			g.metrics.refused.WithLabelValues(op, reason).Inc()
			return errors.Wrapf(err, "not repeated (%s)", reason)
		}
		g.metrics.retries.WithLabelValues(op).Inc()
	}
}

// attempt makes one attempt, unless the circuit breaker is open.
func (g *Guarded) attempt(ctx context.Context, op string, attempt func(context.Context) error) error {
	if !g.breaker.allow() {
		g.metrics.refused.WithLabelValues(op, refusedBreaker).Inc()
		return errors.Wrap(ErrUnavailable, "circuit breaker is open")
	}
	bounded, cancel := context.WithTimeout(ctx, g.config.Timeout)
	defer cancel()
	err := attempt(bounded)
	result := resultOf(err)
	g.metrics.calls.WithLabelValues(op, result).Inc()
	// A call that its own caller cancelled says nothing about the service.
	healthy := result != resultUnavailable && result != resultUncertain
	g.breaker.done(healthy || errors.Is(ctx.Err(), context.Canceled))
	return err
}

// wait waits before a retry. It returns the reason if there is to be none.
func (g *Guarded) wait(ctx context.Context, tried int, waits *backoff.ExponentialBackOff) string {
	pause := waits.NextBackOff()
	deadline, bounded := ctx.Deadline()
	switch {
	case tried >= g.config.Retries:
		return refusedRetries
	case g.breaker.isOpen():
		return refusedBreaker
	case bounded && time.Until(deadline) <= pause:
		return refusedDeadline
	case !g.budget.spend():
		return refusedBudget
	}
	if !clock.Sleep(ctx, pause) {
		return refusedDeadline
	}
	return ""
}

func (g *Guarded) newBackoff() *backoff.ExponentialBackOff {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = g.config.Backoff
	waits.MaxInterval = g.config.MaxBackoff
	waits.RandomizationFactor = backoffRandomShare
	waits.Reset()
	return waits
}
