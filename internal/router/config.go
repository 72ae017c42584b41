package router

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/fleet"
	"github.com/mastichollow/mastichollow/internal/placement"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// frameReserve is the part of a frame, in bytes, that is left for the header and the
// other fields of the message beside the body.
const frameReserve = 1 << 20

// Limits bound what callers may send and how much of it the router stores.
type Limits struct {
	Body          int64 // bytes of a request body
	Header        int   // bytes of all header names and values
	Prompt        int   // bytes of all message contents of a chat completion
	BodyMemory    int64 // bytes of all bodies in flight; one workspace may use a quarter
	PendingOffers int   // requests per workspace and pool that no agent has queued or granted yet
}

// DefaultLimits returns the limits used if Config.Limits is zero.
func DefaultLimits() Limits {
	return Limits{Body: 4 << 20, Header: 32 << 10, Prompt: 2 << 20, BodyMemory: 64 << 20, PendingOffers: 256}
}

// Timing holds the timeouts, retry bounds and offer bounds of the router.
type Timing struct {
	DefaultDeadline     time.Duration // of a request without a timeout of its own
	MaxDeadline         time.Duration // longest timeout that a caller may request
	OpenTimeout         time.Duration // to open a stream and send its first message
	HedgeDelay          time.Duration // after the offer to the home agent, before other agents get offers
	HedgeInterval       time.Duration // between the first two hedging steps; doubles with each step
	SpillAfter          time.Duration // wait before each offer to a remote region without known free slots
	ProgressTimeout     time.Duration // without any message, before an attempt is resumed; several heartbeats of an agent
	BodyReadTimeout     time.Duration // to read a request's body
	WriteTimeout        time.Duration // for one write of the answer to the caller
	InitialRetryBackoff time.Duration // before the first retry
	MaxRetryBackoff     time.Duration // before any retry
	MaxRetries          int           // per request
	MaxResumes          int           // resumptions of one attempt without progress between them
	RetryRatio          float64       // retries that a workspace earns per request
	RetryBurst          float64       // retries that a workspace can accumulate
	OffersPerStep       int           // offers in the first hedging step; doubles with each step
	OffersPerRound      int           // offers between two retries
}

// DefaultTiming returns the values used if Config.Timing is zero.
func DefaultTiming() Timing {
	return Timing{
		DefaultDeadline:     10 * time.Minute,
		MaxDeadline:         time.Hour,
		OpenTimeout:         2 * time.Second,
		HedgeDelay:          50 * time.Millisecond,
		HedgeInterval:       100 * time.Millisecond,
		SpillAfter:          time.Second,
		ProgressTimeout:     3 * time.Second,
		BodyReadTimeout:     30 * time.Second,
		WriteTimeout:        time.Minute,
		InitialRetryBackoff: 50 * time.Millisecond,
		MaxRetryBackoff:     2 * time.Second,
		MaxRetries:          3,
		MaxResumes:          4,
		RetryRatio:          0.1,
		RetryBurst:          10,
		OffersPerStep:       3,
		OffersPerRound:      64,
	}
}

// Config holds the settings and dependencies of a Router.
type Config struct {
	Store      *fleet.Store
	Opener     transport.Opener
	Site       placement.Site
	Limits     Limits                // zero value: DefaultLimits
	Timing     Timing                // zero value: DefaultTiming
	Routes     []Route               // exceptions to the method semantics of RFC 9110
	Logger     hclog.Logger          // nil: no logs
	Registerer prometheus.Registerer // nil: a private registry
}

// withDefaults returns c with defaults in place of zero values.
func (c Config) withDefaults() Config {
	if c.Limits == (Limits{}) {
		c.Limits = DefaultLimits()
	}
	if c.Timing == (Timing{}) {
		c.Timing = DefaultTiming()
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.Registerer == nil {
		c.Registerer = prometheus.NewRegistry()
	}
	return c
}

// validate returns all faults of the configuration at once.
func (c Config) validate() error {
	var faults []error
	check := func(ok bool, fault string) {
		if !ok {
			faults = append(faults, errors.New(fault))
		}
	}
	check(c.Store != nil, "store is missing")
	check(c.Opener != nil, "stream opener is missing")
	check(c.Site.Region != "", "region is missing")
	check(c.Site.Domain != "", "failure domain is missing")
	faults = append(faults, c.CheckLimits())
	return errors.Join(faults...)
}

// CheckLimits returns all faults of Limits and Timing at once, or nil. It does not
// apply defaults.
func (c Config) CheckLimits() error {
	var faults []error
	check := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, errors.Newf(format, args...))
		}
	}
	t, l := c.Timing, c.Limits
	check(l.Body > 0 && l.Body <= wire.MaxFrame-frameReserve,
		"body limit of %d bytes is not within 1 to %d", l.Body, wire.MaxFrame-frameReserve)
	check(l.Header > 0 && l.Header <= frameReserve/2,
		"header limit of %d bytes is not within 1 to %d", l.Header, frameReserve/2)
	check(l.Prompt > 0, "prompt limit of %d bytes is not positive", l.Prompt)
	check(l.BodyMemory >= workspaceMemoryDivisor*l.Body,
		"memory limit of %d bytes for all bodies is below %d times the body limit", l.BodyMemory, workspaceMemoryDivisor)
	check(l.PendingOffers > 0, "limit of %d pending offers is not positive", l.PendingOffers)
	check(t.DefaultDeadline > 0 && t.DefaultDeadline <= t.MaxDeadline,
		"default deadline %s is not positive or exceeds the maximum deadline %s", t.DefaultDeadline, t.MaxDeadline)
	check(t.OpenTimeout > 0 && t.HedgeDelay > 0 && t.HedgeInterval > 0 && t.SpillAfter > 0 && t.ProgressTimeout > 0,
		"timeouts of offers and attempts must be positive")
	check(t.BodyReadTimeout > 0 && t.WriteTimeout > 0, "read and write timeouts of callers must be positive")
	check(t.InitialRetryBackoff > 0 && t.MaxRetryBackoff >= t.InitialRetryBackoff,
		"initial retry backoff %s is not positive or exceeds the maximum backoff %s", t.InitialRetryBackoff, t.MaxRetryBackoff)
	check(t.MaxRetries >= 0 && t.MaxResumes >= 0, "maximum numbers of retries and resumptions must not be negative")
	check(t.RetryRatio >= 0 && t.RetryBurst >= 0, "retry ratio and retry burst must not be negative")
	check(t.OffersPerStep > 0 && t.OffersPerRound > 0, "numbers of offers per step and round must be positive")
	return errors.Join(faults...)
}
