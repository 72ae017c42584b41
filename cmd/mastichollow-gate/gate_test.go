package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/process/processtest"
	"github.com/mastichollow/mastichollow/platform/platformtest"
	"github.com/mastichollow/mastichollow/platform/standin"
)

// waitTimeout bounds the waits of these tests; it is reached only when a test fails.
const waitTimeout = 15 * time.Second

// runningGate is a gate that runs in the test process.
type runningGate struct {
	standin.VM
	stop func()
}

func (g *runningGate) isReady() bool { return standin.IsReady(g.ReadyAddr) }

func startGate(t *testing.T, store *platformtest.Store) *runningGate {
	t.Helper()
	g := &runningGate{VM: standin.VM{
		CallerAddr: processtest.FreeAddr(t), ReadyAddr: processtest.FreeAddr(t), PeerAddr: processtest.FreeAddr(t),
	}}
	metrics := netip.MustParseAddrPort(processtest.FreeAddr(t))
	f := &flags{Boot: platformtest.WriteSettings(t, store, g.VM), MetricsPort: int(metrics.Port()), LogLevel: "error", LearnedSpeeds: true}
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	done := make(chan error, 1)
	go func() { done <- start(ctx, f) }()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-done:
			require.NoError(t, err)
		case <-time.After(waitTimeout):
			t.Error("the gate does not stop")
		}
	})
	return g
}

func TestGateBecomesReadyFromStoreAlone(t *testing.T) {
	release := make(chan struct{})
	close(release)
	store := platformtest.NewStore(t)
	g := startGate(t, store)
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp4", g.CallerAddr)
		if err == nil {
			c.Close()
		}
		return err == nil
	}, waitTimeout, 5*time.Millisecond)
	require.False(t, g.isReady(), "must not be ready without a table and targets")
	resp := platformtest.SendRequest(t, g.CallerAddr)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "not 404 or 401")
	resp.Body.Close()

	platformtest.PutStreamingRoute(t, store, platformtest.StartStreamTarget(t, release))
	require.Eventually(t, g.isReady, waitTimeout, 5*time.Millisecond)
	resp = platformtest.SendRequest(t, g.CallerAddr)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, platformtest.FirstEvent+platformtest.SecondEvent, string(body))
}

func TestShutdownCompletesOpenStream(t *testing.T) {
	release := make(chan struct{})
	store := platformtest.NewStore(t)
	platformtest.PutStreamingRoute(t, store, platformtest.StartStreamTarget(t, release))
	g := startGate(t, store)
	require.Eventually(t, g.isReady, waitTimeout, 5*time.Millisecond)
	resp := platformtest.SendRequest(t, g.CallerAddr)
	defer resp.Body.Close()
	first := make([]byte, len(platformtest.FirstEvent))
	_, err := io.ReadFull(resp.Body, first)
	require.NoError(t, err)

	g.stop()
	require.Eventually(t, func() bool { return !g.isReady() }, waitTimeout, 5*time.Millisecond)
	close(release)
	rest, err := io.ReadAll(resp.Body)
	require.NoError(t, err, "the stream must not be truncated")
	require.Equal(t, platformtest.SecondEvent, string(rest))
}

func TestInvalidSettingsReported(t *testing.T) {
	file := filepath.Join(t.TempDir(), "local.toml")
	require.NoError(t, os.WriteFile(file, []byte(`zone = "a"`), 0o600))
	err := start(context.Background(), &flags{Boot: file})
	require.ErrorContains(t, err, "node_name")
	require.ErrorContains(t, err, "platform.address")
	require.Error(t, (&flags{MetricsPort: 70000}).validate())
}
