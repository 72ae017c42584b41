// Package load is a small open-loop load generator for chat completions. It
// sends only to loopback addresses, and its load is bounded in count and time.
package load

import (
	"net"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of a load.
const (
	maxRate     = 5000.0 // requests/s
	maxDuration = 5 * time.Minute
	maxCount    = 200_000
	maxOpen     = 4096
	maxTokens   = 1 << 16
	maxPrompt   = 1 << 20 // bytes
)

// Workspace is one of the workspaces in whose names requests are sent.
type Workspace struct {
	Key    string  // API key; empty: none is sent
	Weight float64 // share of the requests
}

// Config describes a load.
type Config struct {
	URL        string // of a router or an engine, http://IP:port
	Model      string
	Rate       float64       // requests/s
	Duration   time.Duration // in which requests are sent
	Count      int           // most requests sent
	MaxOpen    int           // most requests open at once; those beyond are not sent
	Timeout    time.Duration // of one request
	MaxTokens  int           // tokens asked for
	Prompt     int           // bytes of a prompt
	Stream     bool
	Verify     bool // compare answers with those of the emulated engine
	Seed       uint64
	Workspaces []Workspace
}

// Validate returns an error that names each fault of the configuration.
func (c *Config) Validate() error {
	return errors.Join(
		checkURL(c.URL),
		checkRange("rate", c.Rate, 0.001, maxRate),
		checkRange("duration", c.Duration, time.Millisecond, maxDuration),
		checkRange("count", c.Count, 1, maxCount),
		checkRange("open requests", c.MaxOpen, 1, maxOpen),
		checkRange("timeout", c.Timeout, time.Millisecond, maxDuration),
		checkRange("tokens", c.MaxTokens, 1, maxTokens),
		checkRange("prompt", c.Prompt, 1, maxPrompt),
		checkWorkspaces(c.Workspaces),
	)
}

// checkURL accepts only literal loopback addresses, so that no name can lead
// elsewhere.
func checkURL(raw string) error {
	u, err := url.Parse(raw)
	if err != nil {
		return errors.Wrap(err, "URL")
	}
	if u.Scheme != "http" {
		return errors.Newf("URL %q does not start with http://", raw)
	}
	ip := net.ParseIP(u.Hostname())
	if ip == nil || !ip.IsLoopback() {
		return errors.Newf("host %q of the URL is no loopback IP address", u.Hostname())
	}
	return nil
}

func checkRange[T int | float64 | time.Duration](name string, value, least, most T) error {
	if value >= least && value <= most {
		return nil
	}
	return errors.Newf("%s %v is not between %v and %v", name, value, least, most)
}

func checkWorkspaces(workspaces []Workspace) error {
	if len(workspaces) == 0 {
		return errors.New("there is no workspace")
	}
	for _, w := range workspaces {
		if !(w.Weight > 0) {
			return errors.Newf("weight %v of a workspace is not above 0", w.Weight)
		}
	}
	return nil
}
