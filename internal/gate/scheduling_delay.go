package gate

import (
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// delayProbeInterval is the time between two measurements.
	delayProbeInterval = 50 * time.Millisecond
	// readyMaxDelay is the mean delay above which the gate is not ready: more would
	// spend an eighth of the shortest latency objective of streams (500 ms).
	readyMaxDelay = 60 * time.Millisecond
	// overloadDelay is the mean delay above which requests above their workspace's
	// fair share are refused before their body is read: half of the shortest latency
	// objective of streams would be spent in the gate, and serving a flood late makes
	// it grow.
	overloadDelay = 250 * time.Millisecond
	// delaySampleWeight is the weight of the newest sample in the moving average: one
	// pause, such as a garbage collection, has no effect on readiness, half a second
	// of pauses has.
	delaySampleWeight = 0.1
	// balancerReactionTime is how long the load balancer may still route callers to a
	// gate that is not ready: two health checks, one a second. A connection closed
	// earlier returns to the same gate and costs it more than one that stays open.
	balancerReactionTime = 2500 * time.Millisecond
	// maxDelaySample bounds one sample, so that a single suspension of the machine has
	// a bounded effect.
	maxDelaySample = 500 * time.Millisecond
)

// schedulingDelay measures how long ready connections wait for processor time. A gate
// whose delay is high reports not ready, so that the load balancer sends it fewer
// callers: VMs differ in capacity.
//
// Each probe is a byte sent through a pipe, which waits its turn behind the
// connections that have data to read. Timers alone would not show the delay: the
// runtime runs the goroutines that they wake before those already waiting.
type schedulingDelay struct {
	mean      atomic.Int64
	probeSent atomic.Int64 // when the probe in flight was sent; 0: none
	// highDuration is for how long the delay has been high, as of the last tick.
	highDuration atomic.Int64
	// onTick, if not nil, is called with the time and the mean at each tick. queueDelay, if
	// not nil, returns how long requests wait in the gate's own queue, which the probes don't
	// show.
	onTick     func(now, mean time.Duration)
	queueDelay func(now time.Duration) time.Duration
}

// measure sends probes until ctx ends. It returns an error if the pipe cannot be opened
// or written. now is a monotonic clock.
func (d *schedulingDelay) measure(ctx context.Context, now func() time.Duration) error {
	r, w, err := os.Pipe()
	if err != nil {
		return errors.Wrap(err, "opening a pipe")
	}
	defer func() { _ = w.Close() }()
	go d.receiveProbes(r, now)
	ticker := time.NewTicker(delayProbeInterval)
	defer ticker.Stop()
	lastTick := now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		tick := now()
		tickDelay := tick - lastTick - delayProbeInterval
		d.updateHighDuration(tick - lastTick)
		if d.onTick != nil {
			d.onTick(tick, time.Duration(d.mean.Load()))
		}
		lastTick = tick
		if sent := d.probeSent.Load(); sent != 0 {
			// The previous probe is still in flight.
			d.addSample(tick - time.Duration(sent) + d.inQueue(tick))
			continue
		}
		d.probeSent.Store(int64(tick - max(tickDelay, 0)))
		if _, err := w.Write([]byte{0}); err != nil {
			return errors.Wrap(err, "writing to a pipe")
		}
	}
}

// receiveProbes reads probes until the other end is closed, and adds their delays.
func (d *schedulingDelay) receiveProbes(r *os.File, now func() time.Duration) {
	defer func() { _ = r.Close() }()
	var one [1]byte
	for {
		if _, err := r.Read(one[:]); err != nil {
			return
		}
		received := now()
		d.addSample(received - time.Duration(d.probeSent.Swap(0)) + d.inQueue(received))
	}
}

func (d *schedulingDelay) inQueue(now time.Duration) time.Duration {
	if d.queueDelay == nil {
		return 0
	}
	return d.queueDelay(now)
}

// updateHighDuration adds the time since the last tick if the delay is high, and resets
// the duration otherwise.
func (d *schedulingDelay) updateHighDuration(elapsed time.Duration) {
	if !d.high() {
		d.highDuration.Store(0)
		return
	}
	d.highDuration.Add(int64(elapsed))
}

// addSample adds one measured delay to the moving average. The goroutines that send and that
// receive the probes both call it.
func (d *schedulingDelay) addSample(sample time.Duration) {
	sample = min(max(sample, 0), maxDelaySample)
	for {
		old := d.mean.Load()
		mean := time.Duration(old)
		if d.mean.CompareAndSwap(old, int64(mean+time.Duration(delaySampleWeight*float64(sample-mean)))) {
			return
		}
	}
}

func (d *schedulingDelay) high() bool { return time.Duration(d.mean.Load()) > readyMaxDelay }

// sustained reports whether the delay has been high for so long that the load balancer
// routes new connections to other gates.
func (d *schedulingDelay) sustained() bool {
	return d.high() && time.Duration(d.highDuration.Load()) > balancerReactionTime
}

func (d *schedulingDelay) overloaded() bool { return time.Duration(d.mean.Load()) > overloadDelay }
