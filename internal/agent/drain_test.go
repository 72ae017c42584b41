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

// TestDrainCutsNothing stops an agent under load.
func TestDrainCutsNothing(t *testing.T) {
	tests := []struct {
		name string
		stop func(*rig)
	}{
		{"process stops", func(r *rig) { r.stopGrants("test") }},
		{"process stops twice", func(r *rig) { r.stopGrants("test"); r.stopGrants("again") }},
		{"platform fails meanwhile", func(r *rig) {
			r.registry.setUnavailable(true)
			r.stopGrants("test")
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
	t.Run("by the operators", func(t *testing.T) {
		testDrain(t, func(r *rig) { r.store.ApplyTable(marked) })
	})
	t.Run("by the platform", func(t *testing.T) {
		testDrain(t, func(r *rig) { r.store.ApplyVMs(listed) })
	})
}

// testDrain requires that what runs is answered whole, and that what has no
// slot is handed back at once as not run.
func testDrain(t *testing.T, stop func(*rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		defer r.stop()
		answers(nil, step{data: "long "}, step{after: 10 * time.Minute, data: "letter"})(r)
		print := func(o *wire.Offer) { o.Fingerprint = []byte("same") }
		running := []*conn{r.offer(print).run(), r.offer(func(o *wire.Offer) { o.Claim = []byte("k") }).run()}
		staged := r.offer(nil).run()
		queued := r.offer(nil)
		expect[*wire.Queued](queued)
		duplicate := r.offer(print)
		expect[*wire.Queued](duplicate)
		synctest.Wait()
		begun := time.Now()
		stop(r)
		for _, c := range []*conn{staged, queued, duplicate} {
			_, last := c.answer()
			require.Equal(t, request.ReasonDraining, reasonOf(last))
			require.Zero(t, r.target.ran(c.id))
		}
		require.Equal(t, request.ReasonDraining, expect[*wire.Refuse](r.offer(nil)).Reason)
		require.Zero(t, time.Since(begun))
		for _, c := range running {
			require.Equal(t, "long letter", c.whole())
		}
		require.NoError(t, r.Drain(context.Background()))
	})
}

func TestDrainHonoursGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		defer r.stop()
		c := r.offer(nil)
		expect[*wire.Grant](c)
		drained := make(chan error, 1)
		go func() { drained <- r.Drain(context.Background()) }()
		synctest.Wait()
		c.send(&wire.Run{Attempt: c.id})
		require.Equal(t, "hello world", c.whole())
		require.NoError(t, <-drained)
	})
}

// TestDrainWaitsForLostStream keeps an answer whose stream was lost until the
// router asks for it again.
func TestDrainWaitsForLostStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		defer r.stop()
		c := r.offer(nil).run()
		_ = c.s.Close()
		drained := make(chan error, 1)
		go func() { drained <- r.Drain(context.Background()) }()
		time.Sleep(5 * time.Second)
		synctest.Wait()
		require.Empty(t, drained)
		again := r.resume(c.id, 0)
		expect[*wire.Head](again)
		require.Equal(t, "hello world", again.whole())
		require.NoError(t, <-drained)
	})
}

// TestDrainLeavesHomeOffers does not wait for requests that run elsewhere and
// whose home is here.
func TestDrainLeavesHomeOffers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		defer r.stop()
		c := r.offer(func(o *wire.Offer) { o.Home, o.Fingerprint = true, []byte("f") })
		expect[*wire.Grant](c)
		c.send(&wire.Withdraw{Attempt: c.id})
		expect[*wire.Refuse](c)
		begun := time.Now()
		require.NoError(t, r.Drain(context.Background()))
		require.Zero(t, time.Since(begun))
	})
}
