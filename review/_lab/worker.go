package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mastichollow/mastichollow/platform/names"
	"github.com/mastichollow/mastichollow/platform/standin"
)

// workerSpec describes a worker.
type workerSpec struct {
	service string
	zone    string
	slots   int
	events  int           // of each answer; 0: a plain answer
	gap     time.Duration // between two events
	work    time.Duration // before the answer, or the first event
	// deadly is a part of prompts that crashes the worker when it begins to write an answer on
	// it; empty: none. onCrash is called then.
	deadly string
	// deadlyBody is the body of a request that crashes the worker when it begins to run it.
	deadlyBody string
	onCrash    func(w *worker)
}

// arrival is a request that reached a worker and was run.
type arrival struct {
	at     time.Time
	id     string // of the requester's attempt
	deadly bool
}

// worker is a sound worker: it runs what is meant for it and answers in full.
type worker struct {
	spec     workerSpec
	id, addr string
	born     int64
	server   *http.Server
	running  atomic.Int64

	mu       sync.Mutex
	arrivals []arrival
}

var workerCount atomic.Int64

// newWorker starts a worker and registers it in the store.
func (l *lab) newWorker(store *standin.Store, spec workerSpec) (*worker, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{spec: spec, id: fmt.Sprintf("i-%04d", workerCount.Add(1)), addr: listener.Addr().String(), born: time.Now().UnixMilli()}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve), MaxHeaderBytes: 64 << 10}
	go func() { _ = w.server.Serve(listener) }()
	l.atClose(w.exit)
	store.PutTarget(standin.TargetRow{ID: w.id, Service: spec.service, Addr: w.addr, Domain: spec.zone, Slots: spec.slots, State: names.StateReady, Sequence: 1, Born: w.born})
	return w, nil
}

// exit ends the worker at once.
func (w *worker) exit() { _ = w.server.Close() }

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.AttemptID)
	h := rw.Header()
	h.Set(names.AttemptID, id)
	if r.Header.Get(names.ExpectInstance) != w.id {
		h.Set(names.NotExecuted, "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	deadly := w.spec.deadly != "" && strings.Contains(","+r.Header.Get(names.PrefixHash), ","+w.spec.deadly+":") ||
		w.spec.deadlyBody != "" && string(body) == w.spec.deadlyBody
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrival{time.Now(), id, deadly})
	w.mu.Unlock()
	w.running.Add(1)
	defer w.running.Add(-1)
	h.Set(names.ResponseSeal, "seal-"+id)
	if deadly && w.spec.events == 0 {
		w.spec.onCrash(w)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(w.spec.work):
	case <-r.Context().Done():
		return
	}
	if w.spec.events == 0 {
		body := plainAnswer(id)
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(rw, body)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	if deadly {
		rw.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(rw).Flush()
		w.spec.onCrash(w)
		panic(http.ErrAbortHandler)
	}
	for number := 1; number <= w.spec.events; number++ {
		fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", number, id)
		if w.spec.gap == 0 {
			continue
		}
		_ = http.NewResponseController(rw).Flush()
		select {
		case <-time.After(w.spec.gap):
		case <-r.Context().Done():
			return
		}
	}
}

func plainAnswer(id string) string { return "answer to " + id + "\n" }

// ran returns the requests that the worker ran after a time.
func (w *worker) ranAfter(at time.Time) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var late []arrival
	for _, a := range w.arrivals {
		if a.at.After(at) {
			late = append(late, a)
		}
	}
	return late
}
