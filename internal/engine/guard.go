package engine

import (
	"context"
	"time"
)

// guard cancels an answer that makes no progress.
type guard struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	limit  time.Duration
}

func newGuard(limit time.Duration) *guard {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &guard{ctx: ctx, cancel: cancel, limit: limit}
}

// watch bounds one read: it cancels the answer when ctx ends or no byte comes
// within the limit. The caller calls stop after the read.
func (g *guard) watch(ctx context.Context) (stop func()) {
	timer := time.AfterFunc(g.limit, func() { g.cancel(ErrStalled) })
	release := context.AfterFunc(ctx, func() { g.cancel(context.Cause(ctx)) })
	return func() {
		timer.Stop()
		release()
	}
}
