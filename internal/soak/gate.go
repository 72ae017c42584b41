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
	// grace is the time between SIGTERM and SIGKILL; it is half of the
	// platform's (8 s) so that more of them fit into a run.
	grace = 4 * time.Second
	// stopMargin is how much longer than grace a process may take before the
	// soak calls it late; the machine is shared with other runs.
	stopMargin = time.Second
	// settleTime is how long after a pause a gate counts as in trouble: what
	// arrived meanwhile is worked off.
	settleTime = time.Second
	readyPoll  = 50 * time.Millisecond
)

// Gate is a gate that runs as a process of its own, one after the other.
type Gate struct {
	index   int
	machine standin.VM
	admin   string // address of its metrics
	program string
	dir     string // for settings and logs
	history *History
	report  func(Violation)

	// Callers links callers to the gate, Store the gate to the store.
	Callers, Store *Link

	turn sync.Mutex // held from an intended end to the next start
	mu   sync.Mutex
	now  *process // the current or last process
	back func()   // ends the trouble "not up"
}

// process is one start of a gate.
type process struct {
	cmd      *exec.Cmd
	done     chan struct{} // closed at its end
	intended bool          // the soak ends it
	paused   int           // nested pauses
	late     bool          // was paused while it stopped
}

// newGate prepares a gate with its links; store is the store's address.
func newGate(index int, program, dir, store string, history *History, report func(Violation)) (*Gate, error) {
	g := &Gate{index: index, program: program, dir: dir, history: history, report: report, back: func() {}}
	var err error
	if g.Store, err = NewLink(store); err != nil {
		return nil, err
	}
	var addrs [4]string // for callers, the balancer, metrics and peers
	for i := range addrs {
		if addrs[i], err = socket.FreeAddr(); err != nil {
			return nil, errors.CombineErrors(err, g.Store.Close())
		}
	}
	if g.Callers, err = NewLink(addrs[0]); err != nil {
		return nil, errors.CombineErrors(err, g.Store.Close())
	}
	g.admin = addrs[2]
	g.machine = standin.VM{
		Node: "gate-" + strconv.Itoa(index), Domain: domains[index%len(domains)], CallerAddr: addrs[0], ReadyAddr: addrs[1],
		PeerAddr: addrs[3], StoreAddr: g.Store.Addr(),
		GracePeriod: grace, MaxRevocationDelay: revokedWithin, MaxChangeDelay: changedWithin,
	}
	return g, nil
}

// Close ends the gate at once and its links.
func (g *Gate) Close() {
	g.mu.Lock()
	p := g.now
	if p != nil {
		p.intended = true
		_ = p.cmd.Process.Kill() // a process that has ended
	}
	g.mu.Unlock()
	if p != nil {
		<-p.done
	}
	_ = errors.CombineErrors(g.Callers.Close(), g.Store.Close())
}

// Start starts a process. The trouble "not up" lasts until the gate is ready.
func (g *Gate) Start(ctx context.Context) error {
	settings := filepath.Join(g.dir, g.machine.Node+".toml")
	if err := os.WriteFile(settings, g.machine.Settings(), 0o600); err != nil {
		return errors.Wrap(err, "writing settings")
	}
	log, err := os.OpenFile(g.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "opening a log")
	}
	_, metrics, err := net.SplitHostPort(g.admin)
	if err != nil {
		return errors.CombineErrors(err, log.Close())
	}
	p := &process{cmd: exec.Command(g.program, "--boot", settings, "--metrics-port", metrics), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "starting a gate"), log.Close())
	}
	g.mu.Lock()
	g.now = p
	g.mu.Unlock()
	go g.wait(p, log)
	go g.waitReady(ctx, p)
	return nil
}

func (g *Gate) logFile() string { return filepath.Join(g.dir, g.machine.Node+".log") }

// wait reports a process that ends by itself.
func (g *Gate) wait(p *process, log *os.File) {
	err := p.cmd.Wait()
	g.mu.Lock()
	intended := p.intended
	g.mu.Unlock()
	if !intended {
		g.notUp()
		g.report(Violation{Rule: "ended by itself", What: errors.Wrapf(err, "%s", g.machine.Node).Error()})
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
		case <-time.After(readyPoll):
		}
		if standin.IsReady(g.machine.ReadyAddr) {
			g.mu.Lock()
			g.back()
			g.mu.Unlock()
			return
		}
	}
}

// notUp begins the trouble "not up" unless it lasts already.
func (g *Gate) notUp() {
	begun := g.history.Begin(Subject{PartGate, g.index})
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.back
	g.back = func() { before(); begun() }
}

// signal sends a signal to the current process; one that has ended needs none.
func (g *Gate) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.now.cmd.Process.Signal(s)
}

// Reload sends SIGHUP.
func (g *Gate) Reload() { g.signal(syscall.SIGHUP) }

// Pause stops the process without its knowledge for d.
func (g *Gate) Pause(ctx context.Context, d time.Duration) {
	over := g.history.Begin(Subject{PartGate, g.index})
	g.mu.Lock()
	p := g.now
	p.paused++
	p.late = true
	_ = p.cmd.Process.Signal(syscall.SIGSTOP) // one that has ended needs none
	g.mu.Unlock()
	clock.Sleep(ctx, d)
	g.mu.Lock()
	if p.paused--; p.paused == 0 {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}
	g.mu.Unlock()
	clock.Sleep(ctx, settleTime)
	over()
}

// Kill ends the process at once and starts the next one after down.
func (g *Gate) Kill(ctx context.Context, down time.Duration) error {
	if !g.turn.TryLock() {
		return nil // it is ending or not up
	}
	defer g.turn.Unlock()
	g.notUp()
	p := g.intend()
	_ = p.cmd.Process.Kill() // one that has ended needs none
	<-p.done
	clock.Sleep(ctx, down)
	return g.Start(ctx)
}

// Stop asks the process to end, as planned work does, and starts the next one
// after down. A process that is ending already is asked once more.
func (g *Gate) Stop(ctx context.Context, down time.Duration) error {
	if !g.turn.TryLock() {
		g.signal(syscall.SIGTERM)
		return nil
	}
	defer g.turn.Unlock()
	g.end()
	g.notUp()
	clock.Sleep(ctx, down)
	return g.Start(ctx)
}

// end asks the process to end and reports one that does not in time.
func (g *Gate) end() {
	over := g.history.Begin(Subject{PartStop, g.index})
	defer over()
	p := g.intend()
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // one that has ended needs none
	select {
	case <-p.done:
	case <-time.After(grace + stopMargin):
		g.mu.Lock()
		late := p.late
		g.mu.Unlock()
		if !late {
			g.report(Violation{Rule: "slow stop", What: g.machine.Node + " still runs after the grace period"})
		}
		broken := g.history.Begin(Subject{PartGate, g.index})
		p.kill()
		broken()
	}
	if state := p.cmd.ProcessState; state.Exited() && !state.Success() {
		g.report(Violation{Rule: "ended badly", What: g.machine.Node + ": " + state.String()})
	}
}

// kill ends a process that does not end by itself. SIGQUIT makes it write into its
// log what its goroutines wait for.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGQUIT)
	select {
	case <-p.done:
	case <-time.After(stopMargin):
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// intend notes that the soak ends the current process.
func (g *Gate) intend() *process {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now.intended = true
	return g.now
}
