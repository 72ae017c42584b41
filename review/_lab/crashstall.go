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
	// blockTokens is the size of a part; blocksPerPrompt of them are a prompt of 16,000 tokens.
	blockTokens     = 16
	blocksPerPrompt = 1000
	streamCount     = 240 // in flight at the same time
	documentCount   = 200 // long prompts that the streams share, each with a last part of its own
	streamLength    = 9 * time.Second
	orderPerSecond  = 50
	orderTimeout    = 1200 * time.Millisecond // timeout_ms of the orders' route
	answerGrace     = 500 * time.Millisecond
	stallRounds     = 3
)

// runCrashStall crashes one engine of twelve while it streams answers to long prompts. Orders
// for another service go through the same gate.
func runCrashStall(l *lab) (verdict, error) {
	store, err := l.newStore()
	if err != nil {
		return verdict{}, err
	}
	err = store.PutTable(standin.Table{
		Version: 1, SlotsPerTarget: engineSlots, TokensPerSecond: tokensPerS,
		Routes: []standin.Route{
			{
				Name: "letter", Host: "shop.example", Prefix: "/letter/", Service: "letter-writer", Kind: standin.Stream,
				Timeout: 15 * time.Second, LatencyObjective: 1200 * time.Millisecond, MaxTargets: 1, PrefixAffinity: true,
			},
			{
				Name: "order", Host: "shop.example", Prefix: "/order/", Service: "shop-api", Kind: standin.AtMostOnce,
				Timeout: orderTimeout, LatencyObjective: 300 * time.Millisecond, MaxTargets: 1,
			},
		},
		Workspaces:        map[string][]string{"family": {"key-family"}, "shop": {"key-shop"}},
		EngineCacheTokens: map[string]int{"letter-writer": 489201},
	})
	if err != nil {
		return verdict{}, err
	}
	engineSpec := workerSpec{service: "letter-writer", zone: "zone-a", slots: engineSlots, events: 45, gap: streamLength / 45, work: 20 * time.Millisecond}
	var engines []*worker
	for range engineCount {
		w, err := l.newWorker(store, engineSpec)
		if err != nil {
			return verdict{}, err
		}
		engines = append(engines, w)
	}
	for range 3 {
		if _, err := l.newWorker(store, workerSpec{service: "shop-api", zone: "zone-a", slots: 6, work: 20 * time.Millisecond}); err != nil {
			return verdict{}, err
		}
	}
	g, err := l.newGate(standin.VM{Node: "edge-1", Domain: "zone-a", StoreAddr: store.Addr()})
	if err != nil {
		return verdict{}, err
	}
	if err := g.start(); err != nil {
		return verdict{}, err
	}
	if err := g.awaitReady(); err != nil {
		return verdict{}, err
	}
	time.Sleep(contactTime)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	streams, orders := &tally{}, &tally{}
	client := newClient()
	client.Timeout = 20 * time.Second
	for i := range streamCount {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * streamLength / streamCount)
			for n := i; ; n += streamCount {
				select {
				case <-stop:
					return
				default:
				}
				r := send(client, g.vm.CallerAddr, request{
					host: "shop.example", path: "/letter/1", key: "key-family", deadline: 15 * time.Second,
					counts: fmt.Sprintf("%d,200", blocksPerPrompt*blockTokens), parts: blockList((n*7+n/streamCount)%documentCount) + fmt.Sprintf(",%x:%d", 1<<32+n, blockTokens), body: []byte("letter"),
				})
				streams.add(r)
				if r.status != 200 {
					time.Sleep(time.Second)
				}
			}
		})
	}
	clients.Go(func() {
		sendAtRate(stop, orderPerSecond, g.vm.CallerAddr, orders, func(int) request {
			return request{host: "shop.example", path: "/order/1", key: "key-shop", deadline: 3 * time.Second, body: []byte("order")}
		})
	})
	time.Sleep(streamLength + 2*time.Second)
	for round := range stallRounds {
		crashed := engines[round]
		if l.trouble {
			l.note("%s crashes; it runs %d requests", crashed.id, crashed.running.Load())
			crashed.exit()
			time.Sleep(restartTime)
			replacement, err := l.newWorker(store, engineSpec)
			if err != nil {
				return verdict{}, err
			}
			engines = append(engines, replacement)
			time.Sleep(silenceTime - restartTime)
			store.Delete(names.TableTargets, crashed.id)
		}
		time.Sleep(8 * time.Second)
	}
	close(stop)
	clients.Wait()

	unanswered, held, longest := 0, 0, time.Duration(0)
	for _, r := range orders.all() {
		longest = max(longest, r.took)
		if r.took > orderTimeout {
			unanswered++
		}
		if r.took > orderTimeout+answerGrace {
			held++
			l.note("order %s, sent at %.3f, was answered after %d ms with status %d", r.id, r.sentAt.Sub(l.started).Seconds(), r.took.Milliseconds(), r.status)
		}
	}
	l.note("streams by status: %s; orders by status: %s; longest order %d ms", streams, orders, longest.Milliseconds())
	return verdict{2*held > unanswered, fmt.Sprintf("%d orders were unanswered at timeout_ms, %d of them half a second later", unanswered, held)}, nil
}

// blockList returns the parts of the n-th document.
func blockList(n int) string {
	entries := make([]string, blocksPerPrompt)
	for i := range entries {
		entries[i] = fmt.Sprintf("%06x:%d", n*blocksPerPrompt+i, blockTokens)
	}
	return strings.Join(entries, ",")
}
