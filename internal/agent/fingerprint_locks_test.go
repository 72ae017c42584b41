package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

func crashCount(h *harness) int {
	return counterValue(h.t, h.metrics.crashes)
}

// TestDuplicateWaits checks that a second request with the same fingerprint
// waits until the first has ended.
func TestDuplicateWaits(t *testing.T) {
	home := func(o *wire.Offer) { o.Home, o.Fingerprint = true, []byte("f") }
	firstRunsRemotely := func(t *testing.T, h *harness) func() {
		c := h.offer(home)
		expect[*wire.Grant](c)
		c.send(&wire.Withdraw{Attempt: c.id})
		expect[*wire.Refuse](c)
		return func() { _ = c.stream.CloseSend() }
	}
	firstRunsHere := func(t *testing.T, h *harness) func() {
		c := h.offer(home).run()
		return func() { c.completeAnswer() }
	}
	firstLosesStream := func(t *testing.T, h *harness) func() {
		targetAnswers(nil, step{after: 10 * time.Second, data: "x"})(h)
		c := h.offer(func(o *wire.Offer) { o.Fingerprint = []byte("f") }).run()
		_ = c.stream.Close()
		return func() { time.Sleep(10 * time.Second) }
	}
	tests := []struct {
		name  string
		first func(*testing.T, *harness) (end func())
	}{
		{"first runs at another agent", firstRunsRemotely},
		{"first runs here", firstRunsHere},
		{"first runs here and its stream is lost", firstLosesStream},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, nil)
				defer h.stop()
				end := tt.first(t, h)
				synctest.Wait()
				second := h.offer(home)
				require.True(t, expect[*wire.Queued](second).Duplicate)
				third := h.offer(home)
				require.True(t, expect[*wire.Queued](third).Duplicate)
				fourth := h.offer(func(o *wire.Offer) { home(o); o.Deadline = time.Second })
				expect[*wire.Queued](fourth)
				require.Equal(t, request.ReasonDeadline, expect[*wire.Refuse](fourth).Reason)
				end()
				_ = second.stream.Close() // lost before it acquires the lock
				third.run().completeAnswer()
				require.Equal(t, 3, counterValue(t, h.metrics.duplicates))
			})
		})
	}
}

// TestDuplicateWaitsAfterLostHome checks that the lock is held for a time when
// the home stream is lost, since it is then unknown how the first request
// ended.
func TestDuplicateWaitsAfterLostHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		defer h.stop()
		home := func(o *wire.Offer) { o.Home, o.Fingerprint = true, []byte("f") }
		first := h.offer(home)
		expect[*wire.Grant](first)
		first.send(&wire.Withdraw{Attempt: first.id})
		expect[*wire.Refuse](first)
		second := h.offer(home)
		expect[*wire.Queued](second)
		start := time.Now()
		_ = first.stream.Close()
		second.run().completeAnswer()
		require.GreaterOrEqual(t, time.Since(start), suspectPropagationDelay)
	})
}

func TestCancelledWaiterReleasesLock(t *testing.T) {
	locks := newFingerprintLocks(func([]byte) bool { return false })
	fingerprint := []byte("f")
	require.Nil(t, locks.acquire(fingerprint, "a", 1))
	second := locks.acquire(fingerprint, "b", 1)
	third := locks.acquire(fingerprint, "c", 1)
	locks.release(fingerprint)
	<-second.ready
	locks.cancel(fingerprint, second) // cancelled just after it acquired the lock
	<-third.ready
	locks.release(fingerprint)
	require.Empty(t, locks.byFingerprint)
	require.Empty(t, locks.waiting)
}

func TestSameRequestIsNoDuplicate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		defer h.stop()
		again := func(o *wire.Offer) { o.Request, o.Fingerprint = "same", []byte("f") }
		h.offer(again).run()
		h.offer(again).run().completeAnswer()
		other := h.offer(func(o *wire.Offer) { o.Fingerprint = []byte("g") })
		other.run().completeAnswer()
	})
}

// TestCompletedFingerprintsRunConcurrently checks that equal requests run
// concurrently once one of them has completed, unless they become suspects.
func TestCompletedFingerprintsRunConcurrently(t *testing.T) {
	isSuspect := false
	locks := newFingerprintLocks(func([]byte) bool { return isSuspect })
	fingerprint := []byte("f")
	require.Nil(t, locks.acquire(fingerprint, "a", 1))
	waiting := []*lockWaiter{locks.acquire(fingerprint, "b", 1), locks.acquire(fingerprint, "c", 1)}
	locks.markCompleted(fingerprint)
	for _, w := range waiting {
		<-w.ready
	}
	require.Zero(t, locks.waitingOf(1))
	require.Nil(t, locks.acquire(fingerprint, "d", 1))
	isSuspect = true
	e := locks.acquire(fingerprint, "e", 1)
	require.NotNil(t, e, "a suspect waits until all holders of the lock have ended")
	for range 4 {
		locks.release(fingerprint)
	}
	<-e.ready
	locks.release(fingerprint)
	require.Empty(t, locks.byFingerprint)
}
