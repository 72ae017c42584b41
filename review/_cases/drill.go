package main

import (
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/mastichollow/mastichollow/platform/standin"
)

const (
	// revokeTime is the bound revoke_ms.
	revokeTime = 5 * time.Second
	// storeAway is how long the store is away in the drill, rewriteDelay how long after its
	// return the operator and the workers have written again what it lost.
	storeAway    = 500 * time.Millisecond
	rewriteDelay = 2 * time.Second
	revokedPause = 40 * time.Millisecond
)

func init() {
	cases["drill"] = func(l *lab, trouble bool) (bool, error) { return playDrill(l, trouble, false) }
	cases["drill-all"] = func(l *lab, trouble bool) (bool, error) { return playDrill(l, trouble, true) }
}

// playDrill: a key was taken away; then the store comes back from an older copy while a
// gate, or each of them, is started again as planned, and the holder of the key keeps
// sending.
func playDrill(l *lab, trouble, all bool) (bool, error) {
	l.putManifest(manifestTemplate)
	var workers []*worker
	for i, zone := range []string{"hooghly-a", "sundarban-a", "digha-a"} {
		w := l.addWorker("wuno96b", i, zone)
		w.work = 20 * time.Millisecond
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
	time.Sleep(2 * contactTime)

	copied := l.store.Copy()
	l.record("the store: a copy is made")
	time.Sleep(300 * time.Millisecond)
	l.putManifest(strings.NewReplacer(`"version":7`, `"version":9`, `"`+otherKey+`"`, "").Replace(manifestTemplate))
	acknowledged := time.Now()
	stopped := gates[1:]
	if all {
		stopped = gates
	}
	time.Sleep(time.Until(acknowledged.Add(revokeTime - 2500*time.Millisecond)))
	for _, g := range stopped {
		l.record("gate %s: SIGTERM", g.name)
		g.signal(syscall.SIGTERM)
	}
	for _, g := range stopped {
		g.mu.Lock()
		done := g.done
		g.mu.Unlock()
		<-done
	}
	time.Sleep(time.Until(acknowledged.Add(revokeTime)))
	if trouble {
		l.record("the store: away")
		l.store.SetFault(standin.StoreFault{Status: http.StatusServiceUnavailable})
		time.Sleep(storeAway)
		l.store.Restore(copied)
		l.store.SetFault(standin.StoreFault{})
		l.record("the store: back from the copy, %.1f s old", storeAway.Seconds()+time.Since(acknowledged).Seconds())
		time.AfterFunc(rewriteDelay, func() {
			l.store.Rewrite()
			l.record("the store: what the operator and the workers wrote is written again")
		})
	}
	time.Sleep(100 * time.Millisecond)
	for _, g := range stopped {
		if err := g.start(false); err != nil {
			return false, err
		}
	}
	for _, g := range stopped {
		if err := g.awaitReady(); err != nil {
			return false, err
		}
	}
	var late []attempt
	for end := time.Now().Add(rewriteDelay + 2*time.Second); time.Now().Before(end); time.Sleep(revokedPause) {
		for _, g := range gates {
			a := send(g.front(), request{host: testHost, path: orderPath, key: otherKey, body: []byte("one jar"), timeout: orderTimeout})
			l.record("requester: order %s with the key that was taken away, at %s, sent %.3f s after the acknowledgement: %s", a.id, g.name, a.sent.Sub(acknowledged).Seconds(), a.outcome())
			if a.sent.Sub(acknowledged) > revokeTime {
				late = append(late, a)
			}
		}
	}
	time.Sleep(500 * time.Millisecond)
	runs, ran := allRuns(workers), 0
	for _, a := range late {
		if list := runs[a.id]; len(list) > 0 {
			ran++
			l.record("order %s with the key that was taken away ran at worker %s for the tenant %q", a.id, list[0].worker, list[0].workspace)
		}
	}
	l.record("%d of %d orders that were sent later than revoke_ms after the acknowledgement ran", ran, len(late))
	return ran > 0, nil
}
