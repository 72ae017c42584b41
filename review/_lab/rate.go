package main

import (
	"fmt"
	"sync"
	"time"
)

// tally counts results by status.
type tally struct {
	mu       sync.Mutex
	statuses map[int]int
	results  []result
}

func (t *tally) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.statuses == nil {
		t.statuses = make(map[int]int)
	}
	t.statuses[r.status]++
	t.results = append(t.results, r)
}

// String returns the numbers of answers by status; 0 is no answer.
func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.statuses)
}

// all returns the results.
func (t *tally) all() []result {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.results
}

// failed returns the results that are no whole answer with status 200.
func (t *tally) failed() []result {
	t.mu.Lock()
	defer t.mu.Unlock()
	var failed []result
	for _, r := range t.results {
		if r.status != 200 || !r.whole {
			failed = append(failed, r)
		}
	}
	return failed
}

// sendAtRate sends requests at a steady rate until stop is closed, and waits for the answers.
func sendAtRate(stop <-chan struct{}, perSecond int, addr string, results *tally, next func(n int) request) {
	client := newClient()
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		running.Go(func() { results.add(send(client, addr, next(n))) })
	}
}
