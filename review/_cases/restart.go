package main

import (
	"sync"
	"syscall"
	"time"
)

const (
	// roundSends requests that crash workers are sent before the first and after each of
	// the rolling restarts, at both gates in turn.
	roundSends  = 6
	rolls       = 2
	sendPeriod  = 3 * time.Second
	stopTimeout = 9 * time.Second
)

func init() {
	cases["roll"] = playRoll
}

// playRoll: the gates are stopped and started in turn, twice, while a request that has
// crashed three workers comes again.
func playRoll(l *lab, trouble bool) (bool, error) {
	l.putManifest(manifestTemplate)
	var workers []*worker
	for i, zone := range []string{"hooghly-a", "sundarban-a", "digha-a"} {
		w := l.addWorker("wuno96b", i, zone)
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
	log := newAttemptLog(l)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, g := range gates {
		wg.Go(func() { bystanders(g, log, 50*time.Millisecond, stop) })
	}
	for round := range 1 + rolls {
		if round > 0 && trouble {
			for _, g := range gates {
				if err := g.stopAndStart(); err != nil {
					return false, err
				}
			}
			time.Sleep(contactTime + 500*time.Millisecond) // all gates are in touch again
		}
		for i := range roundSends {
			g := gates[i%len(gates)]
			a := send(g.front(), request{host: testHost, path: orderPath, key: otherKey, body: []byte(crashMark + " of the same caller"), timeout: orderTimeout})
			l.record("requester: the request that crashes workers, attempt %s at %s: %s", a.id, g.name, a.outcome())
			time.Sleep(sendPeriod)
		}
	}
	close(stop)
	wg.Wait()
	time.Sleep(time.Second)
	return judgeCrashes(l, workers, log), nil
}

// stopAndStart stops the gate as planned, with SIGTERM, and starts it again.
func (g *gate) stopAndStart() error {
	g.lab.record("gate %s: SIGTERM", g.name)
	g.mu.Lock()
	done := g.done
	g.mu.Unlock()
	g.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(stopTimeout):
		g.signal(syscall.SIGKILL)
		<-done
	}
	if err := g.start(false); err != nil {
		return err
	}
	return g.awaitReady()
}
