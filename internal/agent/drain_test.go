package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// TestDrainTruncatesNoAnswer drains an agent under load.
func TestDrainTruncatesNoAnswer(t *testing.T) {
	tests := []struct {
		name string
		stop func(*harness)
	}{
		{"process shuts down", func(h *harness) { h.stopGranting("test") }},
		{"process shuts down twice", func(h *harness) { h.stopGranting("test"); h.stopGranting("again") }},
		{"platform is unavailable", func(h *harness) {
			h.registry.setUnavailable(true)
			h.stopGranting("test")
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { testDrain(t, tt.stop) })
	}
}

// TestLeavingVMDrains marks the VM of an agent under load as leaving.
func TestLeavingVMDrains(t *testing.T) {
	marked := testTable(2)
	marked.Marks = map[string]workspace.Mark{"agent-1": workspace.MarkLeaving}
	listed := []target.VM{{ID: "agent-1", State: target.StateLeaving}}
	t.Run("by operators", func(t *testing.T) {
		testDrain(t, func(h *harness) { h.store.ApplyTable(marked) })
	})
	t.Run("by platform", func(t *testing.T) {
		testDrain(t, func(h *harness) { h.store.ApplyVMs(listed) })
	})
}

// testDrain checks that running requests are answered completely, and that
// requests without a slot are refused at once and do not run.
func testDrain(t *testing.T, stop func(*harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		defer h.stop()
		targetAnswers(nil, step{data: "long "}, step{after: 10 * time.Minute, data: "letter"})(h)
		withFingerprint := func(o *wire.Offer) { o.Fingerprint = []byte("same") }
		running := []*routerConn{h.offer(withFingerprint).run(), h.offer(func(o *wire.Offer) { o.Claim = []byte("k") }).run()}
		staged := h.offer(nil).run()
		queued := h.offer(nil)
		expect[*wire.Queued](queued)
		duplicate := h.offer(withFingerprint)
		expect[*wire.Queued](duplicate)
		synctest.Wait()
		start := time.Now()
		stop(h)
		for _, c := range []*routerConn{staged, queued, duplicate} {
			_, last := c.readAndClose()
			require.Equal(t, request.ReasonDraining, reasonOf(last))
			require.Zero(t, h.target.callsOf(c.id))
		}
		require.Equal(t, request.ReasonDraining, expect[*wire.Refuse](h.offer(nil)).Reason)
		require.Zero(t, time.Since(start))
		for _, c := range running {
			require.Equal(t, "long letter", c.completeAnswer())
		}
		require.NoError(t, h.Drain(context.Background()))
	})
}

func TestDrainHonoursGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		defer h.stop()
		c := h.offer(nil)
		expect[*wire.Grant](c)
		drained := make(chan error, 1)
		go func() { drained <- h.Drain(context.Background()) }()
		synctest.Wait()
		c.send(&wire.Run{Attempt: c.id})
		require.Equal(t, "hello world", c.completeAnswer())
		require.NoError(t, <-drained)
	})
}

// TestDrainWaitsForLostStream checks that an answer whose stream was lost is
// retained until the router resumes it.
func TestDrainWaitsForLostStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		defer h.stop()
		c := h.offer(nil).run()
		_ = c.stream.Close()
		drained := make(chan error, 1)
		go func() { drained <- h.Drain(context.Background()) }()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Empty(t, drained)
		again := h.resume(c.id, 0)
		expect[*wire.Head](again)
		require.Equal(t, "hello world", again.completeAnswer())
		require.NoError(t, <-drained)
	})
}

// TestDrainIgnoresHomeOffersServedRemotely checks that a drain does not wait
// for requests that run at another agent and whose home agent this is.
func TestDrainIgnoresHomeOffersServedRemotely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		defer h.stop()
		c := h.offer(func(o *wire.Offer) { o.Home, o.Fingerprint = true, []byte("f") })
		expect[*wire.Grant](c)
		c.send(&wire.Withdraw{Attempt: c.id})
		expect[*wire.Refuse](c)
		start := time.Now()
		require.NoError(t, h.Drain(context.Background()))
		require.Zero(t, time.Since(start))
	})
}
