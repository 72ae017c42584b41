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

// targetAnswers makes the target answer each call with steps and err.
func targetAnswers(err error, steps ...step) func(*harness) {
	return func(h *harness) {
		h.target.mu.Lock()
		defer h.target.mu.Unlock()
		h.target.script = func(engine.Call) ([]step, error) { return steps, err }
	}
}

// TestOutcomeOfFaults interrupts, delays and fails each step between the offer
// and the answer of a request with a claim.
func TestOutcomeOfFaults(t *testing.T) {
	delayClaim := func(d time.Duration) func(*harness) { return func(h *harness) { h.claims.delay = d } }
	claimFails := func(err error) func(*harness) { return func(h *harness) { h.claims.err = err } }
	withdraw := func(_ *harness, c *routerConn) { c.send(&wire.Withdraw{Attempt: c.id}) }
	tests := []struct {
		name    string
		setup   func(*harness)
		during  func(*harness, *routerConn) // after Accepted
		outcome request.Outcome
		reason  request.Reason
		ran     int
		owned   bool // the claim stays with the attempt
	}{
		{"nothing fails", nil, nil, request.OutcomeCompleted, "", 1, true},
		{"claim is unavailable", claimFails(claim.ErrUnavailable), nil, request.OutcomeNotRun, request.ReasonClaimUnavailable, 0, false},
		{"key is reused", claimFails(claim.ErrKeyReused), nil, request.OutcomeNotRun, request.ReasonKeyReused, 0, false},
		{"another attempt has started", claimFails(claim.ErrStarted), nil, request.OutcomeUnknown, request.ReasonInProgress, 0, false},
		{"claim call takes longer than the deadline", delayClaim(5 * time.Minute), nil, request.OutcomeNotRun, request.ReasonDeadline, 0, false},
		{"withdrawn during the claim call", delayClaim(time.Second), withdraw, request.OutcomeNotRun, request.ReasonWithdrawn, 0, false},
		{"target is unreachable", targetAnswers(engine.ErrNotSent), nil, request.OutcomeNotRun, request.ReasonTargetDown, 0, false},
		{"target refuses the fencing number", targetAnswers(engine.ErrFenced), nil, request.OutcomeNotRun, request.ReasonFenced, 0, false},
		{"call is interrupted", targetAnswers(engine.ErrTruncated), nil, request.OutcomeUnknown, request.ReasonTargetFailed, 1, true},
		{"target sends no answer", targetAnswers(engine.ErrStalled), nil, request.OutcomeUnknown, request.ReasonTargetStalled, 1, true},
		{"answer is truncated", targetAnswers(nil, step{data: "a"}, step{err: engine.ErrTruncated}), nil, request.OutcomeUnknown, request.ReasonTargetFailed, 1, true},
		{"answer stalls", targetAnswers(nil, step{data: "a"}, step{err: engine.ErrStalled}), nil, request.OutcomeUnknown, request.ReasonTargetStalled, 1, true},
		{"withdrawn after forwarding", nil, withdraw, request.OutcomeCompleted, "", 1, true},
		{"deadline passes after forwarding", targetAnswers(nil, step{after: 5 * time.Minute, data: "late"}), nil, request.OutcomeCompleted, "", 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, nil)
				defer h.stop()
				if tt.setup != nil {
					tt.setup(h)
				}
				c := h.offer(func(o *wire.Offer) { o.Claim, o.Deadline = []byte("key"), time.Minute }).run()
				synctest.Wait()
				if tt.during != nil {
					tt.during(h, c)
				}
				_, last := c.readAndClose()
				owner, stored := h.claims.state("key")
				require.Equal(t, tt.owned, owner == c.id, "when the router receives the outcome")
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
					wantCalls = 1 // one call, which provably did not run
				}
				require.Equal(t, wantCalls, h.target.callsOf(c.id))
				label := string(tt.reason)
				if label == "" {
					label = "none"
				}
				require.Equal(t, 1, h.counter(h.metrics.outcomes, tt.outcome.String(), label))
			})
		})
	}
}

func TestClaimOutlivesLostRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, func(c *Config) { c.Limits.WindowBytes = 4 })
		defer h.stop()
		withClaim := func(o *wire.Offer) { o.Claim = []byte("key") }
		c := h.offer(withClaim).run()
		_ = c.stream.Close()
		time.Sleep(10 * time.Minute)
		_, stored := h.claims.state("key")
		require.Equal(t, "hello world", string(stored.Body))
		again := h.offer(withClaim).run()
		require.True(t, expect[*wire.Head](again).Replayed)
		require.Equal(t, "hello world", again.completeAnswer())
		require.Equal(t, 1, h.target.callCount())
	})
}

func TestFencedAgentStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		defer h.stop()
		targetAnswers(engine.ErrFenced)(h)
		h.offer(nil).run().readAndClose()
		require.ErrorContains(t, h.Ready(), "fencing number")
		require.Equal(t, request.ReasonFenced, expect[*wire.Refuse](h.offer(nil)).Reason)
	})
}

func TestUnreachableTargetIsDownImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		defer h.stop()
		targetAnswers(engine.ErrNotSent)(h)
		h.target.setState("", true)
		h.offer(nil).run().readAndClose()
		require.Equal(t, request.ReasonTargetDown, expect[*wire.Refuse](h.offer(nil)).Reason)
		h.target.setState("start-2", false)
		time.Sleep(2 * time.Second)
		require.NoError(t, h.Ready())
	})
}

func TestCallsCarryFencingNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, func(c *Config) { c.Fence = TableFence(newTableService(), "agent-1") })
		defer h.stop()
		h.offer(nil).run().completeAnswer()
		require.EqualValues(t, 1, h.target.calls[0].Fence)
	})
}

// TestWithdraw withdraws a repeatable request, or loses its stream, in each
// phase.
func TestWithdraw(t *testing.T) {
	withdraw := func(c *routerConn) { c.send(&wire.Withdraw{Attempt: c.id}) }
	lose := func(c *routerConn) { _ = c.stream.Close() }
	tests := []struct {
		name     string
		busy     int // requests that were started before
		until    func(*routerConn)
		act      func(*routerConn)
		want     request.Outcome
		received request.Reason // of the message that ends the offer; empty: the stream is lost
	}{
		{"queued", 3, func(c *routerConn) { expect[*wire.Queued](c) }, withdraw, request.OutcomeNotRun, request.ReasonWithdrawn},
		{"queued, stream lost", 3, func(c *routerConn) { expect[*wire.Queued](c) }, lose, request.OutcomeNotRun, ""},
		{"withdrawn while the grant is sent", 0, func(*routerConn) {}, withdraw, request.OutcomeNotRun, request.ReasonWithdrawn},
		{"granted", 0, func(c *routerConn) { expect[*wire.Grant](c) }, withdraw, request.OutcomeNotRun, request.ReasonWithdrawn},
		{"granted, stream lost", 0, func(c *routerConn) { expect[*wire.Grant](c) }, lose, request.OutcomeNotRun, ""},
		{"granted, no Run in time", 0, func(c *routerConn) { expect[*wire.Grant](c) }, func(*routerConn) {}, request.OutcomeNotRun, request.ReasonGrantExpired},
		{"staged", 2, func(c *routerConn) { c.run() }, withdraw, request.OutcomeNotRun, request.ReasonWithdrawn},
		{"staged, router lost", 2, func(c *routerConn) { c.run() }, lose, request.OutcomeNotRun, ""},
		{"running", 0, func(c *routerConn) { c.run() }, withdraw, request.OutcomeUnknown, request.ReasonWithdrawn},
		{"running, router lost", 0, func(c *routerConn) { c.run() }, lose, request.OutcomeUnknown, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, nil)
				defer h.stop()
				targetAnswers(nil, step{after: 5 * time.Minute, data: "x"})(h)
				for range tt.busy {
					h.offer(nil).run()
				}
				c := h.offer(nil)
				tt.until(c)
				synctest.Wait()
				tt.act(c)
				start := time.Now()
				if tt.received != "" {
					_, last := c.readAndClose()
					require.Equal(t, tt.received, reasonOf(last))
					if _, refused := last.(*wire.Refuse); refused {
						require.Equal(t, 1, h.counter(h.metrics.refusals, string(tt.received)))
					}
				}
				require.Less(t, time.Since(start), time.Minute)
				time.Sleep(time.Minute)
				ran := 0
				if tt.want == request.OutcomeUnknown {
					ran = 1
				}
				require.Equal(t, ran, h.target.callsOf(c.id))
				require.Equal(t, min(tt.busy, 2), h.target.openAnswers(), "the slot is released")
				time.Sleep(20 * time.Minute)
				require.Equal(t, ran, h.target.callsOf(c.id), "a dropped attempt never starts")
				h.offer(nil).run().completeAnswer()
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
