package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

func TestServesWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		defer r.stop()
		c := r.offer(nil).run()
		head := expect[*wire.Head](c)
		require.Equal(t, 200, head.Status)
		require.Equal(t, "hello world", c.whole())
		<-c.done
		require.EqualValues(t, 11, r.Report().Sums[0].Service)
		require.EqualValues(t, 1, r.Report().Sums[0].Started)
		require.Equal(t, 1, r.counter(r.metrics.outcomes, "completed", "none"))
	})
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name  string
		setup func(*rig)
		edit  func(*wire.Offer)
		want  request.Reason
		final bool
	}{
		{"suspect without a fingerprint", nil, func(o *wire.Offer) { o.Suspect = true }, request.ReasonMalformed, true},
		{"suspect without a registry", func(r *rig) { r.cfg.Suspects = nil }, func(o *wire.Offer) { o.Suspect, o.Fingerprint = true, []byte("f") }, request.ReasonSuspect, false},
		{"claim without a claimer", func(r *rig) { r.cfg.Claims = nil }, func(o *wire.Offer) { o.Claim = []byte("k") }, request.ReasonClaimUnavailable, false},
		{"no attempt", nil, func(o *wire.Offer) { o.Attempt = "" }, request.ReasonMalformed, true},
		{"class", nil, func(o *wire.Offer) { o.Class = 9 }, request.ReasonMalformed, true},
		{"pool", nil, func(o *wire.Offer) { o.Pool = "other" }, request.ReasonUnknownPool, true},
		{"workspace", nil, func(o *wire.Offer) { o.Workspace = 99 }, request.ReasonUnauthorized, true},
		{"workspace of a newer table", nil, func(o *wire.Offer) { o.Workspace, o.Version = 99, 2 }, request.ReasonNotReady, false},
		{"pool not allowed", nil, func(o *wire.Offer) { o.Workspace = 4 }, request.ReasonForbiddenPool, true},
		{"deadline", nil, func(o *wire.Offer) { o.Deadline = -1 }, request.ReasonDeadline, true},
		{"quarantined", func(r *rig) { r.suspects.put([]byte("f"), true) }, func(o *wire.Offer) { o.Fingerprint = []byte("f") }, request.ReasonQuarantined, true},
		{"draining", func(r *rig) { r.stopGrants("test") }, nil, request.ReasonDraining, false},
		{"target down", func(r *rig) { r.target.set("", true); time.Sleep(5 * time.Second) }, nil, request.ReasonTargetDown, false},
		{"leaving by the list", func(r *rig) {
			r.store.ApplyVMs([]target.VM{{ID: "agent-1", State: target.StateLeaving}})
			synctest.Wait()
		}, nil, request.ReasonDraining, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, nil)
				defer r.stop()
				if tt.setup != nil {
					tt.setup(r)
				}
				got := expect[*wire.Refuse](r.offer(tt.edit))
				require.Equal(t, tt.want, got.Reason)
				require.Equal(t, tt.final, got.Final)
				require.Equal(t, 1, r.counter(r.metrics.refusals, string(tt.want)))
				require.Zero(t, r.target.count())
			})
		})
	}
}

func TestNotReadyWithoutTableOrFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, func(c *Config) { c.Fence = TableFence(downTable(), "agent-1") })
		defer r.stop()
		require.ErrorContains(t, r.Ready(), "fencing number")
		require.Equal(t, request.ReasonNotReady, expect[*wire.Refuse](r.offer(nil)).Reason)
	})
}

func TestSpareGrantWaitsForSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, func(c *Config) { c.Slots = 1 })
		defer r.stop()
		first := r.offer(nil).run()
		second := r.offer(nil).run()
		third := r.offer(nil)
		expect[*wire.Queued](third)
		synctest.Wait()
		require.Equal(t, 1, r.target.count())
		require.Equal(t, "hello world", first.whole())
		require.Equal(t, "hello world", second.whole())
		require.Equal(t, "hello world", third.run().whole())
		require.Equal(t, 1, r.target.peak)
	})
}

