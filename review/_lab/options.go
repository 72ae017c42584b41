package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/mastichollow/mastichollow/platform/names"
	"github.com/mastichollow/mastichollow/platform/standin"
)

const optionsRequests = 20

// runOptions asks a gate for "OPTIONS *", a request that no route matches, without a key.
func runOptions(l *lab) (verdict, error) {
	store, err := l.newStore()
	if err != nil {
		return verdict{}, err
	}
	if err := store.PutTable(shopTable(1)); err != nil {
		return verdict{}, err
	}
	w, err := l.newWorker(store, workerSpec{service: "shop-api", zone: "zone-a", slots: 6, work: 20 * time.Millisecond})
	if err != nil {
		return verdict{}, err
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
	target := "/none/1"
	if l.trouble {
		target = "*"
	}
	unsealed := 0
	for n := range optionsRequests {
		id := fmt.Sprintf("%016x", n+1)
		status, seal, err := rawOptions(g.vm.CallerAddr, target, id)
		if err != nil {
			return verdict{}, err
		}
		l.note("OPTIONS %s, attempt %s: status %d, seal %q", target, id, status, seal)
		if status >= 200 && status < 300 && seal == "" {
			unsealed++
		}
	}
	l.note("the worker ran %d requests", len(w.ranAfter(l.started)))
	return verdict{unsealed > 0, fmt.Sprintf("%d of %d requests got a success without the seal of a worker", unsealed, optionsRequests)}, nil
}

func rawOptions(addr, target, id string) (status int, seal string, err error) {
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	fmt.Fprintf(conn, "OPTIONS %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 3000\r\n\r\n", target, names.AttemptID, id, names.Deadline)
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodOptions})
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get(names.ResponseSeal), err
}
