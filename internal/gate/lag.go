package gate

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// lagInterval is the pause between two looks at the gate's own speed.
	lagInterval = 50 * time.Millisecond
	// lagLimit is how late the gate may run: an eighth of the shortest goals of
	// streams (500 ms) would otherwise be lost in the gate.
	lagLimit = 60 * time.Millisecond
	// chokedLimit is the lag from which requests beyond their workspace's share are
	// refused unread: half of the shortest goals of streams would be lost in the gate,
	// and a flood that is served late only grows.
	chokedLimit = 250 * time.Millisecond
	// lagWeight is the weight of the newest look: one pause, such as a collection
	// of garbage, is forgiven, half a second of them is not.
	lagWeight = 0.1
	// balancerNotice is how long the balancer may go on sending callers to a gate that
	// is not ready: two questions, one a second. A connection that ends before comes
	// back to the same gate and costs it more than a kept one.
	balancerNotice = 2500 * time.Millisecond
	// longestPause bounds what one pause counts; a suspended machine is late once.
	longestPause = 500 * time.Millisecond
)

// lag is how late the gate runs for want of processor time. A gate that runs
// late asks the balancer for fewer callers: VMs differ in what they can carry.
//
// It is measured by a byte through a pipe, which waits its turn behind the
// connections on which something arrived. Timers alone would not show it: the
// runtime runs what they wake before all that waits.
type lag struct {
	mean atomic.Int64
	sent atomic.Int64 // when the byte on its way was sent; 0: there is none
	// highFor is how long the gate has run late, to the last look.
	highFor atomic.Int64
}

// run measures until ctx ends. Its error says that it cannot.
func (l *lag) run(ctx context.Context, now func() time.Duration) error {
	r, w, err := os.Pipe()
	if err != nil {
		return errors.Wrap(err, "opening a pipe")
	}
	defer func() { _ = w.Close() }()
	go l.receive(r, now)
	ticker := time.NewTicker(lagInterval)
	defer ticker.Stop()
	last := now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		at := now()
		late := at - last - lagInterval
		l.look(at - last)
		last = at
		if sent := l.sent.Load(); sent != 0 {
			// The byte before is still on its way.
			l.add(at - time.Duration(sent))
			continue
		}
		l.sent.Store(int64(at - max(late, 0)))
		if _, err := w.Write([]byte{0}); err != nil {
			return errors.Wrap(err, "writing to a pipe")
		}
	}
}

// receive takes the bytes until the other end is closed.
func (l *lag) receive(r *os.File, now func() time.Duration) {
	defer func() { _ = r.Close() }()
	var one [1]byte
	for {
		if _, err := r.Read(one[:]); err != nil {
			return
		}
		l.add(now() - time.Duration(l.sent.Swap(0)))
	}
}

// look notes that some time passed since the last look.
func (l *lag) look(passed time.Duration) {
	if !l.high() {
		l.highFor.Store(0)
		return
	}
	l.highFor.Add(int64(passed))
}

// add takes how late the gate ran at one look.
func (l *lag) add(late time.Duration) {
	late = min(max(late, 0), longestPause)
	mean := time.Duration(l.mean.Load())
	l.mean.Store(int64(mean + time.Duration(lagWeight*float64(late-mean))))
}

func (l *lag) high() bool { return time.Duration(l.mean.Load()) > lagLimit }

// lasting reports whether the gate has run late for so long that the balancer
// sends its callers' next connections elsewhere.
func (l *lag) lasting() bool { return l.high() && time.Duration(l.highFor.Load()) > balancerNotice }

func (l *lag) choked() bool { return time.Duration(l.mean.Load()) > chokedLimit }
