package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mastichollow/mastichollow/platform/names"
)

// attempt is one attempt of a requester and what came of it.
type attempt struct {
	id, path, key string
	sent          time.Time
	gate          string // empty: not recorded
	kept          bool   // sent on a connection that had carried an answer
	status        int    // 0: the connection ended without an answer
	closes        bool   // the answer says that the connection ends
	err           error
	answered      time.Time
}

func (a *attempt) outcome() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer (%v)", a.err)
	}
	return strconv.Itoa(a.status)
}

func newAttemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// request describes what a requester sends.
type request struct {
	host, path, key string
	body            []byte
	timeout         time.Duration
	// uploadTime is how long the requester's own link takes for the body; 0: sent at once.
	uploadTime time.Duration
}

const uploadStep = 50 * time.Millisecond

// send sends a request on a new connection and reads the answer.
func send(gateAddr string, r request) attempt {
	a := attempt{id: newAttemptID(), path: r.path, key: r.key, sent: time.Now()}
	a.err = a.exchange(gateAddr, r, io.Discard)
	a.answered = time.Now()
	return a
}

// sendForBody is send, and returns the body of the answer too.
func sendForBody(gateAddr string, r request) (attempt, string) {
	var body strings.Builder
	a := attempt{id: newAttemptID(), path: r.path, key: r.key, sent: time.Now()}
	a.err = a.exchange(gateAddr, r, &body)
	a.answered = time.Now()
	return a, body.String()
}

func (a *attempt) exchange(gateAddr string, r request, body io.Writer) error {
	conn, err := net.DialTimeout("tcp4", gateAddr, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	return a.exchangeOn(conn, bufio.NewReader(conn), r, body)
}

// exchangeOn sends a request on a connection and reads the answer.
func (a *attempt) exchangeOn(conn net.Conn, reader *bufio.Reader, r request, body io.Writer) error {
	_ = conn.SetDeadline(a.sent.Add(r.timeout))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", r.path, r.host,
		names.AttemptID, a.id, names.Deadline, r.timeout.Milliseconds(), names.Key, r.key, len(r.body))
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	if err := upload(conn, r); err != nil {
		return err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	a.closes = resp.Close
	a.status = resp.StatusCode
	_, err = io.Copy(body, resp.Body)
	return err
}

// upload sends the body at an even rate.
func upload(conn net.Conn, r request) error {
	if r.uploadTime == 0 {
		_, err := conn.Write(r.body)
		return err
	}
	steps := max(int(r.uploadTime/uploadStep), 1)
	begin := time.Now()
	for step, sent := 1, 0; step <= steps; step++ {
		end := len(r.body) * step / steps
		if _, err := conn.Write(r.body[sent:end]); err != nil {
			return err
		}
		sent = end
		time.Sleep(time.Until(begin.Add(time.Duration(step) * r.uploadTime / time.Duration(steps))))
	}
	return nil
}

// keptConn is a connection that has carried an answer.
type keptConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (c *keptConn) close() {
	if c != nil {
		c.conn.Close()
	}
}

// send sends a request on the connection, or on a new one if there is none. It returns the
// connection to keep, nil if it has ended.
func (c *keptConn) send(gateAddr string, r request) (attempt, *keptConn) {
	a := attempt{id: newAttemptID(), path: r.path, key: r.key, sent: time.Now(), kept: c != nil}
	if c == nil {
		conn, err := net.DialTimeout("tcp4", gateAddr, time.Second)
		if err != nil {
			a.err, a.answered = err, time.Now()
			return a, nil
		}
		c = &keptConn{conn, bufio.NewReader(conn)}
	}
	a.err = a.exchangeOn(c.conn, c.reader, r, io.Discard)
	a.answered = time.Now()
	if a.err != nil || a.closes {
		c.close()
		return a, nil
	}
	return a, c
}
