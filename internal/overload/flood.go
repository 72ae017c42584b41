package overload

import (
	"fmt"
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/target"
)

// letters are the kinds of request of the first user's sheet that go to engines.
var letters = []Kind{
	{"keepsake-letter", 0.23, 5382, 200, 6610, 384, 1200 * time.Millisecond, 15 * time.Second},
	{"jar-question", 0.42, 198, 357, 628, 294, 500 * time.Millisecond, 12 * time.Second},
	{"note-tagging", 0.35, 568, 204, 1800, 24, 600 * time.Millisecond, 3 * time.Second},
}

// tokensPerSecond is what the first user's engines produce together.
const tokensPerSecond = 370_000

// FloodNames are the workspaces of Flood that ask for more than their share.
var FloodNames = []string{"flood-a", "flood-b", "flood-long", "flood-c"}

// Flood is the load of a heavy day: twelve small workspaces beside four that ask
// for several times their share, some at few gates alone, one with long prompts
// alone.
func Flood() *Load {
	l := &Load{
		Kinds: letters, Gates: 6, Engines: 18, Length: 24 * time.Second,
		TokensPerSecond: tokensPerSecond, ReportDelay: 200 * time.Millisecond, Seed: 7,
		Workspaces: []Workspace{
			{Name: "flood-a", PerSecond: 70},
			{Name: "flood-b", PerSecond: 70, Gates: []int{0, 1}},
			{Name: "flood-long", PerSecond: 35, Long: true},
			{Name: "flood-c", PerSecond: 50, Gates: []int{2}},
		},
	}
	for i := range 12 {
		l.Workspaces = append(l.Workspaces, Workspace{Name: fmt.Sprintf("small-%02d", i), PerSecond: 3})
	}
	return l
}

// Shares is the policy of the gate.
func Shares(load *Load) func() Policy {
	return func() Policy {
		c := newController()
		c.SetCapacity(load.TokensPerSecond)
		return c
	}
}

// NoShares is the baseline: the same limits for everybody.
func NoShares(*Load) func() Policy {
	return func() Policy { return newController() }
}

// ReturnLater is the policy of the gate, but for callers of refused requests:
// they are told to come back after pause.
func ReturnLater(load *Load, pause time.Duration) func() Policy {
	return func() Policy { return later{Shares(load)(), pause} }
}

type later struct {
	Policy
	pause time.Duration
}

// Admit implements Policy.
func (l later) Admit(now time.Duration, r *admission.Request, targets []target.Instance) admission.Decision {
	d := l.Policy.Admit(now, r, targets)
	d.RetryAfter = l.pause
	return d
}

func newController() *admission.Controller {
	return admission.NewController(admission.Config{Site: admission.Site{Region: "r", Domain: "d"}})
}

// Below returns the outcome of all workspaces but those named.
func (r *Result) Below(names ...string) Outcome {
	var sum Outcome
	for name, o := range r.Workspaces {
		if slices.Contains(names, name) {
			continue
		}
		sum.Asked += o.Asked
		sum.InTime += o.InTime
		sum.Late += o.Late
		sum.Refused += o.Refused
		sum.Tokens += o.Tokens
		sum.LongestWait = max(sum.LongestWait, o.LongestWait)
	}
	return sum
}

// Ratio returns how far the best served of the named workspaces is ahead of the
// worst, in tokens.
func (r *Result) Ratio(names ...string) float64 {
	least, most := r.Workspaces[names[0]].Tokens, 0
	for _, name := range names {
		least = min(least, r.Workspaces[name].Tokens)
		most = max(most, r.Workspaces[name].Tokens)
	}
	return float64(most) / float64(max(least, 1))
}
