// Package route holds the operators' table as the gate uses it: which requests
// go to which service, whose keys they carry, and how often they may run.
//
// Invariants: a Table never changes after New, so a request is handled under
// one version from start to end; a route with no service never matches.
package route

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Repetition says what may be repeated.
type Repetition uint8

// Kinds of repetition.
const (
	// Once requests run at most once.
	Once Repetition = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Resumable streams may go on at another target after the last event that
	// the caller has seen.
	Resumable
)

// Route sends the requests below one path prefix of one host to services.
type Route struct {
	Name       string
	Host       string
	Prefix     string // begins and ends with a slash
	Repetition Repetition
	Streaming  bool
	Public     bool // needs no key
	// Affine requests carry the hashes of the parts of their prompt.
	Affine bool
	// Timeout is the longest time that a request may go without its final
	// answer. Zero: none.
	Timeout time.Duration
	// Goal is the time to the answer, or to the first event of a stream, that
	// counts as good service. Zero: none.
	Goal time.Duration
	// GapGoal is the longest pause between two events of a stream that counts as
	// good service. Zero: none.
	GapGoal time.Duration
	// MaxTargets bounds the targets to which one request may be sent.
	MaxTargets int
	Services   []Share
}

// Share is a service with its part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Service is a set of equal targets.
type Service struct {
	Name           string
	MaxConnections int // from all callers, for each target
	// Slots is the batch of a model engine, 0 for a plain service.
	Slots int
	// CacheTokens is the memory of a model engine in tokens.
	CacheTokens int
}

// Workspace is a customer of the fleet.
type Workspace struct {
	Name string
	Keys []string
}

// Limits are the bounds that hold for the whole fleet.
type Limits struct {
	BodyBytes int64
	// TokensPerSecond is what all engines produce together; 0: not known. A
	// token that is read counts once, a generated one twice.
	TokensPerSecond float64
}

// Content is what a Table is made of.
type Content struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Table is one version of the operators' table.
type Table struct {
	version    int64
	hosts      map[string][]*Route // longest prefix first
	services   map[string]*Service
	keys       map[string]*Workspace
	workspaces int
	limits     Limits
}

// New returns the table of content. It fails on a version that is not positive
// and on routes whose prefix does not begin and end with a slash.
func New(content Content) (*Table, error) {
	t := &Table{
		version:    content.Version,
		hosts:      make(map[string][]*Route),
		services:   make(map[string]*Service, len(content.Services)),
		keys:       make(map[string]*Workspace),
		workspaces: len(content.Workspaces),
		limits:     content.Limits,
	}
	if content.Version <= 0 {
		return nil, errors.Newf("version %d is not positive", content.Version)
	}
	for i := range content.Routes {
		if err := t.addRoute(&content.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range content.Services {
		t.services[content.Services[i].Name] = &content.Services[i]
	}
	for i := range content.Workspaces {
		ws := &content.Workspaces[i]
		for _, key := range ws.Keys {
			t.keys[key] = ws
		}
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t, nil
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

// Version returns the version that the operators gave the table.
func (t *Table) Version() int64 { return t.version }

// Limits returns the bounds on what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Routes returns the number of routes.
func (t *Table) Routes() int {
	n := 0
	for _, routes := range t.hosts {
		n += len(routes)
	}
	return n
}

// HasWorkspaces reports whether requests need a key.
func (t *Table) HasWorkspaces() bool { return t.workspaces > 0 }

// Match returns the route of a request: the longest prefix of the host that
// begins path. A port in host is passed over. It returns nil if there is none.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Authenticate returns the workspace that holds key, or nil.
func (t *Table) Authenticate(key string) *Workspace { return t.keys[key] }

// Pick returns the service of r for a request whose hash is a number in [0, 1).
func (r *Route) Pick(hash float64) string {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	at := hash * total
	for _, s := range r.Services {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}
