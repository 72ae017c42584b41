package warmup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/target"
)

// testPlan is that of 10 requests per second, of which 20 within any second are a violation.
var testPlan = NewPlan(10, 20)

func testGates(from, to int) []Gate {
	var gates []Gate
	for i := from; i < to; i++ {
		gates = append(gates, Gate{Node: fmt.Sprintf("g%d", i), Region: []string{"r", "s", "t"}[i%3]})
	}
	return gates
}

func newTestPacer(node string, gates []Gate, plan Plan) *Pacer {
	p := NewPacer()
	p.SetPlans(map[string]Plan{"letters": plan})
	p.SetGates(node, gates)
	return p
}

func coldTarget(id string) *target.Instance {
	return &target.Instance{ID: id, Service: "letters", StartedMillis: 1}
}

// The plan must keep the bound of the platform for any figures, also if gates see two disjoint
// lists of gates.
func TestPlanKeepsBound(t *testing.T) {
	for _, c := range []struct {
		perSecond, maximum float64
		want               Plan
	}{
		{10, 20, Plan{3, 20.0/6 - 1}},
		{10, 15, Plan{3, 1.5}},
		{10, 10, Plan{2, 1.5}},
		{10, 5, Plan{1, 1.5}},
		{10, 2, Plan{1, singleSendRate}},
		{10, 1.9, Plan{}},
		{1, 6.5, Plan{1, 1}},
		{0.5, 5.75, Plan{1, 0.5}},
		{0.01, 5, Plan{1, 0.01}},
		{1000, 1505, Plan{3, 1505.0/6 - 1}},
		{0, 5, Plan{}},
		{0, 0, Plan{}},
	} {
		got := NewPlan(c.perSecond, c.maximum)
		require.Equal(t, c.want.Owners, got.Owners, "%v", c)
		require.InDelta(t, c.want.PerSecond, got.PerSecond, 1e-9, "%v", c)
	}
	for range 10_000 {
		perSecond, slack := rand.ExpFloat64()*8, rand.ExpFloat64()*4
		maximum := perSecond*(1+rand.Float64()) + slack
		plan := NewPlan(perSecond, maximum)
		require.LessOrEqual(t, plan.WorstCase(viewCount), maximum+1e-9, "%v of %v", perSecond, maximum)
		require.LessOrEqual(t, float64(plan.Owners)*plan.PerSecond, perSecond+1e-9)
	}
}

func TestOwnersAgreedAndLocal(t *testing.T) {
	gates := testGates(0, 27)
	for _, c := range []struct {
		region string
		local  int // owners in the region
	}{{"r", 3}, {"elsewhere", 0}} {
		owned := make(map[string]int)
		for n := range 60 {
			instance, owners, local := coldTarget(fmt.Sprint("t", n)), 0, 0
			for _, g := range gates {
				shuffled := slices.Clone(gates)
				rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
				if _, owner := newTestPacer(g.Node, shuffled, testPlan).Wait(0, instance, c.region); owner {
					owners++
					owned[g.Node]++
					if g.Region == c.region {
						local++
					}
				}
			}
			require.Equal(t, 3, owners)
			require.Equal(t, c.local, local)
		}
		require.Greater(t, len(owned), 7, "targets must be spread over gates")
	}
	// A region with fewer gates than owners is completed from the others.
	few := append(testGates(0, 1), Gate{"x", "s"}, Gate{"y", "s"}, Gate{"z", "s"})
	owners := 0
	for _, g := range few {
		if _, owner := newTestPacer(g.Node, few, testPlan).Wait(0, coldTarget("t"), "r"); owner {
			owners++
		}
	}
	_, owner := newTestPacer("g0", few, testPlan).Wait(0, coldTarget("t"), "r")
	require.True(t, owner)
	require.Equal(t, 3, owners)
}

// A gate that does not know the list of gates, or is not in it, could be one of many.
func TestUnlistedGateSendsNothing(t *testing.T) {
	for name, p := range map[string]*Pacer{
		"list not read": func() *Pacer {
			p := NewPacer()
			p.SetPlans(map[string]Plan{"letters": testPlan})
			return p
		}(),
		"empty list":         newTestPacer("g0", nil, testPlan),
		"not in the list":    newTestPacer("x", testGates(0, 2), testPlan),
		"no plan":            newTestPacer("g0", testGates(0, 2), Plan{}),
		"other service only": func() *Pacer { p := NewPacer(); p.SetGates("g0", testGates(0, 1)); return p }(),
	} {
		for now := time.Duration(0); now < time.Minute; now += time.Second {
			require.False(t, p.Admits(now, coldTarget("t"), "r", "w"), name)
		}
	}
}

