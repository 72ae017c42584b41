package main

import (
	"sync"
	"time"
)

// The sheet names a hot tenant that sends up to nine times its usual, for 8 s.
const (
	floodFactor   = 9
	floodTime     = 8 * time.Second
	floods        = 3
	floodInterval = 26 * time.Second
	usualPeriod   = 770 * time.Millisecond // between two documents at a gate
	documentBytes = 4 << 20                // max_body_bytes of the manifest
	// documentUpload is the time for a document over a link of 5 Mbit/s.
	documentUpload   = 7 * time.Second
	documentTimeout  = 12 * time.Second
	documentPath     = "/lohu930/1"
	killsToBreakRule = 3 // on each of two gates
)

func init() {
	cases["flood"] = playFlood
}

// playFlood: one tenant sends many times its usual, of documents as large as the
// manifest allows.
func playFlood(l *lab, trouble bool) (bool, error) {
	l.putManifest(manifestTemplate)
	var workers []*worker
	for i, zone := range []string{"hooghly-a", "sundarban-a", "digha-a"} {
		workers = append(workers, l.addWorker("wuno96b", i, zone), l.addWorker("huvo11a", 10+i, zone))
	}
	for _, w := range workers {
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
		go g.superviseMemory()
	}
	time.Sleep(contactTime)

	log := newAttemptLog(l)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, g := range gates {
		wg.Go(func() { bystanders(g, log, 50*time.Millisecond, stop) })
		wg.Go(func() { documents(g, log, trouble, stop) })
	}
	time.Sleep(floods*floodInterval + documentTimeout)
	close(stop)
	wg.Wait()
	return judgeKills(l, gates, workers, log), nil
}

// documents sends the documents of one tenant at its usual rate and, with trouble, at
// floodFactor times that during the floods.
func documents(g *gate, log *attemptLog, trouble bool, stop <-chan struct{}) {
	begin := time.Now()
	body := make([]byte, documentBytes)
	for i := range body {
		body[i] = byte('a' + i%26)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		period := usualPeriod
		if trouble && flooding(time.Since(begin)) {
			period = usualPeriod / floodFactor
		}
		select {
		case <-stop:
			return
		case <-time.After(period):
			wg.Go(func() {
				log.add(send(g.front(), request{host: testHost, path: documentPath, key: otherKey, body: body, timeout: documentTimeout, uploadTime: documentUpload}), g.name)
			})
		}
	}
}

// flooding reports whether a flood lasts at a time since the begin of the traffic.
func flooding(t time.Duration) bool {
	within := t % floodInterval
	return t < floods*floodInterval && within >= floodInterval-floodTime-documentTimeout && within < floodInterval-documentTimeout
}

// judgeKills checks rule Fault: on two gates or more, processes end by themselves three
// times, memory over the limit included, with no impairment there.
func judgeKills(l *lab, gates []*gate, workers []*worker, log *attemptLog) bool {
	broken := 0
	for _, g := range gates {
		g.mu.Lock()
		l.record("gate %s: killed %d times for memory over %d MiB, peak %d MiB", g.name, len(g.kills), memoryLimitMB, g.peakByte>>20)
		if len(g.kills) >= killsToBreakRule {
			broken++
		}
		g.mu.Unlock()
	}
	runs := allRuns(workers)
	cut := 0
	for _, a := range log.all {
		if a.path == orderPath && a.err != nil && len(runs[a.id]) > 0 {
			cut++
			l.record("order %s of the other tenant was passed on to a worker and got no complete answer", a.id)
		}
	}
	l.record("%d orders of the other tenant were passed on to a worker and got no complete answer", cut)
	return broken >= 2
}
