package main

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/process"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/standin"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

const (
	testPool = "letters"
	anyAddr  = "127.0.0.1:0"
	// pause is the time between two offers to an agent that is not ready.
	pause = 20 * time.Millisecond
)

// serve runs a host until the test ends and returns its URL.
func serve(t *testing.T, host *standin.Host) string {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = host.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return host.URL()
}

// newPlatform runs a platform whose table has one workspace, with ID 1.
func newPlatform(t *testing.T) string {
	p, err := standin.NewPlatform(anyAddr)
	require.NoError(t, err)
	row := workspace.Row{ID: 1, Name: "family", Weight: 1, QueueLimit: 10, Pools: []string{testPool}}
	table := workspace.Table{NextID: 2, Rows: []workspace.Row{row}}
	value, err := table.Encode()
	require.NoError(t, err)
	_, err = p.Table.Commit(context.Background(), platform.Write{Key: platform.KeyTable, Value: value})
	require.NoError(t, err)
	p.VMs.Set([]target.VM{{ID: "agent-1", Role: target.RoleAgent, State: target.StateLive}})
	return serve(t, p.Host())
}

func newEngine(t *testing.T) string {
	e, err := standin.NewEngine(anyAddr, standin.ModelConfig{Slots: 2, TokenInterval: 5 * time.Millisecond})
	require.NoError(t, err)
	return serve(t, e.Host())
}

func testSettings(t *testing.T) *settings {
	platformURL := newPlatform(t)
	return &settings{
		ID: "agent-1", Domain: "a", Region: "r", Listen: anyAddr, Admin: anyAddr,
		FleetKey: transport.NewKey(), Pool: testPool, Kind: "model", Slots: 2, InteractiveSlots: -1,
		TargetURL: newEngine(t), TableURL: platformURL, VMsURL: platformURL, ObjectsURL: platformURL,
		Hold: 10 * time.Second, BeginTimeout: time.Minute, Progress: time.Minute,
		PlatformTimeout: 5 * time.Second, Keep: time.Minute, KeepBytes: 1 << 20,
	}
}

// offer offers a request until the agent is ready, and runs it.
func offer(t *testing.T, router transport.Opener, addr, body string) transport.Stream {
	ctx := context.Background()
	for {
		s, err := router.Open(ctx, addr)
		require.NoError(t, err)
		id := request.NewAttemptID()
		o := &wire.Offer{Request: request.NewID(), Attempt: id, Workspace: 1, Pool: testPool}
		require.NoError(t, s.Send(ctx, o))
		m, err := s.Recv(ctx)
		require.NoError(t, err)
		if refusal, refused := m.(*wire.Refuse); refused {
			require.Equal(t, request.ReasonNotReady, refusal.Reason, refusal.Detail)
			_ = s.CloseSend()
			time.Sleep(pause)
			continue
		}
		require.IsType(t, &wire.Grant{}, m)
		header := []wire.Field{{Name: "Content-Type", Value: "application/json"}}
		run := &wire.Run{
			Attempt: id, Method: http.MethodPost, Path: "/v1/chat/completions", Header: header, Body: []byte(body),
		}
		require.NoError(t, s.Send(ctx, run))
		return s
	}
}

func TestStopCutsNoRequest(t *testing.T) {
	s := testSettings(t)
	require.NoError(t, s.validate())
	p, err := build(s, hclog.NewNullLogger(), process.NewRegistry())
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- p.run(ctx) }()

	keys, err := transport.ParseKeys(s.FleetKey)
	require.NoError(t, err)
	router, err := transport.NewEndpoint(transport.EndpointConfig{
		Addr: anyAddr, Keys: keys, Self: transport.Peer{Member: "router-1", Domain: "a", Region: "r"},
	})
	require.NoError(t, err)
	defer func() { _ = router.Close() }()

	body := `{"model":"letters","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"hello"}]}`
	stream := offer(t, router, p.endpoint.Addr(), body)
	var received uint64
	for done := false; !done; {
		m, err := stream.Recv(context.Background())
		require.NoError(t, err)
		switch m := m.(type) {
		case *wire.Chunk:
			stop() // the first stop, and further ones while it drains
			received += uint64(len(m.Data))
		case *wire.End:
			require.Equal(t, m.Total, received)
			require.GreaterOrEqual(t, m.Service, int64(50))
			done = true
		case *wire.Fail:
			require.Failf(t, "request was cut", "%+v", m)
		}
	}
	require.NoError(t, stream.CloseSend())
	require.NoError(t, <-ended)
}

func TestSettingsNameEveryFault(t *testing.T) {
	valid := settings{
		ID: "agent-1", Domain: "a", Region: "r", Listen: anyAddr, Admin: anyAddr, FleetKey: transport.NewKey(),
		Pool: testPool, Kind: "model", Slots: 8, InteractiveSlots: -1,
		TargetURL: "http://127.0.0.1:1", TableURL: "http://127.0.0.1:1", VMsURL: "http://127.0.0.1:1", ObjectsURL: "http://127.0.0.1:1",
		Hold: 1, BeginTimeout: 1, Progress: 1, PlatformTimeout: 1, Keep: 1, KeepBytes: 1,
	}
	copied := valid
	require.NoError(t, copied.validate())
	require.Equal(t, 1, copied.InteractiveSlots)

	faulty := settings{Listen: "localhost:1", Admin: "no", TargetURL: "ftp://x", InteractiveSlots: 3}
	err := faulty.validate()
	for _, flag := range []string{
		"id", "domain", "region", "listen", "admin", "fleet-key", "pool", "kind", "slots", "interactive-slots",
		"target-url", "table-url", "vms-url", "objects-url",
		"hold", "begin-timeout", "progress", "platform-timeout", "keep", "keep-bytes",
	} {
		require.ErrorContains(t, err, "--"+flag+":")
	}
}