// sends is a record of the times of sends to one target.
type sends []time.Duration

// mostWithinSecond returns the most sends within any second.
func (s sends) mostWithinSecond() int {
	slices.Sort(s)
	most, first := 0, 0
	for i := range s {
		for s[i]-s[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Half of the gates are partitioned and see another list of gates; gates restart, are suspended
// and resumed, lists change, and every gate has more requests than it may send.
func TestBoundHeldByDisjointViews(t *testing.T) {
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 1))
		views := [][]Gate{testGates(0, 13), testGates(13, 27)}
		instance := coldTarget("t")
		var pacers []*Pacer
		var resumeAt [27]time.Duration
		for i := range 27 {
			pacers = append(pacers, newTestPacer(fmt.Sprint("g", i), views[i/13%2], testPlan))
		}
		pacers[26] = newTestPacer("g26", views[1], testPlan)
		var sent sends
		for now := time.Duration(0); now < 30*time.Second; now += 10 * time.Millisecond {
			for i, p := range pacers {
				if now < resumeAt[i] {
					continue
				}
				switch rng.IntN(2000) {
				case 0:
					resumeAt[i] = now + time.Duration(rng.IntN(5000))*time.Millisecond
					continue
				case 1:
					pacers[i] = newTestPacer(fmt.Sprint("g", i), p.gates, testPlan) // restarted
					continue
				}
				for range 3 {
					if workspace := fmt.Sprint("w", rng.IntN(3)); p.Admits(now, instance, "r", workspace) {
						p.Consume(now, instance, "r", workspace)
						sent = append(sent, now)
					}
				}
			}
		}
		require.LessOrEqual(t, sent.mostWithinSecond(), 20, "seed %d", seed)
		require.Greater(t, len(sent), 200, "seed %d: the target must be warmed up", seed)
	}
}

// A bucket that was full when its gate was suspended, or that lost and regained its target, must
// not add to what others send.
func TestPaceOfOneOwner(t *testing.T) {
	gates := []Gate{{"g0", "r"}}
	p, instance := newTestPacer("g0", gates, Plan{1, 2}), coldTarget("t")
	take := func(now time.Duration, want int, message string) {
		t.Helper()
		got := 0
		for p.Admits(now, instance, "r", "") {
			p.Consume(now, instance, "r", "")
			got++
		}
		require.Equal(t, want, got, message)
	}
	take(0, 0, "starts empty")
	wait, owner := p.Wait(0, instance, "r")
	require.True(t, owner)
	require.Equal(t, 500*time.Millisecond, wait)
	take(499*time.Millisecond, 0, "refills")
	take(500*time.Millisecond, 1, "full")
	take(time.Hour, 1, "suspended")
	take(time.Hour-time.Minute, 0, "clock of another goroutine is behind")
	p.SetGates("g0", append(gates, Gate{"g1", "s"}))
	take(time.Hour+500*time.Millisecond, 1, "stays the owner")
	require.True(t, p.Admits(time.Hour+2*time.Second, instance, "r", ""))
	p.SetGates("g0", nil)
	take(2*time.Hour, 0, "not listed any more")
	p.SetGates("g0", gates)
	take(3*time.Hour, 0, "owner again: starts empty")
	take(3*time.Hour+500*time.Millisecond, 1, "owner again")
	instance.StartedMillis++
	take(4*time.Hour, 0, "target restarted: starts empty")
	p.Retain(func(string) bool { return false })
	take(5*time.Hour, 0, "target gone and back: starts empty")
}

// One workspace with many requests must not take all sends of a target, but may if it is the
// only one.
func TestSendsSharedByWorkspaces(t *testing.T) {
	p, instance := newTestPacer("g0", []Gate{{"g0", "r"}}, Plan{1, 2}), coldTarget("t")
	count := make(map[string]int)
	run := func(workspaces ...string) {
		for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
			for _, workspace := range workspaces {
				if p.Admits(now, instance, "r", workspace) {
					p.Consume(now, instance, "r", workspace)
					count[workspace]++
				}
			}
		}
	}
	run("busy", "busy", "busy", "other")
	require.InDelta(t, count["busy"], count["other"], 2)
	instance.StartedMillis++
	p.Retain(func(string) bool { return false })
	clear(count)
	run("busy")
	require.Greater(t, count["busy"], 80)
}
