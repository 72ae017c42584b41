package overload

import (
	"fmt"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/target"
)

// requestKinds are the kinds of engine request in the first user's specification.
var requestKinds = []Kind{
	{"keepsake-letter", 0.23, 5382, 200, 6610, 384, 1200 * time.Millisecond, 15 * time.Second},
	{"jar-question", 0.42, 198, 357, 628, 294, 500 * time.Millisecond, 12 * time.Second},
	{"note-tagging", 0.35, 568, 204, 1800, 24, 600 * time.Millisecond, 3 * time.Second},
}

// tokensPerSecond is the total capacity of the first user's engines.
const tokensPerSecond = 370_000

// FloodWorkspaces are the workspaces of Flood that request more than their share.
var FloodWorkspaces = []string{"flood-a", "flood-b", "flood-long", "flood-c"}

// Flood returns the load of a heavy day: twelve small workspaces, and four that request
// several times their share, two of them through one or two gates only and one with long
// prompts only.
func Flood() *Load {
	l := &Load{
		Kinds: requestKinds, Gates: 6, Engines: 18, Length: 24 * time.Second,
		TokensPerSecond: tokensPerSecond, ReportDelay: 200 * time.Millisecond, Seed: 7,
		Workspaces: []Workspace{
			{Name: "flood-a", RequestsPerSecond: 70},
			{Name: "flood-b", RequestsPerSecond: 70, Gates: []int{0, 1}},
			{Name: "flood-long", RequestsPerSecond: 35, LongPromptsOnly: true},
			{Name: "flood-c", RequestsPerSecond: 50, Gates: []int{2}},
		},
	}
	for i := range 12 {
		l.Workspaces = append(l.Workspaces, Workspace{Name: fmt.Sprintf("small-%02d", i), RequestsPerSecond: 3})
	}
	return l
}

// Shares is the gate's policy: limits depend on the workspace's fair share.
func Shares(load *Load) func() Policy {
	return func() Policy {
		c := newController()
		c.SetCapacity(load.TokensPerSecond)
		return c
	}
}

// NoShares is the baseline with the same limits for all workspaces.
func NoShares(*Load) func() Policy {
	return func() Policy { return newController() }
}

// WithRetryAfter is the gate's policy with a fixed retry delay for refused requests; 0
// tells callers not to retry.
func WithRetryAfter(load *Load, retryAfter time.Duration) func() Policy {
	return func() Policy { return fixedRetryAfter{Shares(load)(), retryAfter} }
}

type fixedRetryAfter struct {
	Policy
	retryAfter time.Duration
}

// Admit implements Policy.
func (p fixedRetryAfter) Admit(now time.Duration, r *admission.Request, targets []target.Instance) admission.Decision {
	d := p.Policy.Admit(now, r, targets)
	d.RetryAfter = p.retryAfter
	return d
}

func newController() *admission.Controller {
	return admission.NewController(admission.Config{Site: admission.Site{Region: "r", Domain: "d"}})
}

// OutcomeExcept returns the combined outcome of all workspaces except those named.
func (r *Result) OutcomeExcept(names ...string) Outcome {
	var total Outcome
	for name, o := range r.Workspaces {
		if slices.Contains(names, name) {
			continue
		}
		total.Requests += o.Requests
		total.InTime += o.InTime
		total.Late += o.Late
		total.Refused += o.Refused
		total.PromptTokens += o.PromptTokens
		total.MaxWait = max(total.MaxWait, o.MaxWait)
	}
	return total
}

// MaxMinTokensRatio returns the ratio of the most to the fewest admitted prompt tokens
// among the named workspaces.
func (r *Result) MaxMinTokensRatio(names ...string) float64 {
	minTokens, maxTokens := r.Workspaces[names[0]].PromptTokens, 0
	for _, name := range names {
		minTokens = min(minTokens, r.Workspaces[name].PromptTokens)
		maxTokens = max(maxTokens, r.Workspaces[name].PromptTokens)
	}
	return float64(maxTokens) / float64(max(minTokens, 1))
}
