// Package demo sends requests of two workspaces through a running fleet and
// compares what comes back, and what ran at the targets, with what must.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/mastichollow/mastichollow/internal/caller"
	"github.com/mastichollow/mastichollow/internal/operator"
)

const callTimeout = 30 * time.Second

// Config names the fleet.
type Config struct {
	Routers    []string // base URLs
	Engines    []string // base URLs of the engines' admin interfaces
	Service    string   // base URL of the plain service's admin interface
	LettersKey string   // API key of a workspace that may call the model
	ShopKey    string   // API key of a workspace that may call the service
	Drain      string   // VM ID of the agent beside the first engine
	Agents     []string // base URLs of the admin listeners of the model's agents
	Members    []string // base URLs of the admin listeners of all routers and agents
	Operator   *operator.Operator
}

// Check is one line of the demo's table.
type Check struct {
	Name     string
	Expected string
	Seen     string
}

// Held reports whether what was seen is what was expected.
func (c Check) Held() bool { return c.Expected == c.Seen }

// Demo runs the steps.
type Demo struct {
	cfg     Config
	letters caller.Caller
	shop    caller.Caller
	client  *http.Client // for metrics
	checks  []Check
}

// New returns a demo of the fleet that cfg names.
func New(cfg Config) *Demo {
	return &Demo{
		cfg:     cfg,
		letters: caller.Caller{Key: cfg.LettersKey, Timeout: callTimeout},
		shop:    caller.Caller{Key: cfg.ShopKey, Timeout: callTimeout},
		client:  &http.Client{Timeout: callTimeout},
	}
}

// Run runs all steps and returns what was expected and seen.
func (d *Demo) Run(ctx context.Context) []Check {
	d.streamedLetter(ctx)
	d.quickQuestion(ctx)
	d.repeatedOrder(ctx)
	d.status(ctx)
	d.refusals(ctx)
	d.drain(ctx)
	return d.checks
}

// check adds a line; an error is what was seen.
func (d *Demo) check(name, expected, seen string, err error) {
	if err != nil {
		seen = "error: " + err.Error()
	}
	d.checks = append(d.checks, Check{Name: name, Expected: expected, Seen: seen})
}

// Print writes checks as a table and reports whether all held.
func Print(w io.Writer, checks []Check) bool {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "check\texpected\tseen\t")
	held := true
	for _, c := range checks {
		verdict := "ok"
		if !c.Held() {
			verdict = "FAILED"
			held = false
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", c.Name, c.Expected, c.Seen, verdict)
	}
	_ = table.Flush()
	return held
}
