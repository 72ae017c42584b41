package overload

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against long prompts that are starved by short ones which fit every gap: each kind,
// and the tenth of its requests with the longest prompts, must be served at least half as
// often as all requests, or as the rest of its kind.
func TestHardLoadStarvesNoKind(t *testing.T) {
	t.Parallel()
	for _, offered := range []float64{0.4, 0.7, 1} {
		r := Simulate(HardLoad(1, offered, 2.2), Shares(HardLoad(1, offered, 2.2)))
		t.Logf("offered %.1f: worth %.0f, worst tenth of workspaces %.3f", offered, r.Total.Worth, r.WorstTenth())
		for name, o := range r.Kinds {
			largest := r.LargestTenth[name]
			t.Logf("%s: in time %.3f, late %.3f, largest tenth %.3f", name, o.InTimeFraction(), float64(o.Late)/float64(o.Requests), largest.InTimeFraction())
			require.Greater(t, o.servedFraction(), r.Total.servedFraction()/2, name)
			if offered < 1 {
				require.Greater(t, largest.servedFraction(), o.servedFraction()/2, "largest tenth of %s", name)
			}
		}
	}
}

func (o *Outcome) servedFraction() float64 {
	return float64(o.InTime+o.Late) / float64(max(o.Requests, 1))
}
