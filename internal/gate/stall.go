package gate

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/route"
)

const (
	// minStallTimeout, stallTimeoutObjectives and stallTimeoutGapObjectives define when
	// callers abort a stalled stream: after the longest of 2 s, four times the latency
	// objective and eight times the inter-token objective (the platform's protocol
	// documentation).
	minStallTimeout           = 2 * time.Second
	stallTimeoutObjectives    = 4
	stallTimeoutGapObjectives = 8
	// resumeStallFraction is the fraction of that time after which a resumable stream
	// is resumed at another target: the rest must suffice to prefill the prompt there.
	resumeStallFraction = 0.6
	// endStallFraction is the fraction of that time after which other streams are
	// aborted. By then their callers have disconnected.
	endStallFraction = 1.25
	// processPauseGrace is how long a watchdog waits after its timer has fired: a gate
	// whose own process was paused needs this time to read the data that arrived during
	// the pause.
	processPauseGrace = 200 * time.Millisecond
)

var errStalled = errors.New("stream makes no progress")

// watchdog calls onTimeout if it is not reset in time. When its timer fires, it waits
// processPauseGrace more: if the process itself was paused, data that shows progress
// may still have to be read.
type watchdog struct {
	timeout   time.Duration
	onTimeout func()

	mu      sync.Mutex
	timer   *time.Timer
	inGrace bool
	stopped bool
}

func newWatchdog(timeout time.Duration, onTimeout func()) *watchdog {
	w := &watchdog{timeout: timeout, onTimeout: onTimeout}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, w.timerFired)
	return w
}

func (w *watchdog) timerFired() {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	if !w.inGrace {
		w.inGrace = true
		w.timer.Reset(processPauseGrace)
		w.mu.Unlock()
		return
	}
	w.stopped = true
	w.mu.Unlock()
	w.onTimeout()
}

// reset restarts the timeout. It may be called on a nil watchdog.
func (w *watchdog) reset() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.inGrace = false
		w.timer.Reset(w.timeout)
	}
}

// stop stops the watchdog. It may be called on a nil watchdog.
func (w *watchdog) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// startStreamWatchdog cancels the send if no new event arrives in time, whatever else
// the target sends. It returns nil for a stream on a route of plain responses, whose
// callers wait until the deadline.
func (c *call) startStreamWatchdog() *watchdog {
	if !c.route.Streaming {
		return nil
	}
	stallTimeout := max(minStallTimeout, stallTimeoutObjectives*c.route.LatencyObjective, stallTimeoutGapObjectives*c.route.InterTokenObjective)
	fraction := endStallFraction
	if c.route.RetryPolicy == route.Resumable && c.sends < c.route.MaxTargets {
		fraction = resumeStallFraction
	}
	cancel := c.cancelSend
	return newWatchdog(time.Duration(fraction*float64(stallTimeout))-processPauseGrace, func() { cancel(errStalled) })
}
