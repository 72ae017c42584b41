package e2e

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// patience bounds every wait; it is reached only when a test fails.
	patience = 60 * time.Second
	pollStep = 20 * time.Millisecond
)

// programs is the folder of the programs under test.
var programs string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "mastichollow-e2e")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir, "../../cmd/mastichollow-router", "../../cmd/mastichollow-agent")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	programs = dir
	return m.Run()
}

// process is a program under test.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

// start starts a program and stops it when the test ends.
func start(t *testing.T, program, name string, env []string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, log: filepath.Join(t.TempDir(), name+".log"), done: make(chan struct{})}
	log, err := os.Create(p.log)
	require.NoError(t, err)
	p.cmd = exec.Command(filepath.Join(programs, program), args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	require.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	t.Cleanup(p.cleanup)
	return p
}

func (p *process) cleanup() {
	p.signal(syscall.SIGCONT)
	p.kill()
	if p.t.Failed() {
		data, _ := os.ReadFile(p.log)
		p.t.Logf("log of %s:\n%s", p.name, data)
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// freeze stops the process without its knowledge until thaw.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

func (p *process) thaw() { p.signal(syscall.SIGCONT) }

// stop asks for a graceful shutdown.
func (p *process) stop() { p.signal(syscall.SIGTERM) }

// waitStopped waits until the process has ended by itself.
func (p *process) waitStopped() {
	p.t.Helper()
	select {
	case <-p.done:
		require.True(p.t, p.cmd.ProcessState.Success(), "%s ended with %s", p.name, p.cmd.ProcessState)
	case <-time.After(patience):
		require.Fail(p.t, "process does not stop", p.name)
	}
}

// eventually waits until f holds.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	require.Eventually(t, f, patience, pollStep, what)
}

// waitReady waits until the admin listener says that the process is ready.
func waitReady(t *testing.T, admin string) {
	t.Helper()
	eventually(t, admin+" is ready", func() bool { return readyStatus(admin) == http.StatusOK })
}

func readyStatus(admin string) int {
	resp, err := http.Get("http://" + admin + "/readyz")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// metricsOf returns what the admin listener serves to Prometheus.
func metricsOf(t *testing.T, admin string) string {
	t.Helper()
	r := me.Send(t.Context(), http.MethodGet, "http://"+admin+"/metrics", "", "")
	require.Equal(t, http.StatusOK, r.Status, r)
	return r.Text
}

// Ports of the programs lie below those that the kernel gives to clients, so
// that none is taken between the choice and the program's start.
const (
	firstPort = 15000
	lastPort  = 25000
)

var nextPort atomic.Int32

// freeAddr returns an address on loopback that nothing listens on, by TCP or
// UDP. Each is returned once.
func freeAddr(t *testing.T) string {
	t.Helper()
	for {
		port := firstPort + int(nextPort.Add(1))
		require.Less(t, port, lastPort, "no port is left")
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		c, err := net.ListenPacket("udp", addr)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = c.Close()
		return addr
	}
}
