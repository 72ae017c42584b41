package agent

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// BenchmarkRequest serves whole answers of 200 frames, one after the other.
func BenchmarkRequest(b *testing.B) {
	r := newRig(b, nil)
	defer r.cancel()
	frames := make([]step, 200)
	for i := range frames {
		frames[i].data = "token "
	}
	answers(nil, frames...)(r)
	b.ReportAllocs()
	for b.Loop() {
		c := r.offer(nil).run()
		c.whole()
		<-c.done
	}
}

// BenchmarkRefusal refuses offers of a workspace that may not use the pool.
func BenchmarkRefusal(b *testing.B) {
	r := newRig(b, nil)
	defer r.cancel()
	b.ReportAllocs()
	for b.Loop() {
		c := r.offer(func(o *wire.Offer) { o.Workspace = 4 })
		require.Equal(b, request.ReasonForbiddenPool, expect[*wire.Refuse](c).Reason)
		<-c.done
	}
}
