package main

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"

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
	pid int
}

// startGateProcess starts a gate and waits until it is ready.
func startGateProcess(t *testing.T, store *platformtest.Store, vm standin.VM) *gateProcess {
	t.Helper()
	vm.CallerAddr, vm.ReadyAddr, vm.PeerAddr = processtest.FreeAddr(t), processtest.FreeAddr(t), processtest.FreeAddr(t)
	metrics := netip.MustParseAddrPort(processtest.FreeAddr(t))
	boot := platformtest.WriteSettings(t, store, vm)
	p := processtest.Start(t, "mastichollow-gate", "gate", nil, "--boot", boot, "--metrics-port", strconv.Itoa(int(metrics.Port())))
	g := &gateProcess{Process: p, VM: vm, pid: p.PID()}
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

// serveTCP accepts connections until the test ends and returns the address.
func serveTCP(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}
