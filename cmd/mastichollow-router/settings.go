package main

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/connlimit"
	"github.com/mastichollow/mastichollow/internal/placement"
	"github.com/mastichollow/mastichollow/internal/process/member"
	check "github.com/mastichollow/mastichollow/internal/process/settings"
	"github.com/mastichollow/mastichollow/internal/router"
)

// settings are the flags and environment variables of the program.
type settings struct {
	member.Settings

	Listen      string `help:"Address of the listener for callers (HTTP)." placeholder:"IP:PORT"`
	FleetListen string `help:"Address of the fleet listener (UDP)." placeholder:"IP:PORT"`

	Deadline         time.Duration `help:"Time for a request that names none in X-Request-Timeout." default:"10m"`
	MaxDeadline      time.Duration `help:"Longest time that a caller may ask for." default:"1h"`
	BodyLimit        int64         `help:"Bytes of a request body." default:"4194304"`
	HeaderLimit      int           `help:"Bytes of a request's header fields." default:"32768"`
	PromptLimit      int           `help:"Bytes of all message contents of a chat completion." default:"2097152"`
	BodiesLimit      int64         `help:"Bytes of the bodies of all requests in hand; one workspace may take a quarter." default:"67108864"`
	ConnectionsLimit int64         `help:"Bytes charged for the connections of callers and the heads that they send." default:"268435456"`
	SpillAfter       time.Duration `help:"Time that a request waits before agents of other regions without known free slots are asked." default:"1s"`
	MaxRetries       int           `help:"Retries of one request." default:"3"`
	RetryRatio       float64       `help:"Retries that a workspace earns with each request." default:"0.1"`
	Route            []string      `help:"Exception to RFC 9110: service:METHOD:/path-prefix:repeatable or service:METHOD:/path-prefix:once. May be given more than once." placeholder:"ROUTE"`
	DrainDelay       time.Duration `help:"Time between the failure of /readyz and the end of accepting connections at a stop." default:"2s"`

	routes []router.Route
}

// validate reports all invalid settings in one error and parses the routes.
func (s *settings) validate() error {
	var errs check.Errors
	s.Check(&errs)
	check.CheckEach(&errs, check.Addr, map[string]string{"listen": s.Listen, "fleet-listen": s.FleetListen})
	if s.DrainDelay < 0 {
		errs.Check("drain-delay", errors.Newf("%s is negative", s.DrainDelay))
	}
	s.routes = s.routes[:0]
	for _, text := range s.Route {
		route, err := router.ParseRoute(text)
		errs.Check("route", err)
		s.routes = append(s.routes, route)
	}
	if s.ConnectionsLimit < connlimit.ConnBytes {
		errs.Check("connections-limit", errors.Newf("%d bytes are less than one connection takes", s.ConnectionsLimit))
	}
	errs.Add(s.routerConfig().CheckLimits())
	return errs.Join()
}

// routerConfig returns the part of the router's configuration that is derived from the
// settings.
func (s *settings) routerConfig() router.Config {
	timing := router.DefaultTiming()
	timing.DefaultDeadline = s.Deadline
	timing.MaxDeadline = s.MaxDeadline
	timing.SpillAfter = s.SpillAfter
	timing.MaxRetries = s.MaxRetries
	timing.RetryRatio = s.RetryRatio
	limits := router.DefaultLimits()
	limits.Body, limits.Header, limits.Prompt = s.BodyLimit, s.HeaderLimit, s.PromptLimit
	limits.BodyMemory = s.BodiesLimit
	return router.Config{
		Site:   placement.Site{Region: s.Region, Domain: s.Domain},
		Limits: limits,
		Timing: timing,
		Routes: s.routes,
	}
}
