// Package demo sends requests of two workspaces through a running fleet and compares
// the responses, and the runs at the targets, with the expected ones.
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

// Config describes the fleet under test.
type Config struct {
	RouterURLs      []string // base URLs
	EngineAdminURLs []string // base URLs of the engines' admin interfaces
	ServiceAdminURL string   // base URL of the plain service's admin interface
	LettersKey      string   // API key of a workspace that may call the model
	ShopKey         string   // API key of a workspace that may call the service
	DrainVM         string   // VM ID of the agent beside the first engine
	AgentAdminURLs  []string // base URLs of the admin listeners of the model's agents
	MemberAdminURLs []string // base URLs of the admin listeners of all routers and agents
	Operator        *operator.Operator
}

// Check is one line of the table that the demo prints.
type Check struct {
	Name     string
	Expected string
	Actual   string
}

// Passed reports whether the actual value is the expected one.
func (c Check) Passed() bool { return c.Expected == c.Actual }

// Demo runs the checks against a fleet.
type Demo struct {
	cfg           Config
	modelCaller   caller.Caller
	serviceCaller caller.Caller
	metricsClient *http.Client
	checks        []Check
}

// New returns a demo for the fleet that cfg describes.
func New(cfg Config) *Demo {
	return &Demo{
		cfg:           cfg,
		modelCaller:   caller.Caller{Key: cfg.LettersKey, Timeout: callTimeout},
		serviceCaller: caller.Caller{Key: cfg.ShopKey, Timeout: callTimeout},
		metricsClient: &http.Client{Timeout: callTimeout},
	}
}

// Run runs all checks and returns their results.
func (d *Demo) Run(ctx context.Context) []Check {
	d.checkStreamedCompletion(ctx)
	d.checkInteractiveCompletion(ctx)
	d.checkRepeatedOrder(ctx)
	d.checkOrderStatus(ctx)
	d.checkRefusals(ctx)
	d.checkDrain(ctx)
	return d.checks
}

// addCheck records a check. An error takes the place of the actual value.
func (d *Demo) addCheck(name, expected, actual string, err error) {
	if err != nil {
		actual = "error: " + err.Error()
	}
	d.checks = append(d.checks, Check{Name: name, Expected: expected, Actual: actual})
}

// Print writes checks as a table and reports whether all passed.
func Print(w io.Writer, checks []Check) bool {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "check\texpected\tseen\t")
	passed := true
	for _, c := range checks {
		verdict := "ok"
		if !c.Passed() {
			verdict = "FAILED"
			passed = false
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", c.Name, c.Expected, c.Actual, verdict)
	}
	_ = table.Flush()
	return passed
}
