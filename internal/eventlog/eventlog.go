// Package eventlog writes structured log lines without ever blocking the caller.
//
// Problem: the log lines are the only trace of a failed request, but neither a stalled
// reader of the output nor a flood of refusals may slow requests down.
//
// Invariants: a call to the logger returns without waiting for the output; at most
// MaxLinesPerSecond lines are written on average; the number of dropped lines is written
// as soon as the output accepts lines again.
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
	// MaxLinesPerSecond bounds the log volume: about two lines for each request that a
	// gate with a third of a core can handle.
	MaxLinesPerSecond = 400
	burstLines        = 2 * MaxLinesPerSecond
	// reservedLines is the part of burstLines that bulk events leave to other lines.
	reservedLines = burstLines / 4
	// queueLines is the capacity of the queue of lines while the output is slow.
	queueLines = 1024
	// shutdownTimeout bounds the wait for the last lines at shutdown.
	shutdownTimeout = 200 * time.Millisecond
	// flushInterval is how long lines are buffered before they are written in one call. A
	// killed process loses at most the lines of this time.
	flushInterval = 20 * time.Millisecond
	flushBytes    = 32 << 10
)

// Log writes lines to an output in the background and drops lines above the rate limit or
// the queue capacity.
type Log struct {
	out     io.Writer
	lines   chan []byte
	limiter *rate.Limiter
	dropped prometheus.Counter

	mu              sync.Mutex
	unreportedDrops int
	stopped         chan struct{}
}

// New returns a log to out. It queues lines and writes them once Run is called.
func New(out io.Writer, reg prometheus.Registerer) *Log {
	return &Log{
		out:     out,
		lines:   make(chan []byte, queueLines),
		limiter: rate.NewLimiter(MaxLinesPerSecond, burstLines),
		dropped: metric.NewFactory(reg, "mastichollow_log").Counter("dropped_lines_total", "Log lines dropped because of the rate limit or a full queue."),
		stopped: make(chan struct{}),
	}
}

// Logger returns a logger that writes JSON lines to l.
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

// enqueue queues a line, which the caller must not modify afterwards, or drops it if the
// queue is full.
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
	l.unreportedDrops++
	l.mu.Unlock()
}

// Run writes lines until ctx ends and then writes the queued ones. It blocks while the
// output does.
func (l *Log) Run(ctx context.Context) {
	defer close(l.stopped)
	timer := time.NewTimer(0)
	<-timer.C
	for {
		select {
		case line := <-l.lines:
			timer.Reset(flushInterval)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
			l.flush(line)
		case <-ctx.Done():
			l.flush(nil)
			return
		}
	}
}

// flush writes the line and all queued ones in few calls. It ignores errors of the output,
// because there is no other place to report them.
func (l *Log) flush(line []byte) {
	buf := append(l.dropNotice(), line...)
	for {
		select {
		case next := <-l.lines:
			buf = append(buf, next...)
			if len(buf) < flushBytes {
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

// dropNotice returns a line with the number of lines dropped since the previous notice, or
// nil if there are none.
func (l *Log) dropNotice() []byte {
	l.mu.Lock()
	dropped := l.unreportedDrops
	l.unreportedDrops = 0
	l.mu.Unlock()
	if dropped == 0 {
		return nil
	}
	return fmt.Appendf(nil, `{"@level":"warn","@message":"log lines dropped","count":%d}`+"\n", dropped)
}

// Wait waits until Run returns, for shutdownTimeout at most.
func (l *Log) Wait() {
	select {
	case <-l.stopped:
	case <-time.After(shutdownTimeout):
	}
}
