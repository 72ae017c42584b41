package main

import (
	_ "embed"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/mastichollow/mastichollow/platform/standin"
)

//go:embed settings.toml
var settingsTemplate string

const (
	memoryLimitMB   = 134
	readyTimeout    = 10 * time.Second
	restartDelay    = 500 * time.Millisecond
	memoryCheckTime = 20 * time.Millisecond
)

// gate is a gate's machine: one process after another.
type gate struct {
	lab  *lab
	name string
	host int
	zone string

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	ended    bool
	kills    []time.Time // by the platform, for memory over the limit
	peakByte int64       // anonymous memory
}

// addGate describes a gate; start starts it.
func (l *lab) addGate(index int, zone string) *gate {
	g := &gate{lab: l, name: fmt.Sprintf("edge-%s-%d", zone, index+1), host: gateHost + index, zone: zone}
	l.mu.Lock()
	l.gates = append(l.gates, g)
	l.mu.Unlock()
	return g
}

func (g *gate) front() string { return g.lab.addr(g.host, frontPort) }
func (g *gate) ready() string { return g.lab.addr(g.host, readyPort) }

// start starts a process with the command of the deploy file.
func (g *gate) start(first bool) error {
	settings := strings.NewReplacer(
		"@NODE@", g.name, "@IP@", fmt.Sprintf("%s.%d", g.lab.subnet, g.host), "@ZONE@", g.zone, "@REGION@", strings.TrimSuffix(g.zone, "-a"),
		"@FIRST@", strconv.FormatBool(first), "@MEMORY@", strconv.Itoa(memoryLimitMB), "@STORE@", g.lab.store.Addr(),
		"@FRONT@", g.front(), "@READY@", g.ready(), "@PEER@", strconv.Itoa(g.lab.base+peerPort), "@PEERLAST@", strconv.Itoa(g.lab.base+portCount-1),
	).Replace(settingsTemplate)
	file := filepath.Join(g.lab.tmp, g.name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.lab.tmp, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(g.lab.gateRun[0], g.lab.gateRun[1:]...)
	cmd.Env = []string{"MASTICHOLLOW_BOOT=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.done = cmd, done
	g.mu.Unlock()
	g.lab.record("gate %s: process %d started", g.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		log.Close()
		close(done)
		g.mu.Lock()
		ended := g.ended
		g.mu.Unlock()
		if !ended {
			g.lab.record("gate %s: process %d ended: %v", g.name, cmd.Process.Pid, err)
		}
	}()
	return nil
}

// awaitReady waits until the readiness check passes.
func (g *gate) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if standin.IsReady(g.ready()) {
			g.lab.record("gate %s: ready", g.name)
			return nil
		}
	}
	return fmt.Errorf("gate %s does not become ready", g.name)
}

// signal sends a signal to the current process.
func (g *gate) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.cmd.Process.Signal(s)
}

// end ends the current process for good.
func (g *gate) end() {
	g.mu.Lock()
	g.ended = true
	cmd, done := g.cmd, g.done
	g.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill() // fails if it has exited
		<-done
	}
}

// superviseMemory does what the platform does: it kills a process whose memory exceeds
// the limit, and starts it again after a short delay.
func (g *gate) superviseMemory() {
	for {
		time.Sleep(memoryCheckTime)
		g.mu.Lock()
		ended, cmd, done := g.ended, g.cmd, g.done
		g.mu.Unlock()
		if ended {
			return
		}
		used := anonymousBytes(cmd.Process.Pid)
		g.mu.Lock()
		g.peakByte = max(g.peakByte, used)
		g.mu.Unlock()
		if used <= memoryLimitMB<<20 {
			continue
		}
		_ = cmd.Process.Kill()
		<-done
		g.mu.Lock()
		g.kills = append(g.kills, time.Now())
		g.mu.Unlock()
		g.lab.record("gate %s: process %d had %d MiB of anonymous memory, limit %d: killed by the platform", g.name, cmd.Process.Pid, used>>20, memoryLimitMB)
		time.Sleep(restartDelay)
		g.mu.Lock()
		ended = g.ended
		g.mu.Unlock()
		if ended {
			return
		}
		if err := g.start(false); err != nil {
			g.lab.record("gate %s: cannot be started again: %v", g.name, err)
			return
		}
	}
}

// anonymousBytes returns the anonymous resident memory of a process, without that of its
// program file; 0 if it has exited.
func anonymousBytes(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}
