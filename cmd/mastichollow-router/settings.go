package main

import (
	"net"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/placement"
	"github.com/mastichollow/mastichollow/internal/process"
	"github.com/mastichollow/mastichollow/internal/router"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/transport"
)

// settings are the flags and environment variables of the program.
type settings struct {
	ID          string `help:"VM ID." placeholder:"ID"`
	Domain      string `help:"Failure domain of the VM." placeholder:"NAME"`
	Region      string `help:"Region of the VM." placeholder:"NAME"`
	Listen      string `help:"Address of the listener for callers (HTTP)." placeholder:"IP:PORT"`
	FleetListen string `help:"Address of the fleet listener (UDP)." placeholder:"IP:PORT"`
	Advertise   string `help:"Address by which others reach the fleet listener; the fleet listen address if empty." placeholder:"IP:PORT"`
	Admin       string `help:"Address of the admin listener (TCP): /metrics, /healthz, /readyz." placeholder:"IP:PORT"`
	FleetKey    string `help:"Fleet key, or several joined by commas: the first signs, all are accepted." placeholder:"KEY"`

	TableURL        string        `name:"table-url" help:"Base URL of the platform's table service." placeholder:"URL"`
	VMsURL          string        `name:"vms-url" help:"Base URL of the platform's VM list." placeholder:"URL"`
	PlatformTimeout time.Duration `help:"Longest call to the platform." default:"2s"`

	Deadline    time.Duration `help:"Time for a request that names none in X-Request-Timeout." default:"10m"`
	MaxDeadline time.Duration `help:"Longest time that a caller may ask for." default:"1h"`
	BodyLimit   int64         `help:"Bytes of a request body." default:"4194304"`
	HeaderLimit int           `help:"Bytes of a request's header fields." default:"32768"`
	PromptLimit int           `help:"Bytes of all message contents of a chat completion." default:"2097152"`
	BodiesLimit int64         `help:"Bytes of the bodies of all requests in hand; one workspace may take a quarter." default:"67108864"`
	SpillAfter  time.Duration `help:"Time that a request waits before agents of other regions without known free slots are asked." default:"1s"`
	MaxRetries  int           `help:"Retries of one request." default:"3"`
	RetryRatio  float64       `help:"Retries that a workspace earns with each request." default:"0.1"`
	Route       []string      `help:"Exception to RFC 9110: service:METHOD:/path-prefix:repeatable or service:METHOD:/path-prefix:once. May be given more than once." placeholder:"ROUTE"`
	DrainDelay  time.Duration `help:"Time between the failure of /readyz and the end of accepting connections at a stop." default:"2s"`

	Version kong.VersionFlag `help:"Print the version and exit." env:"-"`

	Log process.LogSettings `embed:"" prefix:"log-"`

	routes []router.Route
}

// validate names every fault of the settings at once and parses the routes.
func (s *settings) validate() error {
	var faults []error
	fault := func(flag string, err error) {
		if err != nil {
			faults = append(faults, errors.Wrapf(err, "--%s", flag))
		}
	}
	for flag, value := range map[string]string{"id": s.ID, "domain": s.Domain, "region": s.Region} {
		fault(flag, checkName(value))
	}
	for flag, value := range map[string]string{"listen": s.Listen, "fleet-listen": s.FleetListen, "admin": s.Admin} {
		fault(flag, checkAddr(value))
	}
	if s.Advertise != "" {
		fault("advertise", checkAddr(s.Advertise))
	}
	fault("table-url", checkURL(s.TableURL))
	fault("vms-url", checkURL(s.VMsURL))
	_, err := transport.ParseKeys(s.FleetKey)
	fault("fleet-key", err)
	if s.PlatformTimeout <= 0 {
		fault("platform-timeout", errors.Newf("%s is not positive", s.PlatformTimeout))
	}
	if s.DrainDelay < 0 {
		fault("drain-delay", errors.Newf("%s is negative", s.DrainDelay))
	}
	s.routes = s.routes[:0]
	for _, text := range s.Route {
		route, err := router.ParseRoute(text)
		fault("route", err)
		s.routes = append(s.routes, route)
	}
	faults = append(faults, s.routerFaults()...)
	slices.SortFunc(faults, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(faults...)
}

// routerFaults returns the faults that the router finds in its limits and
// timeouts.
func (s *settings) routerFaults() []error {
	if err := s.routerConfig().CheckLimits(); err != nil {
		return []error{err}
	}
	return nil
}

// routerConfig returns the part of the router's configuration that follows from
// the settings.
func (s *settings) routerConfig() router.Config {
	timing := router.DefaultTiming()
	timing.Deadline = s.Deadline
	timing.MaxDeadline = s.MaxDeadline
	timing.SpillAfter = s.SpillAfter
	timing.MaxRetries = s.MaxRetries
	timing.RetryRatio = s.RetryRatio
	limits := router.DefaultLimits()
	limits.Body, limits.Header, limits.Prompt = s.BodyLimit, s.HeaderLimit, s.PromptLimit
	limits.Bodies = s.BodiesLimit
	return router.Config{
		Site:   placement.Site{Region: s.Region, Domain: s.Domain},
		Limits: limits,
		Timing: timing,
		Routes: s.routes,
	}
}

// vm describes this VM to the fleet.
func (s *settings) vm(listen string) target.VM {
	addr := s.Advertise
	if addr == "" {
		addr = listen
	}
	return target.VM{
		ID:     s.ID,
		Addr:   addr,
		Role:   target.RoleRouter,
		Region: s.Region,
		Domain: s.Domain,
		State:  target.StateLive,
	}
}

func checkName(value string) error {
	if value == "" {
		return errors.New("is missing")
	}
	return nil
}

func checkAddr(value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return errors.Newf("%q is not an address IP:PORT", value)
	}
	if net.ParseIP(host) == nil {
		return errors.Newf("%q does not begin with an IP number", value)
	}
	return nil
}

func checkURL(value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.Newf("%q is not an http or https URL", value)
	}
	return nil
}
