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
	if !l.limiter.Allow() || !l.enqueue(line) {
		l.dropped.Inc()
		l.mu.Lock()
		l.missing++
		l.mu.Unlock()
	}
	return len(line), nil
}

func (l *Log) enqueue(line []byte) bool {
	select {
	case l.lines <- append([]byte(nil), line...):
		return true
	default:
		return false
	}
}

// Run writes lines until ctx ends, and then those that are left, as far as the
// output takes them.
func (l *Log) Run(ctx context.Context) {
	defer close(l.stopped)
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		case <-ctx.Done():
			l.flush()
			return
		}
	}
}

func (l *Log) flush() {
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		default:
			return
		}
	}
}

// write has nowhere to report a failure of the output to.
func (l *Log) write(line []byte) {
	l.mu.Lock()
	missing := l.missing
	l.missing = 0
	l.mu.Unlock()
	if missing > 0 {
		_, _ = fmt.Fprintf(l.out, `{"@level":"warn","@message":"log lines dropped","count":%d}`+"\n", missing)
	}
	_, _ = l.out.Write(line)
}

// Wait waits until Run has ended, for a short while at most.
func (l *Log) Wait() {
	select {
	case <-l.stopped:
	case <-time.After(closeTimeout):
	}
}
