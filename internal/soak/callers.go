package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/platform/standin"
)

const (
	// patience is how long callers wait; routes allow plain calls less.
	patience     = 4 * time.Second
	plainTimeout = 2500 * time.Millisecond
	// streamTimeout is that of streams; they last up to 0.6 s.
	streamTimeout = 4 * time.Second
	// lateMargin is what a caller waits beyond the time limit before it calls an
	// answer late: the platform allows 0.5 s, a shared machine as much again.
	lateMargin  = time.Second
	dialTimeout = time.Second
	// longestThink bounds the pause between two calls of a caller.
	longestThink = 60 * time.Millisecond
	// giveUpShare of the calls are left before their answer, within longestStay.
	giveUpShare = 0.04
	longestStay = 150 * time.Millisecond
	// oldKeyShare of the calls with a key use one that was taken away, if any.
	oldKeyShare = 0.05
	// freshShare of the calls are sent on a new connection.
	freshShare = 0.05
	// sameShare of the calls have no body and are the same on their route.
	sameShare = 0.2
	// largestBody bounds bodies, in bytes; a tenth is longer than what a
	// connection buffers.
	largestBody = 2 << 10
	longBody    = 200 << 10
	mostEvents  = 12
)

// Record is one call and what its caller saw.
type Record struct {
	Call   standin.Call
	Route  *standin.Route
	Events int // of a stream
	Gate   int
	Fresh  bool // first call on its connection
	Steady bool // sent in the calm at the end
	Start  time.Time
	End    time.Time
	Answer standin.Response // Status 0: none
	Err    error            // nil if a whole head came
	// Refused is set if no connection could be made.
	Refused bool
	// Left is when the caller left before the answer, if it did.
	Left time.Time
	// OldKey is set if the key had been taken away before the call.
	OldKey bool
}

// caller sends calls to a gate, one after the other, on connections that it
// keeps until they end.
type caller struct {
	run    *run
	gate   int
	name   string
	random *rand.Rand
	sent   int
	steady bool

	conn   net.Conn
	reader *bufio.Reader
}

// loop sends calls until ctx ends.
func (c *caller) loop(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		c.run.record(c.call(c.choose()))
		clock.Sleep(ctx, time.Duration(c.random.Int64N(int64(longestThink))))
	}
}

func (c *caller) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// choose makes the next call.
func (c *caller) choose() Record {
	route := &routes[c.random.IntN(len(routes))]
	c.sent++
	r := Record{Route: route, Gate: c.gate, Steady: c.steady}
	r.Call = standin.Call{
		ID: fmt.Sprintf("%s%06x", c.name, c.sent), Host: route.Host, Path: route.Prefix + "0", Timeout: patience,
	}
	if c.random.Float64() >= sameShare {
		r.Call.Body = c.body(r.Call.ID)
	}
	if route.Kind == standin.Stream || route.Kind == standin.ResumableStream {
		r.Events = 1 + c.random.IntN(mostEvents)
		r.Call.Path = route.Prefix + strconv.Itoa(r.Events)
		r.Call.PromptTokens, r.Call.MaxOutputTokens = 100+c.random.IntN(1000), r.Events
		r.Call.PromptParts = fmt.Sprintf("a%x:80,%x:%d", c.random.IntN(8), c.random.Uint32(), r.Call.PromptTokens-80)
	}
	if !route.Public {
		r.Call.Key, r.OldKey = c.run.operator.key(c.random, !c.steady && c.random.Float64() < oldKeyShare)
	}
	return r
}

// body returns a body that no other call has.
func (c *caller) body(id string) []byte {
	size := c.random.IntN(largestBody)
	if c.random.IntN(10) == 0 {
		size = c.random.IntN(longBody)
	}
	return append([]byte(id), make([]byte, size)...)
}

// call sends a call and reads its answer.
func (c *caller) call(r Record) Record {
	if c.random.Float64() < freshShare {
		c.hangUp()
	}
	r.Start = time.Now()
	if c.conn == nil {
		r.Fresh = true
		conn, err := net.DialTimeout("tcp4", c.run.gates[c.gate].Callers.Addr(), dialTimeout)
		if err != nil {
			r.Refused, r.Err, r.End = true, err, time.Now()
			return r
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(r.Start.Add(r.Route.Timeout + lateMargin))
	if !c.steady && c.random.Float64() < giveUpShare {
		stay := time.Duration(c.random.Int64N(int64(longestStay)))
		_ = c.conn.SetDeadline(r.Start.Add(stay))
		r.Left = r.Start.Add(stay)
	}
	r.Answer, r.Err = c.exchange(r)
	r.End = time.Now()
	if r.Err == nil && !r.Answer.Truncated || r.End.Before(r.Left) {
		r.Left = time.Time{} // the answer or its failure came before
	}
	if r.Err != nil || r.Answer.Truncated || r.Answer.ConnectionClosed {
		c.hangUp()
	}
	return r
}

func (c *caller) exchange(r Record) (standin.Response, error) {
	req, err := r.Call.Request()
	if err != nil {
		return standin.Response{}, err
	}
	if err := req.Write(c.conn); err != nil {
		// An answer may have come before the whole body was sent.
		answer, rerr := r.Call.ReadResponse(c.reader, r.Events)
		if rerr == nil {
			answer.ConnectionClosed = true
			return answer, nil
		}
		return standin.Response{}, errors.CombineErrors(errors.Wrap(err, "sending"), rerr)
	}
	return r.Call.ReadResponse(c.reader, r.Events)
}
