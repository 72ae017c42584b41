package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/warmup"
)

// coldPlan makes one gate the owner of each target, with two requests per second.
var coldPlan = warmup.Plan{Owners: 1, PerSecond: 2}

// newColdController returns a gate that owns all cold targets, or none.
func newColdController(owner bool) *Controller {
	c := newTestController()
	c.SetWarmupPlans(map[string]warmup.Plan{"letters": coldPlan})
	if owner {
		c.SetGates("g", []warmup.Gate{{Node: "g", Region: "r"}})
	} else {
		c.SetGates("g", []warmup.Gate{{Node: "other", Region: "r"}})
	}
	return c
}

// coldEngines returns n engines, of which the first cold ones are cold for an hour.
func coldEngines(n, cold int) []target.Instance {
	all := newEngines(n)
	for i := range cold {
		all[i].ColdUntil = time.Hour
	}
	return all
}

// sendAll admits a request of one of the workspaces each 5 ms for ten seconds, ends each at once
// and returns the number of sends by target.
func sendAll(t *testing.T, c *Controller, targets []target.Instance, slots int, workspaces ...string) (sends map[string]int, refusals []Decision) {
	t.Helper()
	sends = make(map[string]int)
	for n := range 2000 {
		now := time.Duration(n) * 5 * time.Millisecond
		req := letterRequest(workspaces[n%len(workspaces)], uint64(n%97), n)
		req.Slots = slots
		d := c.Admit(now, req, targets)
		if d.Refused != "" {
			refusals = append(refusals, d)
			continue
		}
		sends[d.Target.ID]++
		d.Lease.Began(now)
		d.Lease.End(now, ResultDone, targets)
	}
	return sends, refusals
}

// A cold target crashes if gates send it more than it tolerates, and stays cold for long if its
// owners do not use their pace.
func TestColdTargetGetsPacedRequests(t *testing.T) {
	for _, slots := range []int{0, 64} {
		for _, c := range []struct {
			name      string
			owner     bool
			min, most int
		}{{"owner", true, 15, 21}, {"other gate", false, 0, 0}} {
			t.Run(fmt.Sprint(c.name, " ", slots), func(t *testing.T) {
				controller := newColdController(c.owner)
				sends, refusals := sendAll(t, controller, coldEngines(6, 1), slots, "v", "w")
				require.Empty(t, refusals)
				require.GreaterOrEqual(t, sends["e0"], c.min)
				require.LessOrEqual(t, sends["e0"], c.most)
				use := controller.TakeColdUse()
				require.Equal(t, sends["e0"], use.Sends)
				require.Positive(t, use.Diverted)
			})
		}
	}
}

// Until all targets are warm, requests go to any cold target that this gate may send to; others
// are refused with the time at which that changes.
func TestAllTargetsCold(t *testing.T) {
	for _, slots := range []int{0, 64} {
		sends, refusals := sendAll(t, newColdController(true), coldEngines(6, 6), slots, "v", "w")
		for id, sent := range sends {
			require.LessOrEqual(t, sent, 20, id)
			require.GreaterOrEqual(t, sent, 10, id)
		}
		require.Len(t, sends, 6)
		for _, d := range refusals {
			require.Equal(t, request.ReasonOverloaded, d.Refused)
			require.LessOrEqual(t, d.RetryAfter, 500*time.Millisecond, "pace of the owner")
			require.Positive(t, d.RetryAfter)
		}
		sends, refusals = sendAll(t, newColdController(false), coldEngines(6, 6), slots, "v")
		require.Empty(t, sends)
		require.Equal(t, request.ReasonOverloaded, refusals[0].Refused)
		require.Equal(t, time.Hour, refusals[0].RetryAfter, "end of the cold phase")
	}
}

// A retry must keep to the pace like a first send.
func TestRetriesKeepToColdPace(t *testing.T) {
	for _, slots := range []int{0, 64} {
		c, targets := newColdController(false), coldEngines(2, 1)
		for n := range 50 {
			req := letterRequest("w", uint64(n), n)
			req.Slots, req.Retry, req.Exclude = slots, true, []string{"e1"}
			d := c.Admit(time.Minute, req, targets)
			require.Equal(t, request.ReasonOverloaded, d.Refused)
		}
	}
}

// The pace must not be used up by requests that the target has no room for.
func TestPaceConsumedOnlyByPlacement(t *testing.T) {
	for _, slots := range []int{0, 64} {
		c, targets := newColdController(true), coldEngines(1, 1)
		req := letterRequest("w", 1, 1)
		req.Slots = slots
		c.Admit(0, req, targets) // the bucket begins to fill
		c.Merge(0, "peer", Report{Loads: map[string]Load{"e0": {InFlight: 500}}})
		for range 20 {
			require.NotEmpty(t, c.Admit(time.Second, req, targets).Refused)
		}
		require.Zero(t, c.TakeColdUse().Sends)
		c.Merge(time.Second, "peer", Report{})
		require.Empty(t, c.Admit(time.Second, req, targets).Refused)
		require.NotEmpty(t, c.Admit(time.Second, req, targets).Refused)
	}
}

