// Package route holds the configuration table of the gate: which requests are routed to
// which service, which workspace an API key belongs to, and how often a request may run.
//
// Invariants: a Table never changes after New, so that a request is handled under one
// version from start to end; a route without a service is rejected by New.
package route

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// RetryPolicy says whether a request may run more than once.
type RetryPolicy uint8

// Retry policies.
const (
	// AtMostOnce requests are never sent to another target once they may have run.
	AtMostOnce RetryPolicy = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Resumable streams may continue at another target after the last event that the
	// caller has received.
	Resumable
)

// Route sends the requests below one path prefix of one host to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	RetryPolicy RetryPolicy
	Streaming   bool
	Public      bool // needs no key
	// PrefixAffinity requests carry the hashes of their prompt parts and prefer targets
	// that have them cached.
	PrefixAffinity bool
	// Timeout is the maximum time until the complete answer. 0 means none.
	Timeout time.Duration
	// LatencyObjective is the objective for the time to the answer, or to the first event
	// of a stream. 0 means none.
	LatencyObjective time.Duration
	// InterTokenObjective is the objective for the longest gap between two events of a
	// stream. 0 means none.
	InterTokenObjective time.Duration
	// MaxTargets is the maximum number of targets to which one request may be sent.
	MaxTargets int
	Services   []WeightedService
	// AllowedRegions names the regions in which the requests may be served; empty: all.
	AllowedRegions []string
}

// WeightedService is a service with its weight among the services of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a set of interchangeable targets.
type Service struct {
	Name           string
	MaxConnections int // of all callers, per target
	// Slots is the maximum batch size of a model engine, 0 for a plain service.
	Slots int
	// CacheTokens is the capacity of a model engine's KV cache in tokens.
	CacheTokens int
	// ColdPhase is how long a target is cold after its start, and ColdPerSecond how many
	// requests per second it tolerates until then. If ColdPerSecond is 0, the service has no
	// cold phase.
	ColdPhase     time.Duration
	ColdPerSecond float64
}

// Workspace is a customer of the fleet.
type Workspace struct {
	Name string
	Keys []string
	// AllowedRegions names the regions in which the requests may be served; empty: all.
	AllowedRegions []string
}

// Limits are the limits that hold for the whole fleet.
type Limits struct {
	BodyBytes int64 // maximum size of a request body
	// TokensPerSecond is the total throughput of all engines; 0 means unknown. A prompt
	// token counts once, a generated token twice.
	TokensPerSecond float64
}

// Config is the input of New.
type Config struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Table is one version of the configuration table.
type Table struct {
	version    int64
	hosts      map[string][]*Route // by lower-case host; longest prefix first
	services   map[string]*Service
	keys       map[string]*Workspace
	workspaces int
	limits     Limits
}

// New returns the table that config describes. It fails on a version that is not
// positive, on a route without services and on a route whose prefix does not begin and end
// with a slash.
func New(config Config) (*Table, error) {
	table := &Table{
		version:    config.Version,
		hosts:      make(map[string][]*Route),
		services:   make(map[string]*Service, len(config.Services)),
		keys:       make(map[string]*Workspace),
		workspaces: len(config.Workspaces),
		limits:     config.Limits,
	}
	if config.Version <= 0 {
		return nil, errors.Newf("version %d is not positive", config.Version)
	}
	for i := range config.Routes {
		if err := table.addRoute(&config.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range config.Services {
		table.services[config.Services[i].Name] = &config.Services[i]
	}
	for i := range config.Workspaces {
		workspace := &config.Workspaces[i]
		for _, key := range workspace.Keys {
			table.keys[key] = workspace
		}
	}
	for _, routes := range table.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return table, nil
}

func (t *Table) addRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errors.Newf("prefix %q of route %q does not begin and end with a slash", r.Prefix, r.Name)
	}
	if len(r.Services) == 0 {
		return errors.Newf("route %q has no service", r.Name)
	}
	host := strings.ToLower(r.Host)
	t.hosts[host] = append(t.hosts[host], r)
	return nil
}

// Version returns the version of the table, which the operators assign.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits that hold for the whole fleet.
func (t *Table) Limits() Limits { return t.limits }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	count := 0
	for _, routes := range t.hosts {
		count += len(routes)
	}
	return count
}

// HasWorkspaces reports whether the table has workspaces, so that requests need a key.
func (t *Table) HasWorkspaces() bool { return t.workspaces > 0 }

// Match returns the route of a request: the one with the longest prefix of path among the
// routes of the host. A port in host is ignored. It returns nil if no route matches.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if hostname, _, found := strings.Cut(host, ":"); found {
		host = hostname
	}
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Services returns all services, in no particular order.
func (t *Table) Services() iter.Seq[*Service] { return maps.Values(t.services) }

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Authenticate returns the workspace that key belongs to, or nil.
func (t *Table) Authenticate(key string) *Workspace { return t.keys[key] }

// Pick chooses a service by weight; hash is the request's hash, scaled to [0, 1).
func (r *Route) Pick(hash float64) string {
	totalWeight := 0.0
	for _, s := range r.Services {
		totalWeight += s.Weight
	}
	remaining := hash * totalWeight
	for _, s := range r.Services {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}
