package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/mastichollow/mastichollow/platform/names"
)

// clientTimeout bounds a request of a client beyond what it tells the system.
const clientTimeout = 5 * time.Second

var attempts atomic.Int64

// request is one request of a client.
type request struct {
	host, path, key string
	deadline        time.Duration
	counts, parts   string // of a prompt; empty: none
	body            []byte
}

// result is what the client saw.
type result struct {
	id     string
	sentAt time.Time
	took   time.Duration
	kept   bool // sent on a connection that had carried another request
	status int  // 0: the connection ended without an answer
	whole  bool
	err    error
}

func newClient() *http.Client {
	return &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}
}

// send sends the request to a gate and reads the whole answer.
func send(c *http.Client, addr string, req request) (res result) {
	res = result{id: fmt.Sprintf("%016x", attempts.Add(1)), sentAt: time.Now()}
	defer func() { res.took = time.Since(res.sentAt) }()
	hreq, err := http.NewRequest(http.MethodPost, "http://"+addr+req.path, bytes.NewReader(req.body))
	if err != nil {
		res.err = err
		return res
	}
	hreq.Host = req.host
	hreq = hreq.WithContext(httptrace.WithClientTrace(hreq.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { res.kept = info.Reused }}))
	hreq.Header.Set(names.AttemptID, res.id)
	hreq.Header.Set(names.Deadline, strconv.FormatInt(req.deadline.Milliseconds(), 10))
	hreq.Header.Set(names.Key, req.key)
	if req.counts != "" {
		hreq.Header.Set(names.TokenCounts, req.counts)
		hreq.Header.Set(names.PrefixHash, req.parts)
	}
	resp, err := c.Do(hreq)
	if err != nil {
		res.err = err
		return res
	}
	defer resp.Body.Close()
	res.status = resp.StatusCode
	_, err = io.Copy(io.Discard, resp.Body)
	res.whole, res.err = err == nil, err
	return res
}
