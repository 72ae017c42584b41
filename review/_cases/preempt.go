package main

import (
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
)

func init() {
	cases["preempt"] = playPreempt
}

// playPreempt: a gate is stopped as planned while its streams run at the one worker that
// does not leave, which preempts them for a while.
func playPreempt(l *lab, trouble bool) (bool, error) {
	l.putManifest(manifestTemplate)
	workers := []*worker{l.addWorker("letters1a", 0, "hooghly-a"), l.addWorker("letters1a", 1, "hooghly-a")}
	for _, w := range workers {
		w.stream = &streamConfig{prefill: 100 * time.Millisecond, gap: 150 * time.Millisecond, events: 8}
		if trouble {
			w.stream.pauseAfter, w.stream.pauseTime = 3, preemptTime
		}
		if err := w.start(); err != nil {
			return false, err
		}
	}
	g := l.addGate(0, "hooghly-a")
	if err := g.start(true); err != nil {
		return false, err
	}
	if err := g.awaitReady(); err != nil {
		return false, err
	}
	workers[1].drain()
	time.Sleep(contactTime)

	const streams = 6
	results := make([]streamAttempt, streams)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			results[i] = sendStream(g.front(), streamRequest{
				host: testHost, path: streamPath, key: shopKey, parts: "5c1e07a2:200,e4402b7d:600", prompt: 800, output: 80, timeout: streamTimeout, patience: streamPatience,
			})
		})
	}
	time.Sleep(300 * time.Millisecond)
	l.record("gate %s: SIGTERM", g.name)
	g.signal(syscall.SIGTERM)
	wg.Wait()
	broken := false
	runs := allRuns(workers)
	for _, a := range results {
		cut := a.err != nil && !a.abandoned && len(runs[a.id]) > 0
		broken = broken || cut
		l.record("requester: stream %s, sent at %.3f, ended at %.3f: %s; cut by the gate: %v", a.id, l.since(a.sent), l.since(a.answered), a.describe(), cut)
	}
	time.Sleep(time.Second)
	return broken, nil
}
