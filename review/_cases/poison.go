package main

import (
	_ "embed"
	"sort"
	"sync"
	"time"
)

//go:embed manifest.json
var manifestTemplate string

const (
	testHost  = "ficu95.example"
	orderPath = "/puxa403/1"
	shopKey   = "asnmgkcuyj8pjbvk9m68"
	otherKey  = "k7b2ex5wa5xwyhks8nbk"
	// contactTime is the bound contact_ms.
	contactTime  = 3 * time.Second
	orderTimeout = 1200 * time.Millisecond
	// crashLimit and retriesAfterLimit are the bound of rule BUDGET: more than three
	// retries later than contactTime after the third crash break it.
	crashLimit        = 3
	retriesAfterLimit = 3
)

func init() {
	cases["same-id"] = func(l *lab, trouble bool) (bool, error) { return playCrashing(l, trouble, true, false) }
	cases["new-id"] = func(l *lab, trouble bool) (bool, error) { return playCrashing(l, trouble, false, false) }
	cases["other-gate"] = func(l *lab, trouble bool) (bool, error) { return playCrashing(l, trouble, false, true) }
}

// playCrashing: a request that crashes workers comes again and again, beside orders of
// another tenant.
func playCrashing(l *lab, trouble, sameID, otherGate bool) (bool, error) {
	const (
		poisonInterval  = 4 * time.Second
		poisonSends     = 12
		bystanderPeriod = 50 * time.Millisecond
	)
	l.putManifest(manifestTemplate)
	workers := []*worker{l.addWorker("wuno96b", 0, "hooghly-a"), l.addWorker("wuno96b", 1, "sundarban-a"), l.addWorker("wuno96b", 2, "digha-a")}
	for _, w := range workers {
		w.sameID, w.harmless = sameID, !trouble
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

	log := newAttemptLog(l)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, g := range gates {
		if otherGate && i == 0 {
			continue
		}
		wg.Go(func() { bystanders(g, log, bystanderPeriod, stop) })
	}
	for range poisonSends {
		a := send(gates[0].front(), request{host: testHost, path: orderPath, key: otherKey, body: []byte(crashMark + " of the same caller"), timeout: orderTimeout})
		l.record("requester: the request that crashes workers, attempt %s at %s: %s", a.id, gates[0].name, a.outcome())
		time.Sleep(poisonInterval)
	}
	close(stop)
	wg.Wait()
	time.Sleep(time.Second)
	return judgeCrashes(l, workers, log), nil
}

// attemptLog holds the attempts of bystanders.
type attemptLog struct {
	lab *lab
	mu  sync.Mutex
	all []attempt
}

func newAttemptLog(l *lab) *attemptLog { return &attemptLog{lab: l} }

func (g *attemptLog) add(a attempt, gateName string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.all = append(g.all, a)
	g.lab.record("requester: %s %s at %s, sent at %.3f: %s", a.path, a.id, gateName, g.lab.since(a.sent), a.outcome())
}

// bystanders sends orders of another tenant at an even rate.
func bystanders(g *gate, log *attemptLog, period time.Duration, stop <-chan struct{}) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			wg.Go(func() {
				log.add(send(g.front(), request{host: testHost, path: orderPath, key: shopKey, body: []byte("one jar"), timeout: orderTimeout}), g.name)
			})
		}
	}
}

// judgeCrashes checks rule BUDGET for requests that crash workers.
func judgeCrashes(l *lab, workers []*worker, log *attemptLog) bool {
	var runs []run
	for _, list := range allRuns(workers) {
		for _, r := range list {
			if r.crashes {
				runs = append(runs, r)
			}
		}
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].at.Before(runs[j].at) })
	var crashes []time.Time
	for _, w := range workers {
		w.mu.Lock()
		crashes = append(crashes, w.crashes...)
		w.mu.Unlock()
	}
	sort.Slice(crashes, func(i, j int) bool { return crashes[i].Before(crashes[j]) })
	l.record("the request reached workers %d times and crashed %d", len(runs), len(crashes))
	lost := 0
	for _, a := range log.all {
		if a.err != nil || a.status == 502 || a.status == 504 {
			lost++
		}
	}
	l.record("of %d orders of the other tenant %d got no answer, 502 or 504", len(log.all), lost)
	if len(crashes) < crashLimit {
		return false
	}
	bound := crashes[crashLimit-1].Add(contactTime)
	late := 0
	for _, r := range runs {
		if r.at.After(bound) {
			late++
			l.record("reached worker %s at %.3f, later than %.3f", r.worker, l.since(r.at), l.since(bound))
		}
	}
	l.record("reached workers %d times later than contact_ms after the third crash; %d are allowed", late, retriesAfterLimit)
	return late > retriesAfterLimit
}
