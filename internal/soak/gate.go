package soak

import (
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/socket"
	"github.com/mastichollow/mastichollow/platform/standin"
)

const (
	// gracePeriod is the time between SIGTERM and SIGKILL. It is half of the 8 s of
	// the platform, so that more stops fit into a run.
	gracePeriod = 4 * time.Second
	// stopMargin is how much longer than gracePeriod a process may take before it is
	// reported as late; the machine is shared with other runs.
	stopMargin = time.Second
	// settleTime is how long after a pause or a fault the subject still counts as
	// disrupted, while it processes the backlog.
	settleTime   = time.Second
	pollInterval = 50 * time.Millisecond
)

// Gate runs a gate as a sequence of processes, one at a time.
type Gate struct {
	index       int
	vm          standin.VM
	adminAddr   string // listen address for metrics
	programPath string
	dir         string // for settings and logs
	history     *History
	onViolation func(Violation)

	// CallerLink forwards from callers to the gate, StoreLink from the gate to the
	// store.
	CallerLink, StoreLink *Link

	lifecycleMu sync.Mutex // held from a requested stop or kill to the next start
	mu          sync.Mutex
	current     *process // the current or the last process
	endDown     func()   // ends the disruption that began when the gate went down
}

// process is one process of a gate.
type process struct {
	cmd          *exec.Cmd
	done         chan struct{} // closed when the process has exited
	exitExpected bool          // the soak stops or kills it
	pauseCount   int           // number of overlapping pauses
	wasPaused    bool          // was paused at least once, so a late stop is tolerated
}

// newGate prepares a gate and its links. storeAddr is the address of the store.
func newGate(index int, programPath, dir, storeAddr string, history *History, onViolation func(Violation)) (*Gate, error) {
	g := &Gate{index: index, programPath: programPath, dir: dir, history: history, onViolation: onViolation, endDown: func() {}}
	var err error
	if g.StoreLink, err = NewLink(storeAddr); err != nil {
		return nil, err
	}
	var addrs [4]string // for callers, readiness probes, metrics and peers
	for i := range addrs {
		if addrs[i], err = socket.FreeAddr(); err != nil {
			return nil, errors.CombineErrors(err, g.StoreLink.Close())
		}
	}
	if g.CallerLink, err = NewLink(addrs[0]); err != nil {
		return nil, errors.CombineErrors(err, g.StoreLink.Close())
	}
	g.adminAddr = addrs[2]
	g.vm = standin.VM{
		Node: "gate-" + strconv.Itoa(index), Domain: domains[index%len(domains)], CallerAddr: addrs[0], ReadyAddr: addrs[1],
		PeerAddr: addrs[3], StoreAddr: g.StoreLink.Addr(),
		GracePeriod: gracePeriod, MaxRevocationDelay: maxRevocationDelay, MaxChangeDelay: maxChangeDelay,
	}
	return g, nil
}

// Close kills the process and closes the links.
func (g *Gate) Close() {
	g.mu.Lock()
	p := g.current
	if p != nil {
		p.exitExpected = true
		_ = p.cmd.Process.Kill() // fails if the process has exited
	}
	g.mu.Unlock()
	if p != nil {
		<-p.done
	}
	_ = errors.CombineErrors(g.CallerLink.Close(), g.StoreLink.Close())
}

// Start starts a process. The gate counts as down until it is ready.
func (g *Gate) Start(ctx context.Context) error {
	settingsFile := filepath.Join(g.dir, g.vm.Node+".toml")
	if err := os.WriteFile(settingsFile, g.vm.Settings(), 0o600); err != nil {
		return errors.Wrap(err, "writing settings")
	}
	log, err := os.OpenFile(g.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "opening log")
	}
	_, metricsPort, err := net.SplitHostPort(g.adminAddr)
	if err != nil {
		return errors.CombineErrors(err, log.Close())
	}
	p := &process{cmd: exec.Command(g.programPath, "--boot", settingsFile, "--metrics-port", metricsPort), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "starting gate"), log.Close())
	}
	g.mu.Lock()
	g.current = p
	g.mu.Unlock()
	go g.waitExit(p, log)
	go g.waitReady(ctx, p)
	return nil
}

func (g *Gate) logFile() string { return filepath.Join(g.dir, g.vm.Node+".log") }

