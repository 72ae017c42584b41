package agent

import (
	"context"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/engine"
	"github.com/mastichollow/mastichollow/internal/fleet"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// tokens is the length of the benchmark's answers.
const tokens = 200

// newBenchAgent returns an agent whose target answers without delay.
func newBenchAgent(b *testing.B) *Agent {
	t := newFakeTarget()
	t.script = func(engine.Call) ([]step, error) {
		steps := make([]step, tokens)
		for i := range steps {
			steps[i].data = "token "
		}
		return steps, nil
	}
	store := fleet.NewStore()
	store.ApplyTable(testTable(1))
	a, err := New(Config{
		ID: "agent-1", Domain: "a", Pool: testPool, Kind: target.KindModel, Slots: 8,
		Store: store, Target: t,
	})
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = a.Run(ctx)
	}()
	b.Cleanup(func() { cancel(); <-ended })
	for a.Ready() != nil {
		runtime.Gosched()
	}
	return a
}

// exchange serves one offer of ws and reads its messages to the last.
func exchange(b *testing.B, a *Agent, ws wire.Offer) wire.Message {
	here, there := transport.Pipe()
	ws.Request, ws.Attempt = request.NewID(), request.NewAttemptID()
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.ServeStream(context.Background(), transport.Peer{}, &ws, there)
	}()
	for {
		m, err := here.Recv(context.Background())
		require.NoError(b, err)
		switch m.(type) {
		case *wire.Grant:
			require.NoError(b, here.Send(context.Background(), &wire.Run{Attempt: ws.Attempt}))
		case *wire.Refuse, *wire.Fail, *wire.End:
			_ = here.CloseSend()
			<-done
			return m
		}
	}
}

// BenchmarkRequest serves whole answers of 200 frames, one after the other.
func BenchmarkRequest(b *testing.B) {
	a := newBenchAgent(b)
	b.ReportAllocs()
	for b.Loop() {
		require.IsType(b, &wire.End{}, exchange(b, a, wire.Offer{Workspace: 1, Pool: testPool}))
	}
}

// BenchmarkRefusal refuses offers of a workspace that may not use the pool.
func BenchmarkRefusal(b *testing.B) {
	a := newBenchAgent(b)
	b.ReportAllocs()
	for b.Loop() {
		require.IsType(b, &wire.Refuse{}, exchange(b, a, wire.Offer{Workspace: 4, Pool: testPool}))
	}
}
