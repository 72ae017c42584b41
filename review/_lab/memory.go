package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/platform/standin"
)

// The deployment of the memory case: the engines and the entry VMs of the lens works.
const (
	memoryLimitMB  = 134
	memoryFDs      = 4100
	engineCount    = 12
	engineTokens   = 373092
	engineSlots    = 64
	tokensPerS     = 1000000
	maxHeaderBytes = 16 << 10
	// partsPerRequest entries of eight bytes fit into the largest head.
	partsPerRequest = 1800
	oddRate         = 40 // requests a second of the client that nobody controls
	ordinaryRate    = 20 // of the ordinary client, at each gate
	memoryDuration  = 45 * time.Second
	streamEvents    = 3
)

// runMemory lets one client send requests of legal size whose prompts consist of very many
// parts of one token each. The platform kills a process whose memory exceeds that of its VM.
func runMemory(l *lab) (verdict, error) {
	store, err := l.newStore()
	if err != nil {
		return verdict{}, err
	}
	err = store.PutTable(standin.Table{
		Version: 1, SlotsPerTarget: engineSlots, TokensPerSecond: tokensPerS,
		Routes: []standin.Route{{
			Name: "review", Host: "lens.example", Prefix: "/review/", Service: "engine", Kind: standin.Stream,
			Timeout: 12 * time.Second, LatencyObjective: 1200 * time.Millisecond, MaxTargets: 1, PrefixAffinity: true,
		}},
		Workspaces:        map[string][]string{"ordinary": {"key-ordinary"}, "odd": {"key-odd"}},
		EngineCacheTokens: map[string]int{"engine": engineTokens},
	})
	if err != nil {
		return verdict{}, err
	}
	for range engineCount {
		if _, err := l.newWorker(store, workerSpec{service: "engine", zone: "zone-a", slots: engineSlots, events: streamEvents, work: 20 * time.Millisecond}); err != nil {
			return verdict{}, err
		}
	}
	g, err := l.newGate(standin.VM{Node: "edge-1", Domain: "zone-a", StoreAddr: store.Addr(), MemoryMB: memoryLimitMB, MaxFDs: memoryFDs})
	if err != nil {
		return verdict{}, err
	}
	if err := g.start(); err != nil {
		return verdict{}, err
	}
	if err := g.awaitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Second)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	ordinary, odd := &tally{}, &tally{}
	clients.Go(func() {
		sendAtRate(stop, ordinaryRate, g.vm.CallerAddr, ordinary, func(n int) request {
			return request{host: "lens.example", path: "/review/1", key: "key-ordinary", deadline: 12 * time.Second, counts: "1800,9", parts: fmt.Sprintf("aa:1600,%x:200", 1<<32+n), body: []byte("prompt")}
		})
	})
	if l.trouble {
		clients.Go(func() {
			sendAtRate(stop, oddRate, g.vm.CallerAddr, odd, func(n int) request {
				return request{host: "lens.example", path: "/review/1", key: "key-odd", deadline: 12 * time.Second, counts: fmt.Sprintf("%d,9", partsPerRequest), parts: manyParts(n), body: []byte("prompt")}
			})
		})
	}
	peak, killed := 0, false
	for end := time.Now().Add(memoryDuration); time.Now().Before(end) && !killed; time.Sleep(100 * time.Millisecond) {
		if g.ended() {
			killed = true
			l.note("the process ended by itself")
			break
		}
		if kb := anonymousKB(g.pid()); kb > peak {
			if kb/(8<<10) > peak/(8<<10) {
				l.note("anonymous memory %d MB; ordinary client: %s; odd client: %s", kb>>10, ordinary, odd)
			}
			peak = kb
		}
		if peak > memoryLimitMB<<10 {
			killed = true
			l.note("memory %d MB is above memory_mb %d: the platform kills the process (SIGKILL)", peak>>10, memoryLimitMB)
			g.kill()
		}
	}
	time.Sleep(500 * time.Millisecond)
	close(stop)
	clients.Wait()
	l.note("ordinary client: %s; odd client: %s; a head of the odd client has %d bytes in its longest line", ordinary, odd, len(manyParts(0)))
	return verdict{killed, fmt.Sprintf("peak of anonymous memory %d MB of %d MB, process killed: %t", peak>>10, memoryLimitMB, killed)}, nil
}

// manyParts returns the parts of the n-th prompt, each of one token.
func manyParts(n int) string {
	var b strings.Builder
	for i := range partsPerRequest {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%05x:1", (n*partsPerRequest+i)%(1<<20))
	}
	return b.String()
}

// anonymousKB returns the resident memory of a process that is no file's, in kB.
func anonymousKB(pid int) int {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb
		}
	}
	return 0
}
