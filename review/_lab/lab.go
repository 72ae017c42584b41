package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/socket"
	"github.com/mastichollow/mastichollow/platform/standin"
)

const (
	gracePeriod  = 8 * time.Second
	revokeDelay  = 5 * time.Second
	changeDelay  = 2500 * time.Millisecond
	readyTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// lab holds what a case started, and its record.
type lab struct {
	trouble bool
	program string
	dir     string
	started time.Time

	mu      sync.Mutex
	record  *os.File
	onClose []func()
	closed  bool
}

func newLab(recordPath string) (*lab, error) {
	program := os.Getenv("GATE")
	if program == "" {
		return nil, fmt.Errorf("GATE is not set")
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-lab")
	if err != nil {
		return nil, err
	}
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", program: program, dir: dir, started: time.Now(), record: record}
	l.note("disruption: %t", l.trouble)
	return l, nil
}

// note writes a line with the time since the start to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f "+format+"\n", append([]any{time.Since(l.started).Seconds()}, args...)...)
}

// atClose registers what close has to end, the latest first.
func (l *lab) atClose(end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onClose = append(l.onClose, end)
}

func (l *lab) close() {
	l.mu.Lock()
	ends := l.onClose
	closed := l.closed
	l.closed = true
	l.mu.Unlock()
	if closed {
		return
	}
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
	_ = os.RemoveAll(l.dir)
	_ = l.record.Close()
}

func (l *lab) newStore() (*standin.Store, error) {
	store, err := standin.ListenStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.atClose(store.Close)
	return store, nil
}

// gate runs a gate as a process, restarted by start.
type gate struct {
	lab   *lab
	vm    standin.VM
	admin string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// newGate prepares a gate. Its addresses are those of vm that are set, and free ones.
func (l *lab) newGate(vm standin.VM) (*gate, error) {
	g := &gate{lab: l, vm: vm}
	for _, addr := range []*string{&g.vm.CallerAddr, &g.vm.ReadyAddr, &g.vm.PeerAddr, &g.admin} {
		var err error
		if *addr, err = socket.FreeAddr(); err != nil {
			return nil, err
		}
	}
	g.vm.GracePeriod, g.vm.MaxRevocationDelay, g.vm.MaxChangeDelay = gracePeriod, revokeDelay, changeDelay
	l.atClose(g.kill)
	return g, nil
}

// start starts the process with the command of the deploy file.
func (g *gate) start() error {
	settings := filepath.Join(g.lab.dir, g.vm.Node+".toml")
	if err := os.WriteFile(settings, g.vm.Settings(), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.lab.dir, g.vm.Node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	_, port, err := net.SplitHostPort(g.admin)
	if err != nil {
		return err
	}
	cmd := exec.Command(g.lab.program, "--metrics-port", port)
	cmd.Env = append(os.Environ(), "MASTICHOLLOW_BOOT="+settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	g.mu.Lock()
	g.cmd, g.done = cmd, done
	g.mu.Unlock()
	return nil
}

func (g *gate) pid() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cmd.Process.Pid
}

// ended reports whether the process has ended.
func (g *gate) ended() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// kill ends the process and waits for it.
func (g *gate) kill() {
	g.mu.Lock()
	cmd, done := g.cmd, g.done
	g.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// awaitReady waits until the gate is ready.
func (g *gate) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if standin.IsReady(g.vm.ReadyAddr) {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", g.vm.Node)
}

// logLines returns what the gate has written.
func (g *gate) logLines() string {
	data, _ := os.ReadFile(filepath.Join(g.lab.dir, g.vm.Node+".log"))
	return string(data)
}
