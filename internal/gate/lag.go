package gate

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// lagInterval is the pause between two looks at the clock.
	lagInterval = 50 * time.Millisecond
	// lagLimit is how late the gate may run: an eighth of the shortest goals of
	// streams (500 ms) would otherwise be lost in the gate.
	lagLimit = 60 * time.Millisecond
	// chokedLimit is the lag from which new requests are refused unread: half of the
	// shortest goals of streams would be lost in the gate, and a flood that is
	// served late only grows.
	chokedLimit = 250 * time.Millisecond
	// lagWeight is the weight of the newest look: one pause, such as a collection
	// of garbage, is forgiven, half a second of them is not.
	lagWeight = 0.1
	// longestPause bounds what one pause counts; a suspended machine is late once.
	longestPause = 500 * time.Millisecond
)

// lag is how late the gate runs for want of processor time. A gate that runs
// late asks the balancer for fewer callers: VMs differ in what they can carry.
type lag struct{ mean atomic.Int64 }

func (l *lag) run(ctx context.Context, now func() time.Duration) {
	ticker := time.NewTicker(lagInterval)
	defer ticker.Stop()
	last := now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		at := now()
		l.add(at - last)
		last = at
	}
}

// add takes the time between two looks.
func (l *lag) add(passed time.Duration) {
	late := min(max(passed-lagInterval, 0), longestPause)
	mean := time.Duration(l.mean.Load())
	l.mean.Store(int64(mean + time.Duration(lagWeight*float64(late-mean))))
}

func (l *lag) high() bool { return time.Duration(l.mean.Load()) > lagLimit }

func (l *lag) choked() bool { return time.Duration(l.mean.Load()) > chokedLimit }