// Few requests go to a cold target; a long one there would keep it from shorter ones that meet
// their objectives.
func TestColdTargetGetsNoLongRequestBesideWarmTargets(t *testing.T) {
	c, targets := newColdController(true), coldEngines(4, 1)
	sendAll(t, c, targets[1:], 64, "w") // mean work
	short := 0
	for n := range 800 {
		now := time.Minute + time.Duration(n)*50*time.Millisecond
		req := letterRequest("w", uint64(n), n)
		if isLong := n%8 == 0; isLong {
			req.PromptTokens, req.Parts[1].Tokens = 20_000, 15_000
			d := c.Admit(now, req, targets)
			require.NotEqual(t, "e0", d.Target.ID)
			continue
		}
		d := c.Admit(now, req, targets)
		if d.Target.ID == "e0" {
			short++
		}
		d.Lease.End(now, ResultDone, targets)
	}
	require.Greater(t, short, 20)
}

func TestTargetsOutdatedCountAsCold(t *testing.T) {
	for _, slots := range []int{0, 64} {
		req := letterRequest("w", 1, 1)
		req.Slots, req.TargetsOutdated = slots, true
		require.Equal(t, request.ReasonOverloaded, newColdController(false).Admit(time.Minute, req, newEngines(6)).Refused)
		require.Empty(t, newTestController().Admit(time.Minute, req, newEngines(6)).Refused, "no cold phase")
	}
}

// BenchmarkChooseWithCold measures the choice of a target while some targets are cold and the
// request is restricted to regions.
func BenchmarkChooseWithCold(b *testing.B) {
	regions := target.NewRegions(map[string]string{"d": "r", "remote-domain": "s"})
	for _, n := range []int{40, 300, 3000} {
		b.Run(fmt.Sprint(n, "-targets"), func(b *testing.B) {
			c := newColdController(true)
			all := newEngines(n)
			for i := range all {
				all[i].Region = regions.Of("d")
				if i%20 == 0 {
					all[i].ColdUntil = 1 << 62
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				req := letterRequest("w", uint64(i%200), i)
				req.Regions = regions.Allowed([]string{"r"})
				d := c.Admit(time.Duration(i)*time.Millisecond, req, all)
				d.Lease.End(0, ResultDone, all)
			}
		})
	}
}

// coldFleet is a fleet of gates with one cold target among its targets.
type coldFleet struct {
	gates   []*Controller
	targets []target.Instance
	sent    []time.Duration // to the cold target
}

// newColdFleet has 27 gates, of which the first inFirstView see another list than the others.
func newColdFleet(inFirstView int, slots int) *coldFleet {
	f := &coldFleet{targets: newEngines(8)}
	for i := range f.targets {
		f.targets[i].Slots = max(slots, 6)
	}
	f.targets[0].ColdUntil = time.Hour
	var views [2][]warmup.Gate
	viewOf := func(gate int) int {
		if gate < inFirstView {
			return 0
		}
		return 1
	}
	for i := range 27 {
		views[viewOf(i)] = append(views[viewOf(i)], warmup.Gate{Node: fmt.Sprint("g", i), Region: "r"})
	}
	for i := range 27 {
		c := newTestController()
		c.SetWarmupPlans(map[string]warmup.Plan{"letters": warmup.NewPlan(10, 20)})
		c.SetGates(fmt.Sprint("g", i), views[viewOf(i)])
		f.gates = append(f.gates, c)
	}
	return f
}

// All gates together must keep the bound of a cold target, with every kind of send, while gates
// see one list of gates or two disjoint ones, and the target must still be warmed up.
func TestFleetKeepsColdBound(t *testing.T) {
	for _, slots := range []int{0, 64} {
		for _, inFirstView := range []int{0, 13} {
			t.Run(fmt.Sprint(slots, " slots, ", inFirstView, " gates partitioned"), func(t *testing.T) {
				f := newColdFleet(inFirstView, slots)
				rng := rand.New(rand.NewPCG(1, 2))
				for n := range 60_000 {
					now := time.Duration(n) * 200 * time.Microsecond
					req := letterRequest(fmt.Sprint("w", rng.IntN(5)), rng.Uint64N(200), n)
					req.Slots, req.Retry = slots, n%10 == 0
					if req.Retry {
						req.Exclude = []string{f.targets[1+rng.IntN(7)].ID}
					}
					d := f.gates[rng.IntN(len(f.gates))].Admit(now, req, f.targets)
					if d.Refused != "" {
						continue
					}
					if d.Target.ID == "e0" {
						f.sent = append(f.sent, now)
					}
					d.Lease.Began(now)
					d.Lease.End(now, ResultDone, f.targets)
				}
				for i, first := 0, 0; i < len(f.sent); i++ {
					for f.sent[i]-f.sent[first] >= time.Second {
						first++
					}
					require.LessOrEqual(t, i-first+1, 20)
				}
				require.Greater(t, len(f.sent), 40, "in 12 s")
			})
		}
	}
}
