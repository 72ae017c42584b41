// Package load is a small open-loop load generator for chat completions. It sends only to
// loopback addresses, and it bounds the number of requests and the duration.
package load

import (
	"net"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// Upper bounds of the configuration.
const (
	maxRate        = 5000.0 // requests/s
	maxDuration    = 5 * time.Minute
	maxCount       = 200_000
	maxOpen        = 4096
	maxTokens      = 1 << 16
	maxPromptBytes = 1 << 20
)

// Workspace is a workspace that sends part of the requests.
type Workspace struct {
	Key    string  // API key; empty: no key is sent
	Weight float64 // relative share of the requests
}

// Config describes the load to generate.
type Config struct {
	URL         string // of a router or an engine, http://IP:port
	Model       string
	Rate        float64       // requests/s
	Duration    time.Duration // time in which requests are sent
	Count       int           // maximum number of requests to send
	MaxOpen     int           // maximum number of concurrent requests; a request above it is not sent
	Timeout     time.Duration // of one request
	MaxTokens   int           // tokens to generate per request
	PromptBytes int           // size of each prompt
	Stream      bool
	Verify      bool // compare answers with the expected ones of the emulated engine
	Seed        uint64
	Workspaces  []Workspace
}

// Validate returns an error that names every invalid field of the configuration.
func (c *Config) Validate() error {
	return errors.Join(
		checkURL(c.URL),
		checkRange("rate", c.Rate, 0.001, maxRate),
		checkRange("duration", c.Duration, time.Millisecond, maxDuration),
		checkRange("count", c.Count, 1, maxCount),
		checkRange("open requests", c.MaxOpen, 1, maxOpen),
		checkRange("timeout", c.Timeout, time.Millisecond, maxDuration),
		checkRange("tokens", c.MaxTokens, 1, maxTokens),
		checkRange("prompt", c.PromptBytes, 1, maxPromptBytes),
		checkWorkspaces(c.Workspaces),
	)
}

// checkURL accepts only literal loopback addresses, because a host name could resolve to
// another machine.
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
		return errors.Newf("host %q of the URL is not a loopback IP address", u.Hostname())
	}
	return nil
}

func checkRange[T int | float64 | time.Duration](name string, value, minimum, maximum T) error {
	if value >= minimum && value <= maximum {
		return nil
	}
	return errors.Newf("%s %v is not between %v and %v", name, value, minimum, maximum)
}

func checkWorkspaces(workspaces []Workspace) error {
	if len(workspaces) == 0 {
		return errors.New("no workspace is given")
	}
	for _, w := range workspaces {
		if !(w.Weight > 0) {
			return errors.Newf("weight %v of a workspace is not above 0", w.Weight)
		}
	}
	return nil
}
