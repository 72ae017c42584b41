package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

func crashesOf(r *rig) int {
	return counterValue(r.t, r.metrics.crashes)
}

// TestDuplicateWaits holds a second request with the same fingerprint until
// the first has ended.
func TestDuplicateWaits(t *testing.T) {
	home := func(o *wire.Offer) { o.Home, o.Fingerprint = true, []byte("f") }
	elsewhere := func(t *testing.T, r *rig) func() {
		c := r.offer(home)
		expect[*wire.Grant](c)
		c.send(&wire.Withdraw{Attempt: c.id})
		expect[*wire.Refuse](c)
		return func() { _ = c.s.CloseSend() }
	}
	here := func(t *testing.T, r *rig) func() {
		c := r.offer(home).run()
		return func() { c.whole() }
	}
	lost := func(t *testing.T, r *rig) func() {
		answers(nil, step{after: 10 * time.Second, data: "x"})(r)
		c := r.offer(func(o *wire.Offer) { o.Fingerprint = []byte("f") }).run()
		_ = c.s.Close()
		return func() { time.Sleep(10 * time.Second) }
	}
	tests := []struct {
		name  string
		first func(*testing.T, *rig) (end func())
	}{
		{"the first runs elsewhere", elsewhere},
		{"the first runs here", here},
		{"the first runs here and its stream is lost", lost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, nil)
				defer r.stop()
				end := tt.first(t, r)
				synctest.Wait()
				second := r.offer(home)
				require.True(t, expect[*wire.Queued](second).Duplicate)
				third := r.offer(home)
				require.True(t, expect[*wire.Queued](third).Duplicate)
				fourth := r.offer(func(o *wire.Offer) { home(o); o.Deadline = time.Second })
				expect[*wire.Queued](fourth)
				require.Equal(t, request.ReasonDeadline, expect[*wire.Refuse](fourth).Reason)
				end()
				_ = second.s.Close() // gone before its turn
				third.run().whole()
				require.Equal(t, 3, counterValue(t, r.metrics.duplicate))
			})
		})
	}
}

// TestDuplicateWaitsAfterLostHome keeps the fingerprint for a time when nobody
// can tell how the first request ended.
func TestDuplicateWaitsAfterLostHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		defer r.stop()
		home := func(o *wire.Offer) { o.Home, o.Fingerprint = true, []byte("f") }
		first := r.offer(home)
		expect[*wire.Grant](first)
		first.send(&wire.Withdraw{Attempt: first.id})
		expect[*wire.Refuse](first)
		second := r.offer(home)
		expect[*wire.Queued](second)
		begun := time.Now()
		_ = first.s.Close()
		second.run().whole()
		require.GreaterOrEqual(t, time.Since(begun), suspectRetry)
	})
}

func TestCancelledTicketHandsOn(t *testing.T) {
	h := newHolds(func([]byte) bool { return false })
	print := []byte("f")
	require.Nil(t, h.acquire(print, "a", 1))
	second := h.acquire(print, "b", 1)
	third := h.acquire(print, "c", 1)
	h.release(print)
	<-second.ready
	h.cancel(print, second) // it gave up just as it was its turn
	<-third.ready
	h.release(print)
	require.Empty(t, h.byPrint)
	require.Empty(t, h.waiting)
}

func TestSameRequestIsNoDuplicate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		defer r.stop()
		again := func(o *wire.Offer) { o.Request, o.Fingerprint = "same", []byte("f") }
		r.offer(again).run()
		r.offer(again).run().whole()
		other := r.offer(func(o *wire.Offer) { o.Fingerprint = []byte("g") })
		other.run().whole()
	})
}

// TestProvenFingerprintsRunAtOnce lets equal requests run side by side once one
// of them has ended whole, unless they become suspects.
func TestProvenFingerprintsRunAtOnce(t *testing.T) {
	suspect := false
	h := newHolds(func([]byte) bool { return suspect })
	print := []byte("f")
	require.Nil(t, h.acquire(print, "a", 1))
	waiting := []*ticket{h.acquire(print, "b", 1), h.acquire(print, "c", 1)}
	h.prove(print)
	for _, w := range waiting {
		<-w.ready
	}
	require.Zero(t, h.waitingOf(1))
	require.Nil(t, h.acquire(print, "d", 1))
	suspect = true
	e := h.acquire(print, "e", 1)
	require.NotNil(t, e, "a suspect waits until all that hold it have ended")
	for range 4 {
		h.release(print)
	}
	<-e.ready
	h.release(print)
	require.Empty(t, h.byPrint)
}
