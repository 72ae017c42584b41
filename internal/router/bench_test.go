package router

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// BenchmarkRequest measures the router's part of one request, with an agent in
// memory that grants at once.
func BenchmarkRequest(b *testing.B) {
	benchmarks := []struct {
		name   string
		script script
	}{
		{"answered", grantThen(answers("application/json", wholeCompletion)...)},
		{"refused by an agent", sends(refusal(request.ReasonQueueFull))},
	}
	for _, bm := range benchmarks {
		b.Run(bm.name, func(b *testing.B) {
			r := newBenchRouter(b, bm.script)
			b.ReportAllocs()
			for b.Loop() {
				r.ServeHTTP(httptest.NewRecorder(), post(pathCompletions, chatBody))
			}
		})
	}
	b.Run("refused by the router", func(b *testing.B) {
		r := newBenchRouter(b, nil)
		b.ReportAllocs()
		for b.Loop() {
			r.ServeHTTP(httptest.NewRecorder(), post(pathCompletions, chatBody, "Authorization: Bearer x"))
		}
	})
}

// BenchmarkOfferBytes measures the bytes of an offer that another agent won, as
// one across regions costs: the offer, its place in the queue, its withdrawal and
// the answer to that.
func BenchmarkOfferBytes(b *testing.B) {
	f := newFixture(b, nil, benchAgents()...)
	l := newBinding(newExecution(f.router, f.callOf(chatBody), nil)).ask(b.Context(), benchAgents()[1], false)
	l.cancel()
	messages := []wire.Message{
		l.first,
		&wire.Queued{Attempt: l.attempt, Ahead: 100},
		&wire.Withdraw{Attempt: l.attempt},
		&wire.Refuse{Attempt: l.attempt, Reason: request.ReasonWithdrawn},
	}
	var frames []byte
	for b.Loop() {
		frames = frames[:0]
		for _, m := range messages {
			var err error
			if frames, err = wire.Append(frames, m); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(len(frames)), "bytes/offer")
}

// newBenchRouter returns a router with the agents of benchAgents that
// follow s.
func newBenchRouter(b *testing.B, s script) *Router {
	b.Helper()
	f := newFixture(b, nil, benchAgents()...)
	r, err := New(Config{Store: f.store, Opener: silentFleet(s), Site: f.router.cfg.Site})
	if err != nil {
		b.Fatal(err)
	}
	return r
}

// silentFleet is an Opener whose agents follow one script and note nothing.
type silentFleet script

func (s silentFleet) Open(context.Context, string) (transport.Stream, error) {
	mine, theirs := transport.Pipe()
	go func() {
		ctx := context.Background()
		if first, err := theirs.Recv(ctx); err == nil {
			s(ctx, theirs, first)
		}
	}()
	return mine, nil
}

func (silentFleet) Forget(string) {}

// benchAgents returns as many model agents as the larger deployment has.
func benchAgents() []target.VM {
	var vms []target.VM
	for i := range 20 {
		region := []string{"north", "south", "west"}[i%3]
		vms = append(vms, agent(fmt.Sprintf("a%d", i), region, region+"-a"))
	}
	return vms
}
