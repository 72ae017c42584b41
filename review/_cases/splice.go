package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/platform/names"
	"github.com/mastichollow/mastichollow/platform/standin"
)

const (
	// spoiledShare is the share of the answers that a faulty worker spoils; the site's
	// days have up to 0.03 for extra answers and 0.05 without.
	spoiledShare = 0.02
	// extraDelay is how late the second copy of an answer comes.
	extraDelay   = 20 * time.Millisecond
	spliceCaller = 8 // requesters with a kept connection at each gate
	spliceTime   = 40 * time.Second
	// spoilTime is how long the worker is faulty, every spoilPeriod; the site has 5 s.
	spoilTime, spoilPeriod = 5 * time.Second, 9 * time.Second
	splicePause            = 100 * time.Millisecond
)

func init() {
	cases["splice"] = playSplice
}

// rawWorker is a worker of a plain service that writes its answers itself. If it is
// faulty, it truncates some answers inside the head, and a second copy of the answer
// before comes late on the same connection.
type rawWorker struct {
	lab    *lab
	id     string
	faulty bool
	begin  time.Time // of the traffic

	mu      sync.Mutex
	spoiled map[string]string // attempt whose answer was truncated, and whose copy followed
}

func answerBody(attempt string) string { return strings.Repeat("answer to "+attempt+"\n", 20) }

func (w *rawWorker) answer(attempt string) []byte {
	body := answerBody(attempt)
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Type: text/plain\r\nDate: %s\r\nContent-Length: %d\r\n\r\n%s",
		names.AttemptID, attempt, names.ResponseSeal, attempt, time.Now().UTC().Format(http.TimeFormat), len(body), body)
}

func (w *rawWorker) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	previous, previousAttempt := []byte(nil), ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		attempt := req.Header.Get(names.AttemptID)
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if expected := req.Header.Get(names.ExpectInstance); expected != "" && expected != w.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names.AttemptID, attempt)
			continue
		}
		w.lab.record("worker %s: runs %s", w.id, attempt)
		time.Sleep(5 * time.Millisecond)
		data := w.answer(attempt)
		if w.faulty && time.Since(w.begin)%spoilPeriod < spoilTime && previous != nil && rand.Float64() < spoiledShare {
			head := bytes.Index(data, []byte("\r\n\r\n"))
			begin := bytes.IndexByte(data, '\n') + 1
			cut := begin + rand.IntN(head-begin)
			w.mu.Lock()
			w.spoiled[attempt] = previousAttempt
			w.mu.Unlock()
			w.lab.record("worker %s: truncates the answer to %s after %q; the second copy of the answer to %s follows", w.id, attempt, data[:cut], previousAttempt)
			_, _ = c.Write(data[:cut])
			time.Sleep(extraDelay)
			data = previous
		} else {
			previousAttempt = attempt
		}
		if _, err := c.Write(data); err != nil {
			return
		}
		previous = data
	}
}

// playSplice: workers truncate some answers, and send a second copy of the one before.
func playSplice(l *lab, trouble bool) (bool, error) {
	l.putManifest(manifestTemplate)
	var workers []*rawWorker
	for i, zone := range []string{"hooghly-a", "sundarban-a"} {
		w := &rawWorker{lab: l, id: fmt.Sprintf("i-%02x", i), faulty: trouble && i == 0, begin: l.started.Add(contactTime), spoiled: make(map[string]string)}
		listener, err := net.Listen("tcp4", l.addr(workerHost+i, workerPort))
		if err != nil {
			return false, err
		}
		defer listener.Close()
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				go w.serve(c)
			}
		}()
		l.store.PutTarget(standin.TargetRow{ID: w.id, Service: "wuno96b", Addr: listener.Addr().String(), Domain: zone, Slots: workerSlots, State: names.StateReady, Sequence: 1, Born: time.Now().UnixMilli()})
		workers = append(workers, w)
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
	var wg sync.WaitGroup
	counts := make(map[string]int)
	wrong := 0
	var mu sync.Mutex
	end := time.Now().Add(spliceTime)
	for _, g := range gates {
		for range spliceCaller {
			wg.Go(func() {
				for time.Now().Before(end) {
					a, body := sendForBody(g.front(), request{host: testHost, path: orderPath, key: shopKey, body: []byte("one jar"), timeout: orderTimeout})
					foreign := a.err == nil && a.status == http.StatusOK && body != answerBody(a.id)
					l.record("requester: order %s at %s, sent at %.3f: %s", a.id, g.name, l.since(a.sent), a.outcome())
					mu.Lock()
					counts[a.outcome()[:min(len(a.outcome()), 24)]]++
					if foreign {
						wrong++
						l.record("requester: attempt %s at %s got status 200, complete, with the body %q...", a.id, g.name, body[:min(len(body), 60)])
					}
					mu.Unlock()
					time.Sleep(splicePause)
				}
			})
		}
	}
	wg.Wait()
	for _, w := range workers {
		w.mu.Lock()
		l.record("worker %s truncated %d answers", w.id, len(w.spoiled))
		w.mu.Unlock()
	}
	l.record("outcomes of the attempts: %v", counts)
	l.record("complete successes with the body of another request: %d", wrong)
	return wrong > 0, nil
}
