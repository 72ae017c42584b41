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

// eventually bounds the waits of these tests; they end as soon as they can.
const eventually = 15 * time.Second

// running is a gate with a store and one target.
type running struct {
	standin.VM
	stop func()
}

func (g *running) isReady() bool { return standin.IsReady(g.ReadyAddr) }

func run(t *testing.T, store *platformtest.Store) *running {
	t.Helper()
	g := &running{VM: standin.VM{
		CallerAddr: processtest.FreeAddr(t), ReadyAddr: processtest.FreeAddr(t), PeerAddr: processtest.FreeAddr(t),
	}}
	metrics := netip.MustParseAddrPort(processtest.FreeAddr(t))
	f := &flags{Boot: platformtest.WriteSettings(t, store, g.VM), MetricsPort: int(metrics.Port()), LogLevel: "error"}
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	done := make(chan error, 1)
	go func() { done <- start(ctx, f) }()
	t.Cleanup(func() {
		cancel()
		select {
		case err := <-done:
			require.NoError(t, err)
		case <-time.After(eventually):
			t.Error("the gate does not end")
		}
	})
	return g
}

func TestGateServesFromTheStoreAlone(t *testing.T) {
	open := make(chan struct{})
	close(open)
	store := platformtest.NewStore(t)
	g := run(t, store)
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp4", g.CallerAddr)
		if err == nil {
			c.Close()
		}
		return err == nil
	}, eventually, 5*time.Millisecond)
	require.False(t, g.isReady(), "it knows neither table nor targets")
	resp := platformtest.SendRequest(t, g.CallerAddr)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "not 404 or 401")
	resp.Body.Close()

	platformtest.PutStreamingRoute(t, store, platformtest.StartStreamTarget(t, open))
	require.Eventually(t, g.isReady, eventually, 5*time.Millisecond)
	resp = platformtest.SendRequest(t, g.CallerAddr)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, platformtest.FirstEvent+platformtest.SecondEvent, string(body))
}

func TestGateStopsWithoutCuttingAStream(t *testing.T) {
	next := make(chan struct{})
	store := platformtest.NewStore(t)
	platformtest.PutStreamingRoute(t, store, platformtest.StartStreamTarget(t, next))
	g := run(t, store)
	require.Eventually(t, g.isReady, eventually, 5*time.Millisecond)
	resp := platformtest.SendRequest(t, g.CallerAddr)
	defer resp.Body.Close()
	first := make([]byte, len(platformtest.FirstEvent))
	_, err := io.ReadFull(resp.Body, first)
	require.NoError(t, err)

	g.stop()
	require.Eventually(t, func() bool { return !g.isReady() }, eventually, 5*time.Millisecond)
	close(next)
	rest, err := io.ReadAll(resp.Body)
	require.NoError(t, err, "the stream is not cut")
	require.Equal(t, platformtest.SecondEvent, string(rest))
}

func TestFaultySettingsAreNamed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "local.toml")
	require.NoError(t, os.WriteFile(file, []byte(`zone = "a"`), 0o600))
	err := start(context.Background(), &flags{Boot: file})
	require.ErrorContains(t, err, "node_name")
	require.ErrorContains(t, err, "platform.address")
	require.Error(t, (&flags{MetricsPort: 70000}).validate())
}
