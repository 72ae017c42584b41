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
	documentUpload  = 7 * time.Second
	documentTimeout = 12 * time.Second
	documentPath    = "/lohu930/1"
	// keptConnections requesters at each gate send an order every keptPeriod, each on a
	// connection of its own that it keeps.
	keptConnections = 8
	keptPeriod      = 200 * time.Millisecond
	// allowedClosed is the number of requests from kept connections that a gate may pass on
	// and close without an answer.
	allowedClosed = 3
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
		for range keptConnections {
			wg.Go(func() { keptOrders(g, log, stop) })
		}
		wg.Go(func() { documents(g, log, trouble, stop) })
	}
	time.Sleep(floods*floodInterval + documentTimeout)
	close(stop)
	wg.Wait()
	return judgeClosed(l, gates, workers, log), nil
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

// keptOrders sends orders on a kept connection, and on a new one after that has ended.
func keptOrders(g *gate, log *attemptLog, stop <-chan struct{}) {
	var conn *keptConn
	for {
		select {
		case <-stop:
			conn.close()
			return
		case <-time.After(keptPeriod):
		}
		var a attempt
		a, conn = conn.send(g.front(), request{host: testHost, path: orderPath, key: shopKey, body: []byte("one jar"), timeout: orderTimeout})
		a.gate = g.name
		log.add(a, g.name)
	}
}

// judgeClosed checks rule LOST: a gate passes more than three requests from kept
// connections on to sound workers and closes the connections without an answer. A gate
// that is killed for its memory ends by itself, and so counts as running and in touch.
func judgeClosed(l *lab, gates []*gate, workers []*worker, log *attemptLog) bool {
	runs, broken := allRuns(workers), false
	for _, g := range gates {
		closed := 0
		for _, a := range log.all {
			if a.gate != g.name || !a.kept || a.status != 0 || a.err == nil || len(runs[a.id]) == 0 || a.answered.Sub(a.sent) >= orderTimeout {
				continue
			}
			closed++
			l.record("order %s from a kept connection was passed on to worker %s and closed by %s without an answer", a.id, runs[a.id][0].worker, g.name)
		}
		g.mu.Lock()
		l.record("gate %s: ended %d times for memory over %d MiB, peak %d MiB; closed %d requests from kept connections without an answer, %d are allowed",
			g.name, len(g.kills), memoryLimitMB, g.peakByte>>20, closed, allowedClosed)
		g.mu.Unlock()
		broken = broken || closed > allowedClosed
	}
	return broken
}
