package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/claim"
	"github.com/mastichollow/mastichollow/internal/engine"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// answers lets the target answer each call with steps and err.
func answers(err error, steps ...step) func(*rig) {
	return func(r *rig) {
		r.target.mu.Lock()
		defer r.target.mu.Unlock()
		r.target.script = func(engine.Call) ([]step, error) { return steps, err }
	}
}

// TestOutcomeOfFaults cuts, freezes and fails each step between the offer and
// the answer of a request that may not be repeated.
func TestOutcomeOfFaults(t *testing.T) {
	freeze := func(d time.Duration) func(*rig) { return func(r *rig) { r.claims.delay = d } }
	claimFails := func(err error) func(*rig) { return func(r *rig) { r.claims.err = err } }
	withdraw := func(_ *rig, c *conn) { c.send(&wire.Withdraw{Attempt: c.id}) }
	tests := []struct {
		name    string
		setup   func(*rig)
		during  func(*rig, *conn) // after Accepted
		outcome request.Outcome
		reason  request.Reason
		ran     int
		owned   bool // the claim stays with the attempt
	}{
		{"nothing fails", nil, nil, request.OutcomeCompleted, "", 1, true},
		{"claim is unavailable", claimFails(claim.ErrUnavailable), nil, request.OutcomeNotRun, request.ReasonClaimUnavailable, 0, false},
		{"key is reused", claimFails(claim.ErrKeyReused), nil, request.OutcomeNotRun, request.ReasonKeyReused, 0, false},
		{"another attempt has started", claimFails(claim.ErrStarted), nil, request.OutcomeUnknown, request.ReasonInProgress, 0, false},
		{"frozen past the deadline while claiming", freeze(5 * time.Minute), nil, request.OutcomeNotRun, request.ReasonDeadline, 0, false},
		{"withdrawn while claiming", freeze(time.Second), withdraw, request.OutcomeNotRun, request.ReasonWithdrawn, 0, false},
		{"target is not reached", answers(engine.ErrNotSent), nil, request.OutcomeNotRun, request.ReasonTargetDown, 0, false},
		{"target refuses the fencing number", answers(engine.ErrFenced), nil, request.OutcomeNotRun, request.ReasonFenced, 0, false},
		{"call is cut", answers(engine.ErrTruncated), nil, request.OutcomeUnknown, request.ReasonTargetFailed, 1, true},
		{"target is silent", answers(engine.ErrStalled), nil, request.OutcomeUnknown, request.ReasonTargetStalled, 1, true},
		{"answer is cut", answers(nil, step{data: "a"}, step{err: engine.ErrTruncated}), nil, request.OutcomeUnknown, request.ReasonTargetFailed, 1, true},
		{"answer falls silent", answers(nil, step{data: "a"}, step{err: engine.ErrStalled}), nil, request.OutcomeUnknown, request.ReasonTargetStalled, 1, true},
		{"withdrawn after the handover", nil, withdraw, request.OutcomeCompleted, "", 1, true},
		{"deadline passes after the handover", answers(nil, step{after: 5 * time.Minute, data: "late"}), nil, request.OutcomeCompleted, "", 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, nil)
				defer r.stop()
				if tt.setup != nil {
					tt.setup(r)
				}
				c := r.offer(func(o *wire.Offer) { o.Claim, o.Deadline = []byte("key"), time.Minute }).run()
				synctest.Wait()
				if tt.during != nil {
					tt.during(r, c)
				}
				_, last := c.answer()
				owner, stored := r.claims.state("key")
				require.Equal(t, tt.owned, owner == c.id, "when the router learns the outcome")
				if fail, failed := last.(*wire.Fail); failed {
					require.Equal(t, tt.outcome, fail.Outcome)
					require.Equal(t, tt.reason, fail.Reason)
				} else {
					require.IsType(t, &wire.End{}, last)
					require.Equal(t, request.OutcomeCompleted, tt.outcome)
					require.NotNil(t, stored)
				}
				time.Sleep(10 * time.Minute)
				wantCalls := tt.ran
				if tt.reason == request.ReasonTargetDown || tt.reason == request.ReasonFenced {
					wantCalls = 1 // made, and proven not to have run
				}
				require.Equal(t, wantCalls, r.target.ran(c.id))
				label := string(tt.reason)
				if label == "" {
					label = "none"
				}
				require.Equal(t, 1, r.counter(r.metrics.outcomes, tt.outcome.String(), label))
			})
		})
	}
}

func TestClaimOutlivesLostRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, func(c *Config) { c.Limits.WindowBytes = 4 })
		defer r.stop()
		order := func(o *wire.Offer) { o.Claim = []byte("key") }
		c := r.offer(order).run()
		_ = c.s.Close()
		time.Sleep(10 * time.Minute)
		_, stored := r.claims.state("key")
		require.Equal(t, "hello world", string(stored.Body))
		again := r.offer(order).run()
		require.True(t, expect[*wire.Head](again).Replayed)
		require.Equal(t, "hello world", again.whole())
		require.Equal(t, 1, r.target.count())
	})
}

func TestFencedAgentStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		defer r.stop()
		answers(engine.ErrFenced)(r)
		r.offer(nil).run().answer()
		require.ErrorContains(t, r.Ready(), "fencing number")
		require.Equal(t, request.ReasonFenced, expect[*wire.Refuse](r.offer(nil)).Reason)
	})
}

func TestUnreachedTargetIsDownAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		defer r.stop()
		answers(engine.ErrNotSent)(r)
		r.target.set("", true)
		r.offer(nil).run().answer()
		require.Equal(t, request.ReasonTargetDown, expect[*wire.Refuse](r.offer(nil)).Reason)
		r.target.set("start-2", false)
		time.Sleep(2 * time.Second)
		require.NoError(t, r.Ready())
	})
}

func TestCallsCarryFencingNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, func(c *Config) { c.Fence = TableFence(newTable(), "agent-1") })
		defer r.stop()
		r.offer(nil).run().whole()
		require.EqualValues(t, 1, r.target.calls[0].Fence)
	})
}

// TestWithdraw takes a repeatable request back at each step.
func TestWithdraw(t *testing.T) {
	withdraw := func(c *conn) { c.send(&wire.Withdraw{Attempt: c.id}) }
	lose := func(c *conn) { _ = c.s.Close() }
	tests := []struct {
		name  string
		busy  int // requests that run before
		until func(*conn)
		take  func(*conn)
		want  request.Outcome
		told  request.Reason // by the message that ends the offer; empty: the stream is lost
	}{
		{"queued", 3, func(c *conn) { expect[*wire.Queued](c) }, withdraw, request.OutcomeNotRun, request.ReasonWithdrawn},
		{"queued, stream lost", 3, func(c *conn) { expect[*wire.Queued](c) }, lose, request.OutcomeNotRun, ""},
		{"crossing the grant", 0, func(*conn) {}, withdraw, request.OutcomeNotRun, request.ReasonWithdrawn},
		{"granted", 0, func(c *conn) { expect[*wire.Grant](c) }, withdraw, request.OutcomeNotRun, request.ReasonWithdrawn},
		{"granted, stream lost", 0, func(c *conn) { expect[*wire.Grant](c) }, lose, request.OutcomeNotRun, ""},
		{"granted, no Run in time", 0, func(c *conn) { expect[*wire.Grant](c) }, func(*conn) {}, request.OutcomeNotRun, request.ReasonGrantExpired},
		{"staged", 2, func(c *conn) { c.run() }, withdraw, request.OutcomeNotRun, request.ReasonWithdrawn},
		{"staged, router lost", 2, func(c *conn) { c.run() }, lose, request.OutcomeNotRun, ""},
		{"running", 0, func(c *conn) { c.run() }, withdraw, request.OutcomeUnknown, request.ReasonWithdrawn},
		{"running, router lost", 0, func(c *conn) { c.run() }, lose, request.OutcomeUnknown, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, nil)
				defer r.stop()
				answers(nil, step{after: 5 * time.Minute, data: "x"})(r)
				for range tt.busy {
					r.offer(nil).run()
				}
				c := r.offer(nil)
				tt.until(c)
				synctest.Wait()
				tt.take(c)
				begun := time.Now()
				if tt.told != "" {
					_, last := c.answer()
					require.Equal(t, tt.told, reasonOf(last))
					if _, refused := last.(*wire.Refuse); refused {
						require.Equal(t, 1, r.counter(r.metrics.refusals, string(tt.told)))
					}
				}
				require.Less(t, time.Since(begun), time.Minute)
				time.Sleep(time.Minute)
				ran := 0
				if tt.want == request.OutcomeUnknown {
					ran = 1
				}
				require.Equal(t, ran, r.target.ran(c.id))
				require.Equal(t, min(tt.busy, 2), r.target.busy(), "the slot is free again")
				time.Sleep(20 * time.Minute)
				require.Equal(t, ran, r.target.ran(c.id), "what was given up never starts")
				r.offer(nil).run().whole()
			})
		})
	}
}

func reasonOf(m wire.Message) request.Reason {
	switch m := m.(type) {
	case *wire.Refuse:
		return m.Reason
	case *wire.Fail:
		return m.Reason
	default:
		return ""
	}
}
