// Package eventlog writes structured log lines without ever blocking whoever
// logs.
//
// Problem: the lines are the only trace of a failed request, but a reader of
// the output that stalls, or a flood of refusals, must not slow requests down.
//
// Invariants: a call to the logger returns without waiting for the output; at
// most LinesPerSecond lines are written over time; the number of dropped lines
// is written as soon as there is room again.
package eventlog

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/mastichollow/mastichollow/internal/metric"
)

const (
	// LinesPerSecond bounds the volume: about two lines for each request that a
	// gate of a third of a core can carry.
	LinesPerSecond = 400
	burstLines     = 2 * LinesPerSecond
	// queueLines is the room for lines while the output is slow.
	queueLines = 1024
	// closeTimeout bounds the wait for the last lines at a stop.
	closeTimeout = 200 * time.Millisecond
	// gatherTime is how long lines are gathered before they are written in one
	// call: a kill loses no more than that.
	gatherTime  = 20 * time.Millisecond
	gatherBytes = 32 << 10
)

// Log writes lines to an output in the background.
type Log struct {
	out     io.Writer
	lines   chan []byte
	limiter *rate.Limiter
	dropped prometheus.Counter

	mu      sync.Mutex
	missing int
	stopped chan struct{}
}

// New returns a log to out that writes once Run is called.
func New(out io.Writer, reg prometheus.Registerer) *Log {
	return &Log{
		out:     out,
		lines:   make(chan []byte, queueLines),
		limiter: rate.NewLimiter(LinesPerSecond, burstLines),
		dropped: metric.For(reg, "mastichollow_log").Counter("dropped_lines_total", "Log lines dropped to bound the volume."),
		stopped: make(chan struct{}),
	}
}

// Logger returns a logger of JSON lines.
func (l *Log) Logger(name string, level hclog.Level) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: level, JSONFormat: true, Output: l})
}

// Write implements io.Writer for one line. It never blocks and never fails.
func (l *Log) Write(line []byte) (int, error) {
	if l.limiter.Allow() {
		l.enqueue(append([]byte(nil), line...))
	} else {
		l.drop()
	}
	return len(line), nil
}

// enqueue takes over the line.
func (l *Log) enqueue(line []byte) {
	select {
	case l.lines <- line:
	default:
		l.drop()
	}
}

func (l *Log) drop() {
	l.dropped.Inc()
	l.mu.Lock()
	l.missing++
	l.mu.Unlock()
}

// Run writes lines until ctx ends, and then those that are left, as far as the
// output takes them.
func (l *Log) Run(ctx context.Context) {
	defer close(l.stopped)
	timer := time.NewTimer(0)
	<-timer.C
	for {
		select {
		case line := <-l.lines:
			timer.Reset(gatherTime)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
			l.write(line)
		case <-ctx.Done():
			l.write(nil)
			return
		}
	}
}

// write writes the line and all that wait, in few calls. It has nowhere to
// report a failure of the output to.
func (l *Log) write(line []byte) {
	buf := append(l.missed(), line...)
	for {
		select {
		case next := <-l.lines:
			buf = append(buf, next...)
			if len(buf) < gatherBytes {
				continue
			}
			_, _ = l.out.Write(buf)
			buf = buf[:0]
		default:
			if len(buf) > 0 {
				_, _ = l.out.Write(buf)
			}
			return
		}
	}
}

// missed returns a line that tells of dropped ones, if any.
func (l *Log) missed() []byte {
	l.mu.Lock()
	missing := l.missing
	l.missing = 0
	l.mu.Unlock()
	if missing == 0 {
		return nil
	}
	return fmt.Appendf(nil, `{"@level":"warn","@message":"log lines dropped","count":%d}`+"\n", missing)
}

// Wait waits until Run has ended, for a short while at most.
func (l *Log) Wait() {
	select {
	case <-l.stopped:
	case <-time.After(closeTimeout):
	}
}
