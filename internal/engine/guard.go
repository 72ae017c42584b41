package engine

import (
	"context"
	"io"
	"time"
)

// guard cancels an answer that makes no progress.
type guard struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	limit  time.Duration
	timer  *time.Timer // runs during a read
}

func newGuard(limit time.Duration) *guard {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &guard{ctx: ctx, cancel: cancel, limit: limit}
}

// guardedBody is a body of which each read is bounded in time.
type guardedBody struct {
	io.ReadCloser
	guard *guard
}

// Read implements io.Reader.
func (b guardedBody) Read(p []byte) (int, error) {
	b.guard.start()
	defer b.guard.timer.Stop()
	return b.ReadCloser.Read(p)
}

// start starts the timer of a read.
func (g *guard) start() {
	if g.timer == nil {
		g.timer = time.AfterFunc(g.limit, func() { g.cancel(ErrStalled) })
		return
	}
	g.timer.Reset(g.limit)
}

// watch cancels the answer when ctx ends. The caller calls stop once it no
// longer waits on behalf of ctx.
func (g *guard) watch(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { g.cancel(context.Cause(ctx)) })
}
