package overload

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/admission"
)

// letters are the kinds of request of the first user's sheet.
var letters = []Kind{
	{"keepsake-letter", 0.23, 5382, 200, 6610, 384, 1200 * time.Millisecond, 15 * time.Second},
	{"jar-question", 0.42, 198, 357, 628, 294, 500 * time.Millisecond, 12 * time.Second},
	{"note-tagging", 0.35, 568, 204, 1800, 24, 600 * time.Millisecond, 3 * time.Second},
}

const tokensPerSecond = 370_000

// flood is the load of a heavy day: twelve small workspaces beside four that ask
// for several times their share, one of them at two gates alone, one with long
// prompts alone.
func flood() *Load {
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

func withShares(load *Load) func() Policy {
	return func() Policy {
		c := admission.NewController(admission.Config{Site: admission.Site{Region: "r", Domain: "d"}})
		c.SetCapacity(load.TokensPerSecond)
		return c
	}
}

// withoutShares is the policy before shares: the same limits for everybody.
func withoutShares(*Load) func() Policy {
	return func() Policy {
		return admission.NewController(admission.Config{Site: admission.Site{Region: "r", Domain: "d"}})
	}
}

func small(r *Result) Outcome {
	var sum Outcome
	for name, o := range r.Workspaces {
		if name[:5] == "small" {
			sum.Asked += o.Asked
			sum.InTime += o.InTime
			sum.Refused += o.Refused
		}
	}
	return sum
}

func TestFloodDoesNotTouchThoseBelowTheirShare(t *testing.T) {
	load := flood()
	got := small(Play(load, withShares(load)))
	before := small(Play(load, withoutShares(load)))
	t.Logf("in time %d of %d, without shares %d of %d", got.InTime, got.Asked, before.InTime, before.Asked)
	require.GreaterOrEqual(t, float64(got.InTime), 0.9*float64(got.Asked))
	require.Greater(t, got.InTime, before.InTime)
}

func TestFloodIsSharedEvenly(t *testing.T) {
	load := flood()
	r := Play(load, withShares(load))
	least, most := 1<<62, 0
	for _, name := range []string{"flood-a", "flood-b", "flood-long", "flood-c"} {
		o := r.Workspaces[name]
		t.Logf("%s: %+v", name, *o)
		least, most = min(least, o.Tokens), max(most, o.Tokens)
	}
	require.GreaterOrEqual(t, 2*least, most, "the platform takes less than half of another as unfair")
}

func TestNoKindStarvesInAFlood(t *testing.T) {
	load := flood()
	r := Play(load, withShares(load))
	served := float64(r.Total.Asked-r.Total.Refused) / float64(r.Total.Asked)
	for name, o := range r.Kinds {
		t.Logf("%s: %+v", name, *o)
		require.Greater(t, float64(o.Asked-o.Refused)/float64(o.Asked), served/4, "%s: a quarter of all, as the users' gate asks", name)
	}
}

func TestNothingIsRefusedWhileAllFits(t *testing.T) {
	load := flood()
	load.Workspaces = load.Workspaces[4:]
	r := Play(load, withShares(load))
	require.Zero(t, r.Total.Refused)
	require.GreaterOrEqual(t, float64(r.Total.InTime), 0.99*float64(r.Total.Asked))
}

func TestPlayIsTheSameOnEachRun(t *testing.T) {
	load := flood()
	load.Length = 4 * time.Second
	a, b := Play(load, withShares(load)), Play(load, withShares(load))
	require.Equal(t, a, b)
}
