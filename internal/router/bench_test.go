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

// BenchmarkRequest measures the router's work for one request. The agent is in memory
// and grants at once.
func BenchmarkRequest(b *testing.B) {
	benchmarks := []struct {
		name   string
		script agentScript
	}{
		{"answered", grantThen(completeAnswer("application/json", completionJSON)...)},
		{"refused by an agent", sendThenDrain(refusal(request.ReasonQueueFull))},
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

// BenchmarkOfferBytes measures the bytes of an offer that is withdrawn because another
// agent granted the request, as it is sent between regions: Offer, Queued, Withdraw
// and the Refuse in response.
func BenchmarkOfferBytes(b *testing.B) {
	f := newFixture(b, nil, benchAgents()...)
	l := newOfferRound(newExecution(f.router, f.callOf(chatBody), nil)).offerTo(b.Context(), benchAgents()[1], false)
	l.cancel()
	messages := []wire.Message{
		l.firstMessage,
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

// newBenchRouter returns a router whose agents, those of benchAgents, follow s.
func newBenchRouter(b *testing.B, s agentScript) *Router {
	b.Helper()
	f := newFixture(b, nil, benchAgents()...)
	r, err := New(Config{Store: f.store, Opener: scriptedOpener(s), Site: f.router.cfg.Site})
	if err != nil {
		b.Fatal(err)
	}
	return r
}

// scriptedOpener is an Opener whose agents all follow one script. It records nothing.
type scriptedOpener agentScript

func (s scriptedOpener) Open(context.Context, string) (transport.Stream, error) {
	routerSide, agentSide := transport.Pipe()
	go func() {
		ctx := context.Background()
		if first, err := agentSide.Recv(ctx); err == nil {
			s(ctx, agentSide, first)
		}
	}()
	return routerSide, nil
}

func (scriptedOpener) Forget(string) {}

// benchAgents returns as many model agents as the larger deployment has.
func benchAgents() []target.VM {
	var vms []target.VM
	for i := range 20 {
		region := []string{"north", "south", "west"}[i%3]
		vms = append(vms, agent(fmt.Sprintf("a%d", i), region, region+"-a"))
	}
	return vms
}
