package main

import (
	_ "embed"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/mastichollow/mastichollow/platform/names"
	"github.com/mastichollow/mastichollow/platform/standin"
)

// The ports of a lab are a free base plus these offsets, the same on all its addresses.
const (
	storePort  = 1
	workerPort = 2
	frontPort  = 3
	readyPort  = 4
	peerPort   = 5
	portCount  = 20
)

// storeHost, gateHost and workerHost are the last bytes of the addresses of the store, the
// first gate and the first worker.
const storeHost, gateHost, workerHost = 1, 10, 100

// lab is a deployment on a subnet of the loopback range of its own.
type lab struct {
	started time.Time
	tmp     string
	subnet  string // "127.x.y"
	base    int    // of the ports
	store   *standin.Store
	gateRun []string // command of the deploy file

	mu     sync.Mutex
	out    *os.File
	gates  []*gate
	closed bool
}

func newLab(dir string) (*lab, error) {
	l := &lab{started: time.Now()}
	var err error
	if l.gateRun, err = gateCommand(); err != nil {
		return nil, err
	}
	if l.tmp, err = os.MkdirTemp("", "review-case-"); err != nil {
		return nil, err
	}
	if l.out, err = os.Create(filepath.Join(dir, "record.txt")); err != nil {
		return nil, err
	}
	for range 50 {
		l.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		l.base = 15000 + portCount*rand.IntN(800) // below the ephemeral ports
		if !l.free() {
			continue
		}
		if l.store, err = standin.ListenStore(l.addr(storeHost, storePort)); err != nil {
			l.close()
			return nil, err
		}
		return l, nil
	}
	l.close()
	return nil, errors.New("no free loopback addresses")
}

// gateCommand returns the command of the deploy file that runs a gate.
func gateCommand() ([]string, error) {
	var deploy struct {
		Roles map[string]struct {
			Run string `toml:"run"`
		} `toml:"roles"`
	}
	if _, err := toml.DecodeFile("deploy/system.toml", &deploy); err != nil {
		return nil, err
	}
	command := strings.Fields(deploy.Roles["gate"].Run)
	if len(command) == 0 {
		return nil, errors.New("the deploy file has no gate")
	}
	_, err := os.Stat(command[0])
	return command, err
}

func (l *lab) addr(host, offset int) string {
	return fmt.Sprintf("%s.%d:%d", l.subnet, host, l.base+offset)
}

// free reports whether nothing listens on the ports of the lab.
func (l *lab) free() bool {
	for offset := range portCount {
		for _, host := range []int{storeHost, gateHost, gateHost + 1, workerHost} {
			addr := l.addr(host, offset)
			listener, err := net.Listen("tcp4", addr)
			if err != nil {
				return false
			}
			listener.Close()
			socket, err := net.ListenPacket("udp4", addr)
			if err != nil {
				return false
			}
			socket.Close()
		}
	}
	return true
}

// since returns the time since the start of the case.
func (l *lab) since(t time.Time) float64 { return t.Sub(l.started).Seconds() }

// record writes a line to record.txt.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		fmt.Fprintf(l.out, "%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// close ends all processes and removes the temporary folder.
func (l *lab) close() {
	l.mu.Lock()
	gates := l.gates
	l.mu.Unlock()
	for _, g := range gates {
		g.end()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	l.out.Close()
	os.RemoveAll(l.tmp)
}

// putManifest writes a manifest as the operator does.
func (l *lab) putManifest(manifest string) {
	l.store.Put(names.TableOperator, names.KeyManifest, []byte(manifest))
	l.record("manifest acknowledged: %s", manifest)
}
