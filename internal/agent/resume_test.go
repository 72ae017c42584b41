package agent

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/engine"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

func TestResumeContinuesAtOffset(t *testing.T) {
	tests := []struct {
		name  string
		pause time.Duration // between the loss and Resume
	}{
		{"while it runs", 100 * time.Millisecond},
		{"after it has finished", 5 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, nil)
				defer r.stop()
				c := r.offer(nil).run()
				expect[*wire.Head](c)
				chunk := expect[*wire.Chunk](c)
				_ = c.s.Close()
				time.Sleep(tt.pause)
				body, last := r.resume(c.id, uint64(len(chunk.Data))).answer()
				require.Equal(t, "hello world", string(chunk.Data)+body)
				require.IsType(t, &wire.End{}, last)
				require.Equal(t, 1, r.target.count())
			})
		})
	}
}

func TestResumeAbandonsOldStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		defer r.stop()
		c := r.offer(nil).run()
		expect[*wire.Head](c)
		expect[*wire.Chunk](c)
		again := r.resume(c.id, 0)
		expect[*wire.Head](again)
		require.Equal(t, "hello world", again.whole())
		require.Nil(t, c.recv(), "the old stream ends without an answer")
		<-c.done
	})
}

func TestResumeOutcomes(t *testing.T) {
	tests := []struct {
		name string
		lose func(*rig) request.AttemptID // returns an attempt whose stream is lost
		want request.Outcome
	}{
		{"unknown attempt", func(*rig) request.AttemptID { return "never seen" }, request.OutcomeUnknown},
		{"queued", func(r *rig) request.AttemptID {
			for range 3 {
				r.offer(nil).run()
			}
			return r.offer(nil).id
		}, request.OutcomeNotRun},
		{"granted", func(r *rig) request.AttemptID { return r.offer(nil).id }, request.OutcomeNotRun},
		{"grant expired", func(r *rig) request.AttemptID {
			c := r.offer(nil)
			time.Sleep(time.Minute)
			return c.id
		}, request.OutcomeNotRun},
		{"kept too long ago", func(r *rig) request.AttemptID {
			c := r.offer(nil).run()
			_ = c.s.Close()
			time.Sleep(time.Minute)
			return c.id
		}, request.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, nil)
				defer r.stop()
				id := tt.lose(r)
				synctest.Wait()
				fail := expect[*wire.Fail](r.resume(id, 0))
				require.Equal(t, tt.want, fail.Outcome)
				time.Sleep(10 * time.Minute)
				if tt.want == request.OutcomeNotRun {
					require.Zero(t, r.target.ran(id))
				}
			})
		})
	}
}

func TestOutputIsBoundedBySlowRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const window = 64 << 10
		r := newRig(t, func(c *Config) { c.Limits.WindowBytes = window })
		defer r.stop()
		piece := strings.Repeat("x", 1<<10)
		r.target.script = func(engine.Call) ([]step, error) {
			steps := make([]step, 10<<10)
			for i := range steps {
				steps[i].data = piece
			}
			return steps, nil
		}
		c := r.offer(nil).run()
		synctest.Wait()
		at, _ := r.attempts.find(c.id)
		require.LessOrEqual(t, at.out.size(), window+window/4)
		require.Len(t, c.whole(), 10<<20)
	})
}

func TestOrphanIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, nil)
		defer r.stop()
		long := []step{{data: "a"}, {after: time.Hour, data: "b"}}
		r.target.script = func(engine.Call) ([]step, error) { return long, nil }
		c := r.offer(nil).run()
		_ = c.s.Close()
		kept := r.offer(func(o *wire.Offer) { o.Claim = []byte("k") }).run()
		_ = kept.s.Close()
		time.Sleep(20 * time.Second)
		require.Equal(t, 1, r.target.busy(), "one that may not be repeated goes on")
		require.Equal(t, 1, r.counter(r.metrics.outcomes, "unknown", string(request.ReasonConnectionLost)))
	})
}
