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

// The deployment of the memory case: the engines and one edge of the memory jar kits.
const (
	memoryLimitMB = 284
	memoryFDs     = 4100
	engineCount   = 12
	memoryEngines = 18
	engineTokens  = 489201
	engineSlots   = 64
	tokensPerS    = 1000000
	// partsPerRequest entries of eight bytes fit into the largest head.
	partsPerRequest = 1800
	oddRate         = 80                     // requests a second of the client that nobody controls
	ordinaryRate    = 40                     // of the ordinary client
	prefillTime     = 250 * time.Millisecond // of 12,000 prompt tokens
	memoryDuration  = 40 * time.Second
	streamEvents    = 3
	maxClosedKept   = 3 // requests that a machine may leave without an answer on kept connections
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
			Name: "letter", Host: "shop.example", Prefix: "/letter/", Service: "engine", Kind: standin.Stream,
			Timeout: 15 * time.Second, LatencyObjective: 1200 * time.Millisecond, MaxTargets: 1, PrefixAffinity: true,
		}},
		Workspaces:        map[string][]string{"ordinary": {"key-ordinary"}, "odd": {"key-odd"}},
		EngineCacheTokens: map[string]int{"engine": engineTokens},
	})
	if err != nil {
		return verdict{}, err
	}
	var engines []*worker
	for range memoryEngines {
		w, err := l.newWorker(store, workerSpec{service: "engine", zone: "zone-a", slots: engineSlots, events: streamEvents, work: prefillTime})
		if err != nil {
			return verdict{}, err
		}
		engines = append(engines, w)
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
	time.Sleep(contactTime)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	ordinary, odd := &tally{}, &tally{}
	clients.Go(func() {
		sendAtRate(stop, ordinaryRate, g.vm.CallerAddr, ordinary, func(n int) request {
			return request{host: "shop.example", path: "/letter/1", key: "key-ordinary", deadline: 15 * time.Second, counts: "12000,18", parts: fmt.Sprintf("aa:5400,%x:6600", 1<<32+n), body: []byte("prompt")}
		})
	})
	if l.trouble {
		clients.Go(func() {
			sendAtRate(stop, oddRate, g.vm.CallerAddr, odd, func(n int) request {
				return request{host: "shop.example", path: "/letter/1", key: "key-odd", deadline: 15 * time.Second, counts: fmt.Sprintf("%d,18", partsPerRequest), parts: manyParts(n), body: []byte("prompt")}
			})
		})
	}
	peak, ended := 0, false
	for deadline := time.Now().Add(memoryDuration); time.Now().Before(deadline) && !ended; time.Sleep(50 * time.Millisecond) {
		kb := anonymousKB(g.pid())
		if kb/(32<<10) > peak/(32<<10) {
			l.note("anonymous memory %d MB; ordinary client: %s; odd client: %s", kb>>10, ordinary, odd)
		}
		peak = max(peak, kb)
		if kb > memoryLimitMB<<10 || g.ended() {
			ended = true
			l.note("memory %d MB is above memory_mb %d: the platform kills the process (SIGKILL)", kb>>10, memoryLimitMB)
			g.kill()
		}
	}
	close(stop)
	clients.Wait()
	ran := make(map[string]bool)
	for _, w := range engines {
		for _, a := range w.ranAfter(l.started) {
			ran[a.id] = true
		}
	}
	closed := 0
	for _, r := range ordinary.all() {
		if r.status == 0 && r.kept && ran[r.id] && r.took < clientTimeout {
			closed++
			l.note("request %s, sent at %.3f on a kept connection, ran at an engine; its connection ended without an answer after %d ms", r.id, r.sentAt.Sub(l.started).Seconds(), r.took.Milliseconds())
		}
	}
	l.note("ordinary client: %s; odd client: %s; a head of the odd client has %d bytes in its longest line", ordinary, odd, len(manyParts(0)))
	return verdict{closed > maxClosedKept, fmt.Sprintf("peak of anonymous memory %d MB of %d MB, process ended: %t; %d requests that were passed on from kept connections got no answer (bound %d)", peak>>10, memoryLimitMB, ended, closed, maxClosedKept)}, nil
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
