package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/process"
	"github.com/mastichollow/mastichollow/internal/standin"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

const (
	testPool = "letters"
	testKey  = "key-of-letters"
	anyAddr  = "127.0.0.1:0"
	tick     = 20 * time.Millisecond // between two looks at a condition
	limit    = 30 * time.Second      // after which a test gives up
)

// runUntilCleanup runs f until the test ends.
func runUntilCleanup(t *testing.T, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// newPlatform runs a platform whose table has one workspace and whose VM list
// has one agent at addr. It returns the platform's URL.
func newPlatform(t *testing.T, addr string) string {
	p, err := standin.NewPlatform(anyAddr)
	require.NoError(t, err)
	hash := sha256.Sum256([]byte(testKey))
	table := workspace.Table{NextID: 2, Rows: []workspace.Row{{
		ID: 1, Name: "family", KeyHashes: []string{hex.EncodeToString(hash[:])}, Weight: 1, QueueLimit: 10, Pools: []string{testPool},
	}}}
	value, err := table.Encode()
	require.NoError(t, err)
	_, err = p.Table.Commit(context.Background(), platform.Write{Key: platform.KeyTable, Value: value})
	require.NoError(t, err)
	p.VMs.Set([]target.VM{{
		ID: "agent-1", Addr: addr, Role: target.RoleAgent, Region: "r1", Domain: "d1",
		Pool: testPool, Kind: target.KindModel, State: target.StateLive,
	}})
	host := p.Host()
	runUntilCleanup(t, host.Run)
	return host.URL()
}

// slowAgent runs an agent that sends the first half of an answer, and the rest
// once the test says so.
type slowAgent struct {
	addr    string
	begun   chan struct{}
	proceed chan struct{}
}

func newSlowAgent(t *testing.T, keys *transport.Keys) *slowAgent {
	endpoint, err := transport.NewEndpoint(transport.EndpointConfig{
		Addr: anyAddr, Keys: keys, Self: transport.Peer{Member: "agent-1", Domain: "d1", Region: "r1"},
	})
	require.NoError(t, err)
	a := &slowAgent{addr: endpoint.Addr(), begun: make(chan struct{}), proceed: make(chan struct{})}
	runUntilCleanup(t, func(ctx context.Context) error {
		return endpoint.Run(ctx, transport.Mux{Request: transport.HandlerFunc(a.serve)})
	})
	t.Cleanup(func() { _ = endpoint.Close() })
	return a
}

func (a *slowAgent) serve(ctx context.Context, _ transport.Peer, first wire.Message, s transport.Stream) {
	id := first.(*wire.Offer).Attempt
	_ = s.Send(ctx, &wire.Grant{Attempt: id, Hold: time.Second})
	if _, err := s.Recv(ctx); err != nil {
		return
	}
	_ = s.Send(ctx, &wire.Head{Attempt: id, Status: http.StatusOK})
	_ = s.Send(ctx, &wire.Chunk{Attempt: id, Data: []byte("first ")})
	close(a.begun)
	<-a.proceed
	_ = s.Send(ctx, &wire.Chunk{Attempt: id, Offset: 6, Data: []byte("second")})
	_ = s.Send(ctx, &wire.End{Attempt: id, Total: 12})
	_, _ = s.Recv(ctx)
}

func newSettings(platformURL, key string) *settings {
	return &settings{
		ID: "router-1", Domain: "d1", Region: "r1",
		Listen: anyAddr, FleetListen: anyAddr, Admin: anyAddr, FleetKey: key,
		TableURL: platformURL, VMsURL: platformURL, PlatformTimeout: time.Second,
		Deadline: time.Minute, MaxDeadline: time.Hour, BodyLimit: 1 << 20, HeaderLimit: 1 << 14, PromptLimit: 1 << 20, BodiesLimit: 4 << 20,
		SpillAfter: time.Second, MaxRetries: 3, RetryRatio: 0.1, DrainDelay: tick,
	}
}

// TestStopCutsNoRequest stops the router while an answer is on its way: readiness
// fails, new connections are refused, and the caller still gets the whole
// answer. Then the program ends without an error.
func TestStopCutsNoRequest(t *testing.T) {
	key := transport.NewKey()
	keys, err := transport.ParseKeys(key)
	require.NoError(t, err)
	agent := newSlowAgent(t, keys)
	s := newSettings(newPlatform(t, agent.addr), key)
	require.NoError(t, s.validate())
	p, err := build(s, hclog.NewNullLogger(), process.NewRegistry())
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.run(ctx) }()
	ready := "http://" + p.admin.Addr() + "/readyz"
	require.Eventually(t, func() bool { return status(ready) == http.StatusOK }, limit, tick)

	url := "http://" + p.listener.Addr().String() + "/v1/chat/completions"
	answer := make(chan string, 1)
	go func() { answer <- ask(url) }()
	<-agent.begun
	stop()
	require.Eventually(t, func() bool { return status(ready) == http.StatusServiceUnavailable }, limit, tick)
	require.Eventually(t, func() bool { return status(url) == 0 }, limit, tick, "the router still accepts connections")
	close(agent.proceed)
	require.Equal(t, "first second", <-answer)
	require.NoError(t, <-ended)
}

// status returns the status of a GET without keep-alive, or 0.
func status(url string) int {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get(url)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	return answer.StatusCode
}

// ask sends a completion, again as long as the router is not ready for it, and
// returns the answer or the error.
func ask(url string) string {
	for {
		body := strings.NewReader(`{"model":"letters","messages":[{"role":"user","content":"Dear Aino"}]}`)
		req, err := http.NewRequest(http.MethodPost, url, body)
		if err != nil {
			return err.Error()
		}
		req.Header.Set("Authorization", "Bearer "+testKey)
		answer, err := http.DefaultClient.Do(req)
		if err != nil {
			return err.Error()
		}
		text, err := io.ReadAll(answer.Body)
		answer.Body.Close()
		switch {
		case err != nil:
			return err.Error()
		case answer.StatusCode == http.StatusOK:
			return string(text)
		}
		time.Sleep(tick) // the VM list may not be known yet
	}
}

// TestSettingsNameEveryFault checks that all faults are named at once.
func TestSettingsNameEveryFault(t *testing.T) {
	s := settings{Listen: "router.example:80", FleetListen: "x", BodyLimit: -1, HeaderLimit: 1, PromptLimit: 1, Route: []string{"bad"}}
	err := s.validate()
	for _, fault := range []string{
		"--id", "--domain", "--region", `--listen: "router.example:80"`, "--fleet-listen", "--admin", "--table-url", "--vms-url",
		"--fleet-key", "--platform-timeout", "--route", "body limit", "deadline",
	} {
		require.ErrorContains(t, err, fault)
	}
}
