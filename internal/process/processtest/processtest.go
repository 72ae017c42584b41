// Package processtest starts programs as processes of their own in tests, and
// kills, freezes and stops them.
package processtest

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/socket"
)

// Times of waits.
const (
	// Patience bounds every wait; it is reached only when a test fails.
	Patience = 60 * time.Second
	pollStep = 20 * time.Millisecond
)

// programs is the folder of the programs under test.
var programs string

// Main builds the programs of the given packages and runs the tests of m. It is
// the body of a TestMain.
func Main(m *testing.M, packages ...string) int {
	dir, err := os.MkdirTemp("", "mastichollow-test")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", append([]string{"build", "-o", dir}, packages...)...)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	programs = dir
	return m.Run()
}

// Path returns the path of a program that Main built.
func Path(program string) string { return filepath.Join(programs, program) }

// Process is a program under test.
type Process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

// Start starts a program and stops it when the test ends.
func Start(t *testing.T, program, name string, env []string, args ...string) *Process {
	t.Helper()
	p := &Process{t: t, name: name, log: filepath.Join(t.TempDir(), name+".log"), done: make(chan struct{})}
	log, err := os.Create(p.log)
	require.NoError(t, err)
	p.cmd = exec.Command(Path(program), args...)
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

func (p *Process) cleanup() {
	p.Signal(syscall.SIGCONT)
	p.Kill()
	if p.t.Failed() {
		data, _ := os.ReadFile(p.log)
		p.t.Logf("log of %s:\n%s", p.name, data)
	}
}

// Signal sends s to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Freeze stops the process without its knowledge until Thaw.
func (p *Process) Freeze() { p.Signal(syscall.SIGSTOP) }

// Thaw ends Freeze.
func (p *Process) Thaw() { p.Signal(syscall.SIGCONT) }

// Stop asks for a graceful shutdown.
func (p *Process) Stop() { p.Signal(syscall.SIGTERM) }

// WaitStopped waits until the process has ended by itself.
func (p *Process) WaitStopped() {
	p.t.Helper()
	select {
	case <-p.done:
		require.True(p.t, p.cmd.ProcessState.Success(), "%s ended with %s", p.name, p.cmd.ProcessState)
	case <-time.After(Patience):
		require.Fail(p.t, "process does not stop", p.name)
	}
}

// Eventually waits until f holds.
func Eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	require.Eventually(t, f, Patience, pollStep, what)
}

// WaitReady waits until the admin listener says that the process is ready.
func WaitReady(t *testing.T, admin string) {
	t.Helper()
	Eventually(t, admin+" is ready", func() bool { return ReadyStatus(admin) == http.StatusOK })
}

// ReadyStatus returns the status of /readyz, 0 when it is not reached.
func ReadyStatus(admin string) int {
	resp, err := http.Get("http://" + admin + "/readyz")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// FreeAddr returns an address on loopback that nothing listens on, by TCP or
// UDP. Each is returned once.
func FreeAddr(t *testing.T) string {
	t.Helper()
	addr, err := socket.FreeAddr()
	require.NoError(t, err)
	return addr
}
