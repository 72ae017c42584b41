package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/platform/names"
	"github.com/mastichollow/mastichollow/platform/standin"
)

const (
	deadlyBody       = "order that crashes workers"
	repeatInterval   = 4 * time.Second
	herdGates        = 3
	herdWorkers      = 5
	herdKills        = 2
	repeatsPerLife   = 4
	gateRestartTime  = 500 * time.Millisecond
	crashesOfRequest = 3
	maxLateRetries   = 3
	soundOrderRate   = 20 // at each gate
)

// runHerdCount sends one request again and again that crashes each worker that begins to run
// it. After each third crash, all gates are killed at the same moment and start again.
func runHerdCount(l *lab) (verdict, error) {
	store, err := l.newStore()
	if err != nil {
		return verdict{}, err
	}
	table := shopTable(1)
	table.Workspaces = map[string][]string{"shop": {"key-shop"}, "other": {"key-other"}}
	if err := store.PutTable(table); err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	var workers []*worker
	crashed := &crashes{}
	spec := workerSpec{service: "shop-api", zone: "zone-a", slots: 6, work: orderWork, deadlyBody: deadlyBody}
	start := func() error {
		w, err := l.newWorker(store, spec)
		if err == nil {
			mu.Lock()
			workers = append(workers, w)
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
	for range herdWorkers {
		if err := start(); err != nil {
			return verdict{}, err
		}
	}
	var gates []*gate
	for i := range herdGates {
		g, err := l.newGate(standin.VM{Node: fmt.Sprintf("edge-%d", i+1), Domain: "zone-a", StoreAddr: store.Addr()})
		if err != nil {
			return verdict{}, err
		}
		gates = append(gates, g)
	}
	startAll := func() error {
		for _, g := range gates {
			if err := g.start(); err != nil {
				return err
			}
		}
		for _, g := range gates {
			if err := g.awaitReady(); err != nil {
				return err
			}
		}
		return nil
	}
	if err := startAll(); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	orders := &tally{}
	for _, g := range gates {
		clients.Go(func() {
			sendAtRate(stop, soundOrderRate, g.vm.CallerAddr, orders, func(int) request {
				return request{host: "shop.example", path: "/order1/1", key: "key-other", deadline: 3 * time.Second, body: []byte("order")}
			})
		})
	}
	client := newClient()
	sent, late := 0, 0
	for life := range herdKills + 1 {
		for range repeatsPerLife {
			time.Sleep(repeatInterval) // all gates have run for contact_ms
			before := len(crashed.at)
			inTouch := before >= crashesOfRequest && time.Since(crashed.at[crashesOfRequest-1]) > contactTime
			r := send(client, gates[sent%len(gates)].vm.CallerAddr, request{host: "shop.example", path: "/order1/1", key: "key-shop", deadline: 3 * time.Second, body: []byte(deadlyBody)})
			sent++
			l.note("the request comes again: status %d, crashes until now %d", r.status, len(crashed.at))
			if inTouch && len(crashed.at) > before {
				late++
			}
		}
		if life == herdKills {
			break
		}
		if l.trouble {
			l.note("all gates are killed")
			for _, g := range gates {
				g.kill()
			}
			time.Sleep(gateRestartTime)
			if err := startAll(); err != nil {
				return verdict{}, err
			}
			l.note("all gates are ready again")
		}
	}
	close(stop)
	clients.Wait()
	l.note("orders of the other tenant by status: %s", orders)
	return verdict{late > maxLateRetries, fmt.Sprintf("%d crashes; %d retries reached workers later than contact_ms after the third crash (bound %d)", len(crashed.at), late, maxLateRetries)}, nil
}
