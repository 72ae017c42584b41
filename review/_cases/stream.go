package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mastichollow/mastichollow/platform/names"
)

// streamConfig makes a worker a model worker that answers with a stream of events.
type streamConfig struct {
	prefill time.Duration // to the first event
	gap     time.Duration // between two events
	events  int
	// pauseAfter is the event after which a request is preempted for pauseTime; 0: none. The
	// oldest requests, spared in number, are not preempted.
	pauseAfter int
	spared     int
	pauseTime  time.Duration
	// crashPart is the hash of the part of prompts that crashes the worker when it begins
	// to write an answer; empty: none.
	crashPart string
}

// serveStream answers with events from the one after Last-Event-Id.
func (w *worker) serveStream(id string, rw http.ResponseWriter, r *http.Request) {
	attempt, cfg := r.Header.Get(names.AttemptID), w.stream
	after, _ := strconv.Atoi(r.Header.Get(names.LastEventID)) // 0: from the start
	if !w.wait(id, attempt, r, cfg.prefill) {
		return
	}
	current := &run{id: attempt, worker: id, workspace: r.Header.Get(names.Tenant), path: r.URL.Path, at: time.Now()}
	current.crashes = cfg.crashPart != "" && strings.Contains(r.Header.Get(names.PrefixHash), cfg.crashPart+":")
	w.mu.Lock()
	w.runs = append(w.runs, current)
	newest := len(w.runs) > cfg.spared
	w.mu.Unlock()
	w.lab.record("worker %s: runs %s after event %d", id, attempt, after)
	rw.Header().Set(names.ResponseSeal, "seal-"+attempt)
	rw.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(rw)
	if current.crashes && !w.harmless {
		_ = control.Flush()
		w.lab.record("worker %s: %s crashes it", id, attempt)
		w.crash()
		return
	}
	for n := after + 1; n <= cfg.events; n++ {
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", n, attempt, n); err != nil {
			return
		}
		if control.Flush() != nil || n < cfg.events && !w.wait(id, attempt, r, cfg.gap) {
			return
		}
		if n == cfg.pauseAfter && newest {
			w.lab.record("worker %s: preempts %s for %v", id, attempt, cfg.pauseTime)
			if !w.wait(id, attempt, r, cfg.pauseTime) {
				return
			}
		}
	}
	w.mu.Lock()
	current.complete = true
	w.mu.Unlock()
	w.lab.record("worker %s: has answered %s", id, attempt)
}

// wait waits and reports false if the gate closes the connection meanwhile.
func (w *worker) wait(id, attempt string, r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		w.lab.record("worker %s: the connection of %s is closed", id, attempt)
		return false
	}
}

// streamRequest describes a request for a stream.
type streamRequest struct {
	host, path, key string
	parts           string // of the prompt
	prompt, output  int    // tokens
	timeout         time.Duration
	patience        time.Duration // the longest gap before the requester leaves
}

// streamAttempt is an attempt for a stream and what came of it.
type streamAttempt struct {
	attempt
	events    int
	firstGap  time.Duration // to the first event
	longest   time.Duration // gap between events
	abandoned bool          // the requester left
}

func (a *streamAttempt) describe() string {
	return fmt.Sprintf("%s, %d events, longest gap %.2f s", a.outcome(), a.events, a.longest.Seconds())
}

// sendStream sends a request for a stream on a new connection and reads the events.
func sendStream(gateAddr string, r streamRequest) streamAttempt {
	a := streamAttempt{attempt: attempt{id: newAttemptID(), path: r.path, key: r.key, sent: time.Now()}}
	a.err = a.exchangeStream(gateAddr, r)
	a.answered = time.Now()
	return a
}

var errAbandoned = errors.New("the requester left")

func (a *streamAttempt) exchangeStream(gateAddr string, r streamRequest) error {
	conn, err := net.DialTimeout("tcp4", gateAddr, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	deadline := a.sent.Add(r.timeout)
	_ = conn.SetDeadline(deadline)
	body := strings.Repeat("x", 4*r.prompt)
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: m\r\n%s: %d,%d\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", r.path, r.host,
		names.AttemptID, a.id, names.Model, names.TokenCounts, r.prompt, r.output, names.PrefixHash, r.parts,
		names.Deadline, r.timeout.Milliseconds(), names.Key, r.key, len(body), body); err != nil {
		return err
	}
	last := time.Now()
	setReadDeadline(conn, last, r.patience, deadline)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return a.leave(err, last, r.patience)
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		return err
	}
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return a.leave(err, last, r.patience)
		}
		if !strings.HasPrefix(line, "id:") {
			continue
		}
		now := time.Now()
		if a.events == 0 {
			a.firstGap = now.Sub(last)
		} else {
			a.longest = max(a.longest, now.Sub(last))
		}
		a.events++
		last = now
		setReadDeadline(conn, last, r.patience, deadline)
	}
}

func setReadDeadline(conn net.Conn, last time.Time, patience time.Duration, deadline time.Time) {
	readDeadline := last.Add(patience)
	if deadline.Before(readDeadline) {
		readDeadline = deadline
	}
	_ = conn.SetReadDeadline(readDeadline)
}

// leave tells an error of the connection from the requester's own leaving.
func (a *streamAttempt) leave(err error, last time.Time, patience time.Duration) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		a.abandoned = true
		a.longest = max(a.longest, patience)
		return errors.Join(errAbandoned, err)
	}
	a.longest = max(a.longest, time.Since(last))
	return err
}
