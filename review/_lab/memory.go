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
	oddRate         = 50 // requests a second at each gate of the client that nobody controls
	ordinaryRate    = 20 // of the ordinary client, at each gate
	memoryDuration  = 70 * time.Second
	streamEvents    = 3
	// endsCounted ends of each of two gates break the rule.
	endsCounted    = 3
	memoryGates    = 2
	restartedAfter = 500 * time.Millisecond
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
	var gates []*gate
	for i := range memoryGates {
		g, err := l.newGate(standin.VM{Node: fmt.Sprintf("edge-%d", i+1), Domain: "zone-a", StoreAddr: store.Addr(), MemoryMB: memoryLimitMB, MaxFDs: memoryFDs})
		if err != nil {
			return verdict{}, err
		}
		if err := g.start(); err != nil {
			return verdict{}, err
		}
		gates = append(gates, g)
	}
	for _, g := range gates {
		if err := g.awaitReady(); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(time.Second)

	stop := make(chan struct{})
	var clients, supervisors sync.WaitGroup
	ordinary, odd := &tally{}, &tally{}
	for i, g := range gates {
		clients.Go(func() {
			sendAtRate(stop, ordinaryRate, g.vm.CallerAddr, ordinary, func(n int) request {
				return request{host: "lens.example", path: "/review/1", key: "key-ordinary", deadline: 12 * time.Second, counts: "1800,9", parts: fmt.Sprintf("aa:1600,%x:200", 1<<32+n), body: []byte("prompt")}
			})
		})
		if l.trouble {
			clients.Go(func() {
				sendAtRate(stop, oddRate, g.vm.CallerAddr, odd, func(n int) request {
					return request{host: "lens.example", path: "/review/1", key: "key-odd", deadline: 12 * time.Second, counts: fmt.Sprintf("%d,9", partsPerRequest), parts: manyParts(memoryGates*n + i), body: []byte("prompt")}
				})
			})
		}
	}
	ends, peaks := make([]int, memoryGates), make([]int, memoryGates)
	deadline := time.Now().Add(memoryDuration)
	for i, g := range gates {
		supervisors.Go(func() {
			for time.Now().Before(deadline) && ends[i] < endsCounted {
				time.Sleep(50 * time.Millisecond)
				kb := anonymousKB(g.pid())
				peaks[i] = max(peaks[i], kb)
				if kb <= memoryLimitMB<<10 && !g.ended() {
					continue
				}
				ends[i]++
				l.note("end %d of %s: anonymous memory %d MB of %d (memory_mb); ordinary client: %s; odd client: %s", ends[i], g.vm.Node, kb>>10, memoryLimitMB, ordinary, odd)
				g.kill()
				time.Sleep(restartedAfter)
				if err := g.start(); err != nil || g.awaitReady() != nil {
					l.note("%s doesn't come back", g.vm.Node)
					return
				}
			}
		})
	}
	supervisors.Wait()
	close(stop)
	clients.Wait()
	l.note("ordinary client: %s; odd client: %s; a head of the odd client has %d bytes in its longest line", ordinary, odd, len(manyParts(0)))
	broken := true
	for i, g := range gates {
		l.note("%s ended %d times, peak of anonymous memory %d MB", g.vm.Node, ends[i], peaks[i]>>10)
		broken = broken && ends[i] >= endsCounted
	}
	return verdict{broken, fmt.Sprintf("processes ended for memory: %v (three times on two machines break the rule)", ends)}, nil
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
