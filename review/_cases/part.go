package main

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"
)

const (
	crashPart = "badc0de"
	// partCrashes and runsAfterPartCrashes are the bound of rule BUDGET for parts: more
	// than three requests later than contactTime after the fifth crash break it.
	partCrashes          = 5
	runsAfterPartCrashes = 3
)

func init() {
	cases["part"] = playPart
}

// playPart: requests with a part that crashes workers come through one gate while few
// other streams run, all of them through another gate.
func playPart(l *lab, trouble bool) (bool, error) {
	const (
		partInterval = 4 * time.Second
		partSends    = 16
	)
	l.putManifest(manifestTemplate)
	var workers []*worker
	for i, zone := range []string{"hooghly-a", "sundarban-a", "digha-a"} {
		w := l.addWorker("letters1a", i, zone)
		w.stream = &streamConfig{prefill: 100 * time.Millisecond, gap: 200 * time.Millisecond, events: 20, crashPart: crashPart}
		w.harmless = !trouble
		workers = append(workers, w)
		if err := w.start(); err != nil {
			return false, err
		}
	}
	gates := []*gate{l.addGate(0, "hooghly-a"), l.addGate(1, "sundarban-a")}
	for _, g := range gates {
		if err := g.start(true); err != nil {
			return false, err
		}
	}
	for _, g := range gates {
		if err := g.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(contactTime)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost, all := 0, 0
	for i := range 3 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				a := sendStream(gates[1].front(), streamRequest{
					host: testHost, path: streamPath, key: shopKey, parts: fmt.Sprintf("5c1e07a2:200,%x:600", rand.Uint32()), prompt: 800, output: 80, timeout: streamTimeout, patience: streamPatience,
				})
				l.record("requester %d: stream %s at %s, sent at %.3f: %s", i, a.id, gates[1].name, l.since(a.sent), a.describe())
				mu.Lock()
				all++
				if a.err != nil || a.status >= 502 && a.status != 503 {
					lost++
				}
				mu.Unlock()
				time.Sleep(time.Second)
			}
		})
	}
	for range partSends {
		a := sendStream(gates[0].front(), streamRequest{
			host: testHost, path: streamPath, key: otherKey, parts: fmt.Sprintf("7d1e07a2:200,%s:20,%x:580", crashPart, rand.Uint32()), prompt: 800, output: 80, timeout: streamTimeout, patience: streamPatience,
		})
		l.record("requester: stream %s with the part that crashes workers, at %s, sent at %.3f: %s", a.id, gates[0].name, l.since(a.sent), a.describe())
		time.Sleep(time.Until(a.sent.Add(partInterval)))
	}
	close(stop)
	wg.Wait()
	l.record("of %d other streams %d got no complete answer, 502 or 504", all, lost)
	return judgePart(l, workers), nil
}

func judgePart(l *lab, workers []*worker) bool {
	var crashes, runs []time.Time
	for _, list := range allRuns(workers) {
		for _, r := range list {
			if r.crashes {
				runs = append(runs, r.at)
			}
		}
	}
	for _, w := range workers {
		w.mu.Lock()
		crashes = append(crashes, w.crashes...)
		w.mu.Unlock()
	}
	sort.Slice(crashes, func(i, j int) bool { return crashes[i].Before(crashes[j]) })
	sort.Slice(runs, func(i, j int) bool { return runs[i].Before(runs[j]) })
	l.record("requests with the part began %d times and crashed workers %d times", len(runs), len(crashes))
	if len(crashes) < partCrashes {
		return false
	}
	bound := crashes[partCrashes-1].Add(contactTime)
	late := 0
	for _, at := range runs {
		if at.After(bound) {
			late++
		}
	}
	l.record("%d reached workers later than %.3f, contact_ms after the fifth crash; %d are allowed", late, l.since(bound), runsAfterPartCrashes)
	return late > runsAfterPartCrashes
}
