package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/platform/names"
	"github.com/mastichollow/mastichollow/platform/standin"
)

const (
	contactTime = 3 * time.Second // contact_ms
	// sharedParts entries of eight bytes, the deadly part and that of the session fit into the
	// largest head.
	sharedParts    = 1300
	partTokens     = 9
	deadlyPart     = "0001"
	deadlyInterval = 1200 * time.Millisecond
	soundRate      = 20
	partEngines    = 12
	restartTime    = 2 * time.Second
	silenceTime    = 3600 * time.Millisecond // three status report intervals
	partDuration   = 40 * time.Second
	maxAfterFifth  = 3 // requests with the part that may reach workers
	crashesExcused = 5
	// documents is the number of long prompts that requests are about.
	documents = 600
)

// crashes records when workers crashed.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

func (c *crashes) add(at time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, at)
	return len(c.at)
}

// runDeadlyPart sends requests with one part that crashes each worker that begins to write an
// answer on it, beside sound requests that share their caller and all their other parts.
func runDeadlyPart(l *lab) (verdict, error) {
	store, err := l.newStore()
	if err != nil {
		return verdict{}, err
	}
	err = store.PutTable(standin.Table{
		Version: 1, SlotsPerTarget: engineSlots, TokensPerSecond: tokensPerS,
		Routes: []standin.Route{{
			Name: "letter", Host: "shop.example", Prefix: "/letter/", Service: "letter-writer", Kind: standin.Stream,
			Timeout: 15 * time.Second, LatencyObjective: 1200 * time.Millisecond, MaxTargets: 1, PrefixAffinity: true,
		}},
		Workspaces:        map[string][]string{"family": {"key-family"}},
		EngineCacheTokens: map[string]int{"letter-writer": 489201},
	})
	if err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	var engines []*worker
	crashed := &crashes{}
	spec := workerSpec{service: "letter-writer", zone: "zone-a", slots: engineSlots, events: 20, work: 20 * time.Millisecond, deadly: deadlyPart}
	start := func() error {
		w, err := l.newWorker(store, spec)
		if err == nil {
			mu.Lock()
			engines = append(engines, w)
			mu.Unlock()
		}
		return err
	}
	spec.onCrash = func(w *worker) {
		n := crashed.add(time.Now())
		l.note("crash %d: %s ends", n, w.id)
		go func() {
			w.exit()
			time.Sleep(restartTime)
			_ = start()
			time.Sleep(silenceTime - restartTime)
			store.Delete(names.TableTargets, w.id)
		}()
	}
	for range partEngines {
		if err := start(); err != nil {
			return verdict{}, err
		}
	}
	gates, _, err := l.twoGates(store)
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(contactTime)

	prompts := sharedPrompts()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	sound, deadly := &tally{}, &tally{}
	ask := func(parts string) request {
		return request{
			host: "shop.example", path: "/letter/1", key: "key-family", deadline: 15 * time.Second,
			counts: fmt.Sprintf("%d,200", (sharedParts+2)*partTokens), parts: parts, body: []byte("letter"),
		}
	}
	for i, g := range gates {
		clients.Go(func() {
			sendAtRate(stop, soundRate, g.vm.CallerAddr, sound, func(n int) request {
				return ask(fmt.Sprintf("%s,%x:%d", prompts[n%documents], 1<<40+i<<36+n, partTokens))
			})
		})
	}
	if l.trouble {
		clients.Go(func() {
			client := newClient()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(deadlyInterval):
				}
				r := send(client, gates[n%len(gates)].vm.CallerAddr, ask(fmt.Sprintf("%s:%d,%s,%x:%d", deadlyPart, partTokens, prompts[n*7%documents], 1<<44+n, partTokens)))
				l.note("request %s with the deadly part: status %d, whole %t", r.id, r.status, r.whole)
				deadly.add(r)
			}
		})
	}
	time.Sleep(partDuration)
	close(stop)
	clients.Wait()

	late := 0
	if len(crashed.at) >= crashesExcused {
		bound := crashed.at[crashesExcused-1].Add(contactTime)
		l.note("the fifth crash was at %.3f", crashed.at[crashesExcused-1].Sub(l.started).Seconds())
		mu.Lock()
		for _, w := range engines {
			for _, a := range w.ranAfter(bound) {
				if a.deadly {
					late++
				}
			}
		}
		mu.Unlock()
	}
	l.note("sound requests by status: %s, not served whole: %d; with the deadly part: %s", sound, len(sound.failed()), deadly)
	for _, g := range gates {
		for line := range strings.Lines(g.logLines()) {
			if strings.Contains(line, `"@message":"part `) {
				l.note("log of %s: %s", g.vm.Node, strings.TrimSpace(line))
			}
		}
	}
	return verdict{late > maxAfterFifth, fmt.Sprintf("%d crashes; %d requests with the deadly part reached workers later than contact_ms after the fifth (bound %d)", len(crashed.at), late, maxAfterFifth)}, nil
}

// sharedPrompts returns the parts of the documents, which sound requests and others share. PARTS
// in the environment changes their number, to compare.
func sharedPrompts() []string {
	count := sharedParts
	if text := os.Getenv("PARTS"); text != "" {
		_, _ = fmt.Sscan(text, &count)
	}
	prompts := make([]string, documents)
	for d := range prompts {
		entries := make([]string, count)
		for i := range entries {
			entries[i] = fmt.Sprintf("%05x:%d", 0x10000+d*count+i, partTokens)
		}
		prompts[d] = strings.Join(entries, ",")
	}
	return prompts
}
