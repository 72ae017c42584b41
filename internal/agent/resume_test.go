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
		pause time.Duration // between the loss of the stream and Resume
	}{
		{"while the request runs", 100 * time.Millisecond},
		{"after the answer has finished", 5 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, nil)
				defer h.stop()
				c := h.offer(nil).run()
				expect[*wire.Head](c)
				chunk := expect[*wire.Chunk](c)
				_ = c.stream.Close()
				time.Sleep(tt.pause)
				body, last := h.resume(c.id, uint64(len(chunk.Data))).readAndClose()
				require.Equal(t, "hello world", string(chunk.Data)+body)
				require.IsType(t, &wire.End{}, last)
				require.Equal(t, 1, h.target.callCount())
			})
		})
	}
}

func TestResumeSupersedesOldStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		defer h.stop()
		c := h.offer(nil).run()
		expect[*wire.Head](c)
		expect[*wire.Chunk](c)
		again := h.resume(c.id, 0)
		expect[*wire.Head](again)
		require.Equal(t, "hello world", again.completeAnswer())
		require.Nil(t, c.recv(), "the previous stream ends without an answer")
		<-c.done
	})
}

func TestResumeOutcomes(t *testing.T) {
	tests := []struct {
		name string
		lose func(*harness) request.AttemptID // returns an attempt whose stream is lost
		want request.Outcome
	}{
		{"unknown attempt", func(*harness) request.AttemptID { return "never seen" }, request.OutcomeUnknown},
		{"queued", func(h *harness) request.AttemptID {
			for range 3 {
				h.offer(nil).run()
			}
			return h.offer(nil).id
		}, request.OutcomeNotRun},
		{"granted", func(h *harness) request.AttemptID { return h.offer(nil).id }, request.OutcomeNotRun},
		{"grant expired", func(h *harness) request.AttemptID {
			c := h.offer(nil)
			time.Sleep(time.Minute)
			return c.id
		}, request.OutcomeNotRun},
		{"retention time has passed", func(h *harness) request.AttemptID {
			c := h.offer(nil).run()
			_ = c.stream.Close()
			time.Sleep(time.Minute)
			return c.id
		}, request.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, nil)
				defer h.stop()
				id := tt.lose(h)
				synctest.Wait()
				fail := expect[*wire.Fail](h.resume(id, 0))
				require.Equal(t, tt.want, fail.Outcome)
				time.Sleep(10 * time.Minute)
				if tt.want == request.OutcomeNotRun {
					require.Zero(t, h.target.callsOf(id))
				}
			})
		})
	}
}

func TestAnswerBufferIsBoundedForSlowRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const window = 64 << 10
		h := newHarness(t, func(c *Config) { c.Limits.WindowBytes = window })
		defer h.stop()
		piece := strings.Repeat("x", 1<<10)
		h.target.script = func(engine.Call) ([]step, error) {
			steps := make([]step, 10<<10)
			for i := range steps {
				steps[i].data = piece
			}
			return steps, nil
		}
		c := h.offer(nil).run()
		synctest.Wait()
		at, _ := h.attempts.find(c.id)
		require.LessOrEqual(t, at.buffer.size(), window+window/4)
		require.Len(t, c.completeAnswer(), 10<<20)
	})
}

func TestOrphanIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		defer h.stop()
		long := []step{{data: "a"}, {after: time.Hour, data: "b"}}
		h.target.script = func(engine.Call) ([]step, error) { return long, nil }
		c := h.offer(nil).run()
		_ = c.stream.Close()
		withClaim := h.offer(func(o *wire.Offer) { o.Claim = []byte("k") }).run()
		_ = withClaim.stream.Close()
		time.Sleep(20 * time.Second)
		require.Equal(t, 1, h.target.openAnswers(), "an attempt with a claim continues")
		require.Equal(t, 1, h.counter(h.metrics.outcomes, "unknown", string(request.ReasonConnectionLost)))
	})
}
