package gate

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/route"
)

const (
	// leastGap, gapGoals and gapPauses tell when callers give up a stream that
	// pauses: after the longest of 2 s, four times the goal and eight times the
	// longest good pause (platform's page of the protocol).
	leastGap  = 2 * time.Second
	gapGoals  = 4
	gapPauses = 8
	// resumeStalled is the part of that gap after which a stream that may be resumed
	// goes on at another target: what is left must suffice to read the prompt there.
	resumeStalled = 0.6
	// endStalled is the part of it after which other streams end. By then their
	// callers have left.
	endStalled = 1.25
	// wakeGrace is what a gate that was paused itself gets to read what has
	// arrived meanwhile, before it takes a target for silent.
	wakeGrace = 200 * time.Millisecond
)

var errStalled = errors.New("stream makes no progress")

// watchdog calls expired when there was no progress for a while. A process that
// was paused itself looks once more before: the progress may wait to be read.
type watchdog struct {
	limit   time.Duration
	expired func()

	mu        sync.Mutex
	timer     *time.Timer
	suspected bool
	stopped   bool
}

func newWatchdog(limit time.Duration, expired func()) *watchdog {
	w := &watchdog{limit: limit, expired: expired}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, w.fire)
	return w
}

func (w *watchdog) fire() {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	if !w.suspected {
		w.suspected = true
		w.timer.Reset(wakeGrace)
		w.mu.Unlock()
		return
	}
	w.stopped = true
	w.mu.Unlock()
	w.expired()
}

// progress starts the time anew.
func (w *watchdog) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.suspected = false
		w.timer.Reset(w.limit)
	}
}

// stop ends the watch. A nil watchdog watches nothing.
func (w *watchdog) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// watchStream ends the send when the stream brings no new event for too long,
// whatever else its target sends.
func (c *call) watchStream() *watchdog {
	gap := max(leastGap, gapGoals*c.route.Goal, gapPauses*c.route.GapGoal)
	part := endStalled
	if c.route.Repetition == route.Resumable && c.sent < c.route.MaxTargets {
		part = resumeStalled
	}
	cancel := c.cancel
	return newWatchdog(time.Duration(part*float64(gap))-wakeGrace, func() { cancel(errStalled) })
}
