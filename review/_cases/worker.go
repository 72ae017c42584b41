package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/platform/names"
	"github.com/mastichollow/mastichollow/platform/standin"
)

const (
	// entryLifetime is three status report intervals: the entry of a silent worker is
	// removed after that.
	entryLifetime = 3600 * time.Millisecond
	workerSlots   = 6
	// crashMark is the content of a body that crashes the worker that begins to run it.
	crashMark = "crashes-workers"
)

// run is a request that a worker began to run.
type run struct {
	id, worker, workspace, path string
	crashes                     bool
	at                          time.Time
	complete                    bool // the response was written
}

// worker is a worker of a plain service at one address. It holds one lifetime after
// another.
type worker struct {
	lab     *lab
	service string
	zone    string
	host    int
	work    time.Duration
	// sameID is set for a worker that starts again under the id that it had.
	sameID       bool
	restartAfter time.Duration
	harmless     bool // neither crashMark nor crashPart crashes this worker
	stream       *streamConfig

	mu       sync.Mutex
	lifetime int
	id       string
	server   *http.Server
	runs     []*run
	crashes  []time.Time
}

func (l *lab) addWorker(service string, index int, zone string) *worker {
	return &worker{lab: l, service: service, zone: zone, host: workerHost + index, work: 100 * time.Millisecond, restartAfter: 2500 * time.Millisecond}
}

type workerConn struct{}

// start begins a lifetime and reports it to the store.
func (w *worker) start() error {
	listener, err := net.Listen("tcp4", w.lab.addr(w.host, workerPort))
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lifetime++
	if w.id == "" || !w.sameID {
		w.id = fmt.Sprintf("i-%02x%06x", w.host, w.lifetime)
	}
	id := w.id
	w.server = &http.Server{
		Handler:     http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(id, rw, r) }),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, workerConn{}, c) },
	}
	server := w.server
	go func() { _ = server.Serve(listener) }()
	w.putRow(names.StateReady)
	w.lab.record("worker %s at %s: lifetime %d begins", id, listener.Addr(), w.lifetime)
	return nil
}

// drain reports that the worker leaves; it continues to serve.
func (w *worker) drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.putRow(names.StateDraining)
	w.lab.record("worker %s: reports that it is draining", w.id)
}

func (w *worker) putRow(state string) {
	w.lab.store.PutTarget(standin.TargetRow{
		ID: w.id, Service: w.service, Addr: w.lab.addr(w.host, workerPort), Domain: w.zone, Slots: workerSlots, State: state,
		Sequence: 1, Born: time.Now().UnixMilli(),
	})
}

// crash ends the lifetime: all its connections are closed and new ones refused. The
// worker is back after restartAfter.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, server := w.id, w.server
	w.crashes = append(w.crashes, time.Now())
	w.lab.record("worker %s: crashes", id)
	server.Close()
	time.AfterFunc(w.restartAfter, func() {
		if err := w.start(); err != nil {
			w.lab.record("worker %s: cannot start again: %v", id, err)
		}
	})
	if !w.sameID {
		time.AfterFunc(entryLifetime, func() { w.lab.store.Delete(names.TableTargets, id) })
	}
}

func (w *worker) serve(id string, rw http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(names.AttemptID)
	rw.Header().Set(names.AttemptID, attempt)
	if expected := r.Header.Get(names.ExpectInstance); expected != "" && expected != id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the gate has closed the connection
	}
	if w.stream != nil {
		w.serveStream(id, rw, r)
		return
	}
	current := &run{id: attempt, worker: id, workspace: r.Header.Get(names.Tenant), path: r.URL.Path, at: time.Now()}
	current.crashes = strings.HasPrefix(string(body), crashMark)
	w.mu.Lock()
	w.runs = append(w.runs, current)
	w.mu.Unlock()
	w.lab.record("worker %s: runs %s of tenant %q", id, attempt, current.workspace)
	if current.crashes && !w.harmless {
		w.lab.record("worker %s: %s crashes it", id, attempt)
		w.crash()
		return
	}
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		w.lab.record("worker %s: request %s is cut off", id, attempt)
		return
	}
	rw.Header().Set(names.ResponseSeal, "seal-"+attempt)
	answer := strings.Repeat("answer to "+attempt+"\n", 20)
	if _, err := io.WriteString(rw, answer); err == nil {
		w.mu.Lock()
		current.complete = true
		w.mu.Unlock()
	}
}

// allRuns returns the runs of workers by attempt.
func allRuns(workers []*worker) map[string][]run {
	all := make(map[string][]run)
	for _, w := range workers {
		w.mu.Lock()
		for _, r := range w.runs {
			all[r.id] = append(all[r.id], *r)
		}
		w.mu.Unlock()
	}
	return all
}
