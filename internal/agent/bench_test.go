package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// BenchmarkRequest serves complete answers of 200 frames, one after the other.
func BenchmarkRequest(b *testing.B) {
	h := newHarness(b, nil)
	defer h.cancel()
	frames := make([]step, 200)
	for i := range frames {
		frames[i].data = "token "
	}
	targetAnswers(nil, frames...)(h)
	b.ReportAllocs()
	for b.Loop() {
		c := h.offer(nil).run()
		c.completeAnswer()
		<-c.done
	}
}

// BenchmarkRefusal refuses offers of a workspace that may not use the pool.
func BenchmarkRefusal(b *testing.B) {
	h := newHarness(b, nil)
	defer h.cancel()
	b.ReportAllocs()
	for b.Loop() {
		c := h.offer(func(o *wire.Offer) { o.Workspace = 4 })
		require.Equal(b, request.ReasonForbiddenPool, expect[*wire.Refuse](c).Reason)
		<-c.done
	}
}
