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

func TestServesCompleteAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		defer h.stop()
		c := h.offer(nil).run()
		head := expect[*wire.Head](c)
		require.Equal(t, 200, head.Status)
		require.Equal(t, "hello world", c.completeAnswer())
		<-c.done
		require.EqualValues(t, 11, h.Report().Totals[0].Service)
		require.EqualValues(t, 1, h.Report().Totals[0].Started)
		require.Equal(t, 1, h.counter(h.metrics.outcomes, "completed", "none"))
	})
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name  string
		setup func(*harness)
		edit  func(*wire.Offer)
		want  request.Reason
		final bool
	}{
		{"suspect without a fingerprint", nil, func(o *wire.Offer) { o.Suspect = true }, request.ReasonMalformed, true},
		{"suspect without a registry", func(h *harness) { h.cfg.Suspects = nil }, func(o *wire.Offer) { o.Suspect, o.Fingerprint = true, []byte("f") }, request.ReasonSuspect, false},
		{"claim without a claimer", func(h *harness) { h.cfg.Claims = nil }, func(o *wire.Offer) { o.Claim = []byte("k") }, request.ReasonClaimUnavailable, false},
		{"no attempt", nil, func(o *wire.Offer) { o.Attempt = "" }, request.ReasonMalformed, true},
		{"class", nil, func(o *wire.Offer) { o.Class = 9 }, request.ReasonMalformed, true},
		{"pool", nil, func(o *wire.Offer) { o.Pool = "other" }, request.ReasonUnknownPool, true},
		{"workspace", nil, func(o *wire.Offer) { o.Workspace = 99 }, request.ReasonUnauthorized, true},
		{"workspace of a newer table", nil, func(o *wire.Offer) { o.Workspace, o.TableVersion = 99, 2 }, request.ReasonNotReady, false},
		{"pool not allowed", nil, func(o *wire.Offer) { o.Workspace = 4 }, request.ReasonForbiddenPool, true},
		{"deadline", nil, func(o *wire.Offer) { o.Deadline = -1 }, request.ReasonDeadline, true},
		{"quarantined", func(h *harness) { h.suspects.add([]byte("f"), true) }, func(o *wire.Offer) { o.Fingerprint = []byte("f") }, request.ReasonQuarantined, true},
		{"draining", func(h *harness) { h.stopGranting("test") }, nil, request.ReasonDraining, false},
		{"target down", func(h *harness) { h.target.setState("", true); time.Sleep(5 * time.Second) }, nil, request.ReasonTargetDown, false},
		{"leaving in the VM list", func(h *harness) {
			h.store.ApplyVMs([]target.VM{{ID: "agent-1", State: target.StateLeaving}})
			synctest.Wait()
		}, nil, request.ReasonDraining, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, nil)
				defer h.stop()
				if tt.setup != nil {
					tt.setup(h)
				}
				got := expect[*wire.Refuse](h.offer(tt.edit))
				require.Equal(t, tt.want, got.Reason)
				require.Equal(t, tt.final, got.Final)
				require.Equal(t, 1, h.counter(h.metrics.refusals, string(tt.want)))
				require.Zero(t, h.target.callCount())
			})
		})
	}
}

func TestNotReadyWithoutTableOrFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, func(c *Config) { c.Fence = TableFence(newDownTableService(), "agent-1") })
		defer h.stop()
		require.ErrorContains(t, h.Ready(), "fencing number")
		require.Equal(t, request.ReasonNotReady, expect[*wire.Refuse](h.offer(nil)).Reason)
	})
}

func TestExtraGrantWaitsForSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, func(c *Config) { c.Slots = 1 })
		defer h.stop()
		first := h.offer(nil).run()
		second := h.offer(nil).run()
		third := h.offer(nil)
		expect[*wire.Queued](third)
		synctest.Wait()
		require.Equal(t, 1, h.target.callCount())
		require.Equal(t, "hello world", first.completeAnswer())
		require.Equal(t, "hello world", second.completeAnswer())
		require.Equal(t, "hello world", third.run().completeAnswer())
		require.Equal(t, 1, h.target.peak)
	})
}

func TestGrantsFollowWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, func(c *Config) { c.Slots = 1 })
		defer h.stop()
		finished := make(chan int, 24)
		for i := range 24 {
			ws := i%2 + 1
			c := h.offer(func(o *wire.Offer) { o.Workspace = workspace.RowID(ws) })
			synctest.Wait()
			go func() {
				c.runWhenGranted(nil, false)
				_ = c.stream.CloseSend()
				finished <- ws
			}()
		}
		served := map[int]int{}
		for range 12 {
			served[<-finished]++
		}
		require.InDelta(t, 9, served[2], 1, "workspace 2 has weight 3, workspace 1 has weight 1")
		for range 12 {
			<-finished
		}
	})
}

func TestConcurrencyLimitCountsFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		defer h.stop()
		limited := func(o *wire.Offer) { o.Workspace, o.Home = 3, true }
		digest := func(running uint32) *wire.Digest {
			totals := []wire.Total{{Workspace: 3, Running: running}}
			return &wire.Digest{Domain: "b", Pools: []wire.PoolTotals{{Pool: testPool, Totals: totals}}}
		}
		h.ApplyDigest(digest(1))
		c := h.offer(limited)
		expect[*wire.Queued](c)
		require.EqualValues(t, 1, h.Report().Totals[0].Queued)
		waiting := h.offer(limited)
		expect[*wire.Queued](waiting)
		refusal := expect[*wire.Refuse](h.offer(limited))
		require.Equal(t, request.ReasonQueueFull, refusal.Reason)
		require.Positive(t, refusal.RetryAfter)
		h.ApplyDigest(digest(0))
		c.run()
		synctest.Wait()
		require.Equal(t, 1, h.target.openAnswers(), "the second offer waits for the limit, not for a slot")
		require.Equal(t, "hello world", c.completeAnswer())
		require.Equal(t, "hello world", waiting.run().completeAnswer())
	})
}

// TestDigestsCountRemoteServiceOnce guards against counting an agent's service
// twice: the digest of its failure domain includes what the agent reported
// itself.
func TestDigestsCountRemoteServiceOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		defer h.stop()
		digest := func(domain string, service uint64) {
			totals := []wire.Total{{Workspace: 1, Service: service}}
			pools := []wire.PoolTotals{{Pool: "another", Totals: totals}, {Pool: testPool, Totals: totals}}
			h.ApplyDigest(&wire.Digest{Domain: domain, Pools: pools})
		}
		digest("a", 0)
		digest("b", 500)
		h.offer(nil).run().completeAnswer() // 11 units
		require.InDelta(t, 11, h.ledger.ExpectedVirtualTime(1), 0)
		digest("a", 11)
		require.InDelta(t, 11, h.ledger.ExpectedVirtualTime(1), 0, "the digest includes the local service")
		digest("a", 31)
		digest("a", 31)
		require.InDelta(t, 31, h.ledger.ExpectedVirtualTime(1), 0, "other agents of the local domain")
		digest("b", 505)
		require.InDelta(t, 36, h.ledger.ExpectedVirtualTime(1), 0, "remote domain")
	})
}

func TestServiceIsChargedByTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, func(c *Config) { c.Kind = target.KindService })
		defer h.stop()
		targetAnswers(nil, step{after: 1500 * time.Millisecond})(h)
		c := h.offer(nil).run()
		time.Sleep(time.Second)
		synctest.Wait()
		require.InDelta(t, 1000, float64(h.Report().Totals[0].Service), 100, "while it runs")
		_, last := c.readAndClose()
		require.EqualValues(t, 1500, last.(*wire.End).Service)
		require.EqualValues(t, 1500, h.Report().Totals[0].Service)
	})
}

func TestInteractiveBeforeBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, func(c *Config) { c.Slots, c.InteractiveSlots = 3, 1 })
		defer h.stop()
		batch := func(o *wire.Offer) { o.Class = request.ClassBatch }
		for range 3 {
			h.offer(batch).run()
		}
		expect[*wire.Queued](h.offer(batch))
		synctest.Wait()
		require.Equal(t, 2, h.target.callCount(), "batch requests leave a slot free")
		h.offer(nil).run()
		synctest.Wait()
		require.Equal(t, 3, h.target.callCount(), "an interactive request starts at once")
		h.offer(nil).run() // interactive attempts have an extra grant of their own
		expect[*wire.Queued](h.offer(nil))
	})
}
