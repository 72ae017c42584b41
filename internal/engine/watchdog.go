package engine

import (
	"context"
	"io"
	"time"
)

// watchdog cancels a call when a read of its answer takes longer than
// progressTimeout. It runs during reads only, so that a slow caller is not a stall.
type watchdog struct {
	ctx             context.Context
	cancel          context.CancelCauseFunc
	progressTimeout time.Duration
	timer           *time.Timer // runs during a read; nil before the first
}

func newWatchdog(progressTimeout time.Duration) *watchdog {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &watchdog{ctx: ctx, cancel: cancel, progressTimeout: progressTimeout}
}

// watchedBody is a response body whose reads are bounded by a watchdog.
type watchedBody struct {
	io.ReadCloser
	watchdog *watchdog
}

// Read implements io.Reader.
func (b watchedBody) Read(p []byte) (int, error) {
	b.watchdog.startTimer()
	defer b.watchdog.timer.Stop()
	return b.ReadCloser.Read(p)
}

// startTimer starts the timer of a read, which cancels the call with ErrStalled.
func (w *watchdog) startTimer() {
	if w.timer == nil {
		w.timer = time.AfterFunc(w.progressTimeout, func() { w.cancel(ErrStalled) })
		return
	}
	w.timer.Reset(w.progressTimeout)
}

// cancelWith cancels the call when ctx ends, until stop is called.
func (w *watchdog) cancelWith(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { w.cancel(context.Cause(ctx)) })
}