func TestGrantsByWeightedService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, func(c *Config) { c.Slots = 1 })
		defer r.stop()
		finished := make(chan int, 24)
		for i := range 24 {
			ws := i%2 + 1
			c := r.offer(func(o *wire.Offer) { o.Workspace = workspace.RowID(ws) })
			synctest.Wait()
			go func() {
				c.deliver(nil, false)
				_ = c.s.CloseSend()
				finished <- ws
			}()
		}
		served := map[int]int{}
		for range 12 {
			served[<-finished]++
		}
		require.InDelta(t, 9, served[2], 1, "weight 3 beside weight 1")
		for range 12 {
			<-finished
		}
	})
}

func TestConcurrencyLimitOverFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		defer r.stop()
		limited := func(o *wire.Offer) { o.Workspace, o.Home = 3, true }
		digest := func(running uint32) *wire.Digest {
			sums := []wire.Sum{{Workspace: 3, Running: running}}
			return &wire.Digest{Domain: "b", Pools: []wire.PoolSums{{Pool: testPool, Sums: sums}}}
		}
		r.ApplyDigest(digest(1))
		c := r.offer(limited)
		expect[*wire.Queued](c)
		require.EqualValues(t, 1, r.Report().Sums[0].Queued)
		waiting := r.offer(limited)
		expect[*wire.Queued](waiting)
		refusal := expect[*wire.Refuse](r.offer(limited))
		require.Equal(t, request.ReasonQueueFull, refusal.Reason)
		require.Positive(t, refusal.RetryAfter)
		r.ApplyDigest(digest(0))
		c.run()
		synctest.Wait()
		require.Equal(t, 1, r.target.busy(), "the other waits for the limit, not for a slot")
		require.Equal(t, "hello world", c.whole())
		require.Equal(t, "hello world", waiting.run().whole())
	})
}

// TestDigestsCountOthersOnce reports own service to the own failure domain and
// gets it back in the domain's sums.
func TestDigestsCountOthersOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		defer r.stop()
		digest := func(domain string, service uint64) {
			sums := []wire.Sum{{Workspace: 1, Service: service}}
			pools := []wire.PoolSums{{Pool: "another", Sums: sums}, {Pool: testPool, Sums: sums}}
			r.ApplyDigest(&wire.Digest{Domain: domain, Pools: pools})
		}
		digest("a", 0)
		digest("b", 500)
		r.offer(nil).run().whole() // 11 units
		require.InDelta(t, 11, r.ledger.ExpectedVirtualTime(1), 0)
		digest("a", 11)
		require.InDelta(t, 11, r.ledger.ExpectedVirtualTime(1), 0, "own service came back")
		digest("a", 31)
		digest("a", 31)
		require.InDelta(t, 31, r.ledger.ExpectedVirtualTime(1), 0, "others of the own domain")
		digest("b", 505)
		require.InDelta(t, 36, r.ledger.ExpectedVirtualTime(1), 0, "another domain")
	})
}

func TestServiceIsChargedByTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, func(c *Config) { c.Kind = target.KindService })
		defer r.stop()
		answers(nil, step{after: 1500 * time.Millisecond})(r)
		c := r.offer(nil).run()
		time.Sleep(time.Second)
		synctest.Wait()
		require.InDelta(t, 1000, float64(r.Report().Sums[0].Service), 100, "while it runs")
		_, last := c.answer()
		require.EqualValues(t, 1500, last.(*wire.End).Service)
		require.EqualValues(t, 1500, r.Report().Sums[0].Service)
	})
}

func TestInteractiveBeforeBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, func(c *Config) { c.Slots, c.InteractiveSlots = 3, 1 })
		defer r.stop()
		batch := func(o *wire.Offer) { o.Class = request.ClassBatch }
		for range 3 {
			r.offer(batch).run()
		}
		expect[*wire.Queued](r.offer(batch))
		synctest.Wait()
		require.Equal(t, 2, r.target.count(), "batch work leaves a slot free")
		r.offer(nil).run()
		synctest.Wait()
		require.Equal(t, 3, r.target.count(), "interactive work takes it at once")
		r.offer(nil).run() // has a spare grant of its own
		expect[*wire.Queued](r.offer(nil))
	})
}
