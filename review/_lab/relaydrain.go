package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/platform/names"
	"github.com/mastichollow/mastichollow/platform/standin"
)

const (
	drainBound = 2500 * time.Millisecond // drain_ms
	cutTime    = 2 * time.Second
	rounds     = 9
	orderRate  = 60
	orderWork  = 60 * time.Millisecond
)

// startDelay is the time from the end of a cut to the start of a new worker, and leaveDelays the
// times from there to the leave of an old one, in turn.
const startDelay = 500 * time.Millisecond

var leaveDelays = []time.Duration{800 * time.Millisecond, 830 * time.Millisecond, 860 * time.Millisecond}

// manifestDelay is the time from a leave to the next manifest, which adds a route.
const manifestDelay = 2050 * time.Millisecond

// exitDelays are the times from a leave to the exit of the worker, in turn: drain_ms and a
// little longer, or many seconds.
var exitDelays = []time.Duration{2800 * time.Millisecond, 5 * time.Second}

// runRelayDrain cuts the gate that follows the store for its zone from the store, again and
// again. After each cut, a worker is replaced: a new one starts, and an old one leaves without
// reporting that it drains. Clients use the
// other gate, which nothing happens to.
func runRelayDrain(l *lab) (verdict, error) {
	store, err := l.newStore()
	if err != nil {
		return verdict{}, err
	}
	if err := store.PutTable(shopTable(1)); err != nil {
		return verdict{}, err
	}
	spec := workerSpec{service: "shop-api", zone: "zone-a", slots: 6, work: orderWork}
	var workers []*worker
	for range 4 {
		w, err := l.newWorker(store, spec)
		if err != nil {
			return verdict{}, err
		}
		workers = append(workers, w)
	}
	gates, links, err := l.twoGates(store)
	if err != nil {
		return verdict{}, err
	}
	relay, member := awaitMember(gates)
	if member < 0 {
		return verdict{}, fmt.Errorf("no gate is served by the other one")
	}
	l.note("%s is served by %s", gates[member].vm.Node, gates[relay].vm.Node)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	orders := &tally{}
	clients.Go(func() {
		sendAtRate(stop, orderRate, gates[member].vm.CallerAddr, orders, func(int) request {
			return request{host: "shop.example", path: "/order1/1", key: "key-shop", deadline: 3 * time.Second, body: []byte("order")}
		})
	})
	late, lost := 0, 0
	for round := range rounds {
		if l.trouble {
			links[relay].cut()
			l.note("round %d: %s is cut from the store", round, gates[relay].vm.Node)
		}
		time.Sleep(cutTime)
		if l.trouble {
			if err := links[relay].heal(); err != nil {
				return verdict{}, err
			}
			l.note("round %d: the cut has ended", round)
		}
		time.Sleep(startDelay)
		replacement, err := l.newWorker(store, spec)
		if err != nil {
			return verdict{}, err
		}
		workers = append(workers, replacement)
		time.Sleep(leaveDelays[round%len(leaveDelays)])
		leaving := workers[0]
		workers = workers[1:]
		store.Delete(names.TableTargets, leaving.id)
		acked := time.Now()
		l.note("round %d: the row of %s is removed", round, leaving.id)
		exitDelay := exitDelays[round%len(exitDelays)]
		time.Sleep(manifestDelay)
		if err := store.PutTable(shopTable(int64(round + 2))); err != nil {
			return verdict{}, err
		}
		time.Sleep(exitDelay - manifestDelay)
		leaving.exit()
		time.Sleep(200 * time.Millisecond)
		tooLate := leaving.ranAfter(acked.Add(drainBound))
		for _, a := range tooLate {
			l.note("  order %s reached %s %d ms after its leave was acknowledged (bound %d ms)", a.id, leaving.id, a.at.Sub(acked).Milliseconds(), drainBound.Milliseconds())
		}
		late += len(tooLate)
	}
	close(stop)
	clients.Wait()
	for _, failed := range orders.failed() {
		lost++
		l.note("  order %s got status %d, whole %t, error %v", failed.id, failed.status, failed.whole, failed.err)
	}
	l.note("orders by status: %s", orders)
	for _, g := range gates {
		l.noteChanges(g)
	}
	return verdict{late > 0, fmt.Sprintf("%d orders reached workers later than drain_ms after these had left; %d orders were not served", late, lost)}, nil
}

// twoGates starts two gates of one zone, each with a link of its own to the store.
func (l *lab) twoGates(store *standin.Store) ([]*gate, []*link, error) {
	var gates []*gate
	var links []*link
	for _, node := range []string{"edge-1", "edge-2"} {
		k, err := l.newLink(store.Addr())
		if err != nil {
			return nil, nil, err
		}
		g, err := l.newGate(standin.VM{Node: node, Domain: "zone-a", StoreAddr: k.addr})
		if err != nil {
			return nil, nil, err
		}
		if err := g.start(); err != nil {
			return nil, nil, err
		}
		gates, links = append(gates, g), append(links, k)
	}
	for _, g := range gates {
		if err := g.awaitReady(); err != nil {
			return nil, nil, err
		}
	}
	return gates, links, nil
}

// awaitMember returns the indexes of the gate that follows the store for both and of the
// other one; -1: there is none.
func awaitMember(gates []*gate) (relay, member int) {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		for i, g := range gates {
			if strings.Contains(g.logLines(), "served by a relay") {
				time.Sleep(3 * time.Second)
				return 1 - i, i
			}
		}
	}
	return -1, -1
}

// noteChanges copies the lines of a gate's log about its relay, the store and the list of
// workers to the record.
func (l *lab) noteChanges(g *gate) {
	for line := range strings.Lines(g.logLines()) {
		for _, text := range []string{"served by a relay", "relay lost", "targets changed", "store lost", "store regained"} {
			if strings.Contains(line, `"@message":"`+text) {
				l.note("log of %s: %s", g.vm.Node, strings.TrimSpace(line))
			}
		}
	}
}

// shopTable returns a manifest with the version, which has as many routes.
func shopTable(version int64) standin.Table {
	table := standin.Table{Version: version, SlotsPerTarget: 6, Workspaces: map[string][]string{"shop": {"key-shop"}}}
	for i := range version {
		table.Routes = append(table.Routes, standin.Route{
			Name: fmt.Sprintf("order-%d", i+1), Host: "shop.example", Prefix: fmt.Sprintf("/order%d/", i+1), Service: "shop-api", Kind: standin.AtMostOnce,
			Timeout: 3 * time.Second, LatencyObjective: 300 * time.Millisecond, MaxTargets: 1,
		})
	}
	return table
}
