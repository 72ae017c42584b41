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

// frameReserve is the part of a frame that is not the request's body: fields
// of the message and header, in bytes.
const frameReserve = 1 << 20

// Limits bound what a caller may send.
type Limits struct {
	Body    int64 // bytes of a request body
	Header  int   // bytes of all header names and values
	Prompt  int   // bytes of all message contents of a chat completion
	Bodies  int64 // bytes of all bodies in hand; a workspace may take a quarter
	Offered int   // requests of one workspace and pool that wait for a first answer
}

// DefaultLimits returns the limits used unless settings say otherwise.
func DefaultLimits() Limits {
	return Limits{Body: 4 << 20, Header: 32 << 10, Prompt: 2 << 20, Bodies: 64 << 20, Offered: 256}
}

// Timing holds the router's timeouts.
type Timing struct {
	Deadline       time.Duration // of a request that names none
	MaxDeadline    time.Duration // greatest deadline that a caller may ask for
	Open           time.Duration // to open a stream and send its first message
	HomePatience   time.Duration // for the home agent's answer before others are asked
	Widen          time.Duration // between two steps of asking further agents
	SpillAfter     time.Duration // of waiting before other regions are asked
	Progress       time.Duration // without a message, several heartbeats of an agent, before an attempt is resumed
	Body           time.Duration // to read a request's body
	Write          time.Duration // for the caller to take a piece of the answer
	RetryBackoff   time.Duration // first pause before a retry
	RetryMaxPause  time.Duration // greatest pause before a retry
	MaxRetries     int           // retries of one request
	MaxResumes     int           // resumptions of one attempt without progress between them
	RetryRatio     float64       // retries earned per request of a workspace
	RetryBurst     float64       // retries that a workspace may save up
	OffersPerStep  int           // agents asked in one step
	OffersPerRound int           // agents asked before a retry
}

// DefaultTiming returns the timeouts used unless settings say otherwise.
func DefaultTiming() Timing {
	return Timing{
		Deadline:       10 * time.Minute,
		MaxDeadline:    time.Hour,
		Open:           2 * time.Second,
		HomePatience:   50 * time.Millisecond,
		Widen:          100 * time.Millisecond,
		SpillAfter:     time.Second,
		Progress:       3 * time.Second,
		Body:           30 * time.Second,
		Write:          time.Minute,
		RetryBackoff:   50 * time.Millisecond,
		RetryMaxPause:  2 * time.Second,
		MaxRetries:     3,
		MaxResumes:     4,
		RetryRatio:     0.1,
		RetryBurst:     10,
		OffersPerStep:  3,
		OffersPerRound: 64,
	}
}

// Config holds the settings of a Router and what it works with.
type Config struct {
	Store      *fleet.Store
	Opener     transport.Opener
	Site       placement.Site
	Limits     Limits  // zero value: DefaultLimits
	Timing     Timing  // zero value: DefaultTiming
	Routes     []Route // exceptions to what RFC 9110 says about methods
	Logger     hclog.Logger
	Registerer prometheus.Registerer
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

// validate names every fault of the settings at once.
func (c Config) validate() error {
	var faults []error
	check := func(ok bool, fault string) {
		if !ok {
			faults = append(faults, errors.New(fault))
		}
	}
	check(c.Store != nil, "store is missing")
	check(c.Opener != nil, "opener of streams is missing")
	check(c.Site.Region != "", "region is missing")
	check(c.Site.Domain != "", "failure domain is missing")
	faults = append(faults, c.CheckLimits())
	return errors.Join(faults...)
}

// CheckLimits names every fault of the limits and timeouts at once.
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
	check(l.Bodies >= workspaceShare*l.Body,
		"limit of %d bytes of all bodies is below %d times the body limit", l.Bodies, workspaceShare)
	check(l.Offered > 0, "limit of %d offered requests is not positive", l.Offered)
	check(t.Deadline > 0 && t.Deadline <= t.MaxDeadline,
		"deadline %s is not within the greatest deadline %s", t.Deadline, t.MaxDeadline)
	check(t.Open > 0 && t.HomePatience > 0 && t.Widen > 0 && t.SpillAfter > 0 && t.Progress > 0,
		"timeouts of offers must be positive")
	check(t.Body > 0 && t.Write > 0, "timeouts towards callers must be positive")
	check(t.RetryBackoff > 0 && t.RetryMaxPause >= t.RetryBackoff,
		"retry pause %s exceeds the greatest pause %s", t.RetryBackoff, t.RetryMaxPause)
	check(t.MaxRetries >= 0 && t.MaxResumes >= 0, "numbers of retries must not be negative")
	check(t.RetryRatio >= 0 && t.RetryBurst >= 0, "retry budget must not be negative")
	check(t.OffersPerStep > 0 && t.OffersPerRound > 0, "numbers of offers must be positive")
	return errors.Join(faults...)
}
