package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	streamPath = "/pufi791/8"
	// streamPatience is the longest of 2 s, four times goal_ms and eight times gap_goal_ms
	// of the route: after it, requesters leave.
	streamPatience = 4800 * time.Millisecond
	streamTimeout  = 10 * time.Second
	preemptTime    = 3500 * time.Millisecond
	// preemptStreams streams start at one gate, 33 a second.
	preemptStreams   = 60
	preemptStreamGap = 30 * time.Millisecond
	graceTime        = 8 * time.Second
)

func init() {
	cases["preempt"] = playPreempt
}

// playPreempt: a gate is stopped as planned while its streams run, and the workers preempt
// most of them for a while.
func playPreempt(l *lab, trouble bool) (bool, error) {
	l.putManifest(manifestTemplate)
	var workers []*worker
	for i, zone := range []string{"hooghly-a", "sundarban-a", "digha-a"} {
		w := l.addWorker("letters1a", i, zone)
		w.stream = &streamConfig{prefill: 100 * time.Millisecond, gap: 150 * time.Millisecond, events: 8}
		if trouble {
			w.stream.pauseAfter, w.stream.pauseTime, w.stream.spared = 3, preemptTime, 4
		}
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
	time.Sleep(contactTime + 500*time.Millisecond)

	g := gates[0]
	results := make([]streamAttempt, preemptStreams)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			results[i] = sendStream(g.front(), streamRequest{
				host: testHost, path: streamPath, key: shopKey, parts: fmt.Sprintf("5c1e07a2:200,%x:100,%x:500", 0x91bd+i%12, rand.Uint32()),
				prompt: 800, output: 80, timeout: streamTimeout, patience: streamPatience,
			})
		})
		time.Sleep(preemptStreamGap)
	}
	terminated := time.Now()
	l.record("gate %s: SIGTERM", g.name)
	g.signal(syscall.SIGTERM)
	wg.Wait()
	// A stream at which the worker is still at work in the last sixth of the grace time is
	// not counted, nor one that has reached its time limit.
	lastSixth := terminated.Add(graceTime * 5 / 6)
	broken, cuts := false, 0
	runs := allRuns(workers)
	for _, a := range results {
		cut := a.err != nil && !a.abandoned && len(runs[a.id]) > 0 && a.answered.Before(lastSixth) && a.answered.Sub(a.sent) < streamTimeout
		broken = broken || cut
		if cut {
			cuts++
		}
		l.record("requester: stream %s, sent at %.3f, ended at %.3f: %s; cut by the gate: %v", a.id, l.since(a.sent), l.since(a.answered), a.describe(), cut)
	}
	l.record("the gate cut %d of %d streams that a worker ran", cuts, len(results))
	time.Sleep(time.Second)
	return broken, nil
}
