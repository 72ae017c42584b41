// Package processtest starts programs as separate processes in tests, and kills, suspends
// and stops them.
package processtest

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/socket"
)

const (
	// WaitTimeout bounds every wait; it is reached only when a test fails.
	WaitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// programDir is the directory of the programs under test, set by Main.
var programDir string

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
	programDir = dir
	return m.Run()
}

// Path returns the path of a program that Main built.
func Path(program string) string { return filepath.Join(programDir, program) }

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

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends s to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill kills the process with SIGKILL and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Suspend suspends the process with SIGSTOP until Resume.
func (p *Process) Suspend() { p.Signal(syscall.SIGSTOP) }

// Resume continues a process after Suspend.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Stop requests a graceful shutdown with SIGTERM.
func (p *Process) Stop() { p.Signal(syscall.SIGTERM) }

// WaitExited waits until the process has exited, which must be with code 0.
func (p *Process) WaitExited() {
	p.t.Helper()
	select {
	case <-p.done:
		require.True(p.t, p.cmd.ProcessState.Success(), "%s ended with %s", p.name, p.cmd.ProcessState)
	case <-time.After(WaitTimeout):
		require.Fail(p.t, "process does not exit", p.name)
	}
}

// LineTime returns the time of the first log line with the message, which must exist.
func (p *Process) LineTime(message string) time.Time {
	p.t.Helper()
	data, err := os.ReadFile(p.log)
	require.NoError(p.t, err)
	for line := range strings.Lines(string(data)) {
		var fields struct {
			Message   string    `json:"@message"`
			Timestamp time.Time `json:"@timestamp"`
		}
		if json.Unmarshal([]byte(line), &fields) == nil && fields.Message == message {
			return fields.Timestamp
		}
	}
	require.Fail(p.t, "no log line", "%s: %q", p.name, message)
	return time.Time{}
}

// Eventually waits until condition is true and fails the test after WaitTimeout.
func Eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, WaitTimeout, pollInterval, description)
}

// WaitReady waits until the admin listener reports that the process is ready.
func WaitReady(t *testing.T, admin string) {
	t.Helper()
	Eventually(t, admin+" is ready", func() bool { return ReadyStatus(admin) == http.StatusOK })
}

// ReadyStatus returns the HTTP status of /readyz; 0 when the listener cannot be reached.
func ReadyStatus(admin string) int {
	resp, err := http.Get("http://" + admin + "/readyz")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// FreeAddr returns a loopback address (IP:port) on which no process listens, by TCP or UDP.
// It returns each address only once.
func FreeAddr(t *testing.T) string {
	t.Helper()
	addr, err := socket.FreeAddr()
	require.NoError(t, err)
	return addr
}