// waitExit waits for a process to exit and reports an unexpected exit.
func (g *Gate) waitExit(p *process, log *os.File) {
	err := p.cmd.Wait()
	g.mu.Lock()
	exitExpected := p.exitExpected
	g.mu.Unlock()
	if !exitExpected {
		g.markDown()
		g.onViolation(Violation{Rule: "ended by itself", Detail: errors.Wrapf(err, "%s", g.vm.Node).Error()})
	}
	_ = log.Close()
	close(p.done)
}

func (g *Gate) waitReady(ctx context.Context, p *process) {
	for ctx.Err() == nil {
		select {
		case <-p.done:
			return
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
		if standin.IsReady(g.vm.ReadyAddr) {
			g.mu.Lock()
			g.endDown()
			g.mu.Unlock()
			return
		}
	}
}

// markDown records that the gate is down, until it is ready again.
func (g *Gate) markDown() {
	endDisruption := g.history.BeginDisruption(Subject{PartGate, g.index})
	g.mu.Lock()
	defer g.mu.Unlock()
	previous := g.endDown
	g.endDown = func() { previous(); endDisruption() }
}

// signal sends a signal to the current process and ignores that it may have exited.
func (g *Gate) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.current.cmd.Process.Signal(s)
}

// Reload sends SIGHUP.
func (g *Gate) Reload() { g.signal(syscall.SIGHUP) }

// Pause stops the process with SIGSTOP, which it cannot observe, and continues it
// after d.
func (g *Gate) Pause(ctx context.Context, d time.Duration) {
	endDisruption := g.history.BeginDisruption(Subject{PartGate, g.index})
	g.mu.Lock()
	p := g.current
	p.pauseCount++
	p.wasPaused = true
	_ = p.cmd.Process.Signal(syscall.SIGSTOP) // fails if the process has exited
	g.mu.Unlock()
	clock.Sleep(ctx, d)
	g.mu.Lock()
	if p.pauseCount--; p.pauseCount == 0 {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}
	g.mu.Unlock()
	clock.Sleep(ctx, settleTime)
	endDisruption()
}

// Kill kills the process with SIGKILL and starts the next one after the delay down.
func (g *Gate) Kill(ctx context.Context, down time.Duration) error {
	if !g.lifecycleMu.TryLock() {
		return nil // stopping or down already
	}
	defer g.lifecycleMu.Unlock()
	g.markDown()
	p := g.expectExit()
	_ = p.cmd.Process.Kill() // fails if the process has exited
	<-p.done
	clock.Sleep(ctx, down)
	return g.Start(ctx)
}

// Stop terminates the process as a planned operation does and starts the next one
// after the delay down. A process that is already stopping gets another SIGTERM.
func (g *Gate) Stop(ctx context.Context, down time.Duration) error {
	if !g.lifecycleMu.TryLock() {
		g.signal(syscall.SIGTERM)
		return nil
	}
	defer g.lifecycleMu.Unlock()
	g.terminate()
	g.markDown()
	clock.Sleep(ctx, down)
	return g.Start(ctx)
}

// terminate sends SIGTERM and reports a process that does not exit in time or exits
// with an error.
func (g *Gate) terminate() {
	endStop := g.history.BeginDisruption(Subject{PartPlannedStop, g.index})
	defer endStop()
	p := g.expectExit()
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // fails if the process has exited
	select {
	case <-p.done:
	case <-time.After(gracePeriod + stopMargin):
		g.mu.Lock()
		wasPaused := p.wasPaused
		g.mu.Unlock()
		if !wasPaused {
			g.onViolation(Violation{Rule: "slow stop", Detail: g.vm.Node + " still runs after the grace period"})
		}
		endDisruption := g.history.BeginDisruption(Subject{PartGate, g.index})
		p.dumpAndKill()
		endDisruption()
	}
	if state := p.cmd.ProcessState; state.Exited() && !state.Success() {
		g.onViolation(Violation{Rule: "ended badly", Detail: g.vm.Node + ": " + state.String()})
	}
}

// dumpAndKill ends a process that does not exit by itself. SIGQUIT makes it write the
// stacks of its goroutines to its log.
func (p *process) dumpAndKill() {
	_ = p.cmd.Process.Signal(syscall.SIGQUIT)
	select {
	case <-p.done:
	case <-time.After(stopMargin):
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// expectExit marks the exit of the current process as expected and returns the
// process.
func (g *Gate) expectExit() *process {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.current.exitExpected = true
	return g.current
}
