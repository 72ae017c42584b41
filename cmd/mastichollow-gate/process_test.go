package main

import (
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/process/processtest"
	"github.com/mastichollow/mastichollow/platform/platformtest"
	"github.com/mastichollow/mastichollow/platform/standin"
)

func TestMain(m *testing.M) {
	os.Exit(processtest.Main(m, "github.com/mastichollow/mastichollow/cmd/mastichollow-gate"))
}

// gateProcess is a gate that runs as a process of its own.
type gateProcess struct {
	*processtest.Process
	standin.VM
	pid         int
	metricsAddr string
}

// startGateProcess starts a gate and waits until it is ready.
func startGateProcess(t *testing.T, store *platformtest.Store, vm standin.VM) *gateProcess {
	t.Helper()
	vm.CallerAddr, vm.ReadyAddr, vm.PeerAddr = processtest.FreeAddr(t), processtest.FreeAddr(t), processtest.FreeAddr(t)
	metrics := netip.MustParseAddrPort(processtest.FreeAddr(t))
	boot := platformtest.WriteSettings(t, store, vm)
	p := processtest.Start(t, "mastichollow-gate", "gate", nil, "--boot", boot, "--metrics-port", strconv.Itoa(int(metrics.Port())))
	g := &gateProcess{Process: p, VM: vm, pid: p.PID(), metricsAddr: metrics.String()}
	processtest.Eventually(t, "the gate is ready", func() bool { return standin.IsReady(vm.ReadyAddr) })
	return g
}

// peakMemory returns the most memory that the process had in use, in bytes.
func (g *gateProcess) peakMemory(t *testing.T) int64 {
	t.Helper()
	status, err := os.ReadFile("/proc/" + strconv.Itoa(g.pid) + "/status")
	require.NoError(t, err)
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "VmHWM:"); found {
			kilobytes, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			require.NoError(t, err)
			return kilobytes << 10
		}
	}
	require.Fail(t, "no peak memory")
	return 0
}

// newRequest returns a request to the gate at addr (IP:port).
func newRequest(addr, path, id string, timeout time.Duration) (*http.Request, error) {
	req, err := standin.Call{ID: id, Host: "h.example", Path: path, Key: "k", Body: []byte("note"), Timeout: timeout}.Request()
	if err == nil {
		req.URL.Host = addr
	}
	return req, err
}

// callGate sends one request and returns the body, and whether the response is complete
// with status 200.
func callGate(t *testing.T, transport *http.Transport, addr, path, id string, timeout time.Duration) (string, bool) {
	t.Helper()
	req, err := newRequest(addr, path, id, timeout)
	if err != nil {
		t.Error(err)
		return "", false
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return err.Error(), false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err == nil && resp.StatusCode == http.StatusOK
}
