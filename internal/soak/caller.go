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
	// callTimeout is the timeout that callers send; routes allow plain calls less.
	callTimeout  = 4 * time.Second
	plainTimeout = 2500 * time.Millisecond
	// streamTimeout is the time limit of stream routes; streams last up to 0.6 s.
	streamTimeout = 4 * time.Second
	// lateMargin is how long a caller waits beyond the time limit of the route before
	// it reports a late response: the platform allows 0.5 s, and a shared machine may
	// add as much.
	lateMargin  = time.Second
	dialTimeout = time.Second
	// maxThinkTime bounds the delay between two calls of a caller.
	maxThinkTime = 60 * time.Millisecond
	// abandonFraction is the fraction of calls whose caller closes the connection before the
	// response, within maxAbandonDelay.
	abandonFraction = 0.04
	maxAbandonDelay = 150 * time.Millisecond
	// revokedKeyFraction is the fraction of authenticated calls that use a revoked key, if
	// there is one.
	revokedKeyFraction = 0.05
	// newConnectionFraction is the fraction of calls that are sent on a new connection.
	newConnectionFraction = 0.05
	// emptyBodyFraction is the fraction of calls without a body. Those of one plain
	// route differ only in their IDs.
	emptyBodyFraction = 0.2
	// maxShortBody and maxLongBody bound the size of bodies in bytes. One body in ten
	// is drawn up to maxLongBody, to exceed what a connection buffers.
	maxShortBody = 2 << 10
	maxLongBody  = 200 << 10
	maxEvents    = 12
)

// CallRecord is one call and what its caller received.
type CallRecord struct {
	Call           standin.Call
	Route          *standin.Route
	ExpectedEvents int // events of a stream
	Gate           int
	NewConnection  bool // first call on its connection
	FaultFree      bool // sent in the fault-free phase at the end
	Start          time.Time
	End            time.Time
	Response       standin.Response // Status 0: no response
	Err            error            // nil if a complete response head arrived
	// DialFailed is set if no connection could be established.
	DialFailed bool
	// AbandonedAt is when the caller closed the connection before the response; zero
	// if it did not.
	AbandonedAt time.Time
	// RevokedKey is set if the key had been revoked before the call.
	RevokedKey bool
}

// caller sends calls to a gate, one at a time, over a connection that it reuses until
// it ends.
type caller struct {
	deployment *deployment
	gate       int
	name       string
	random     *rand.Rand
	sent       int
	faultFree  bool

	conn   net.Conn
	reader *bufio.Reader
}

// loop sends calls until ctx ends.
func (c *caller) loop(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		c.deployment.addRecord(c.send(c.nextCall()))
		clock.Sleep(ctx, time.Duration(c.random.Int64N(int64(maxThinkTime))))
	}
}

func (c *caller) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// nextCall generates the next call.
func (c *caller) nextCall() CallRecord {
	route := &routes[c.random.IntN(len(routes))]
	c.sent++
	r := CallRecord{Route: route, Gate: c.gate, FaultFree: c.faultFree}
	r.Call = standin.Call{
		ID: fmt.Sprintf("%s%06x", c.name, c.sent), Host: route.Host, Path: route.Prefix + "0", Timeout: callTimeout,
	}
	if c.random.Float64() >= emptyBodyFraction {
		r.Call.Body = c.uniqueBody(r.Call.ID)
	}
	if route.Kind == standin.Stream || route.Kind == standin.ResumableStream {
		r.ExpectedEvents = 1 + c.random.IntN(maxEvents)
		r.Call.Path = route.Prefix + strconv.Itoa(r.ExpectedEvents)
		r.Call.PromptTokens, r.Call.MaxOutputTokens = 100+c.random.IntN(1000), r.ExpectedEvents
		r.Call.PromptParts = fmt.Sprintf("a%x:80,%x:%d", c.random.IntN(8), c.random.Uint32(), r.Call.PromptTokens-80)
	}
	if !route.Public {
		r.Call.Key, r.RevokedKey = c.deployment.operator.chooseKey(c.random, !c.faultFree && c.random.Float64() < revokedKeyFraction)
	}
	return r
}

// uniqueBody returns a body that no other call has.
func (c *caller) uniqueBody(id string) []byte {
	size := c.random.IntN(maxShortBody)
	if c.random.IntN(10) == 0 {
		size = c.random.IntN(maxLongBody)
	}
	return append([]byte(id), make([]byte, size)...)
}

// send sends a call and reads its response.
func (c *caller) send(r CallRecord) CallRecord {
	if c.random.Float64() < newConnectionFraction {
		c.closeConn()
	}
	r.Start = time.Now()
	if c.conn == nil {
		r.NewConnection = true
		conn, err := net.DialTimeout("tcp4", c.deployment.gates[c.gate].CallerLink.Addr(), dialTimeout)
		if err != nil {
			r.DialFailed, r.Err, r.End = true, err, time.Now()
			return r
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(r.Start.Add(r.Route.Timeout + lateMargin))
	if !c.faultFree && c.random.Float64() < abandonFraction {
		delay := time.Duration(c.random.Int64N(int64(maxAbandonDelay)))
		_ = c.conn.SetDeadline(r.Start.Add(delay))
		r.AbandonedAt = r.Start.Add(delay)
	}
	r.Response, r.Err = c.roundTrip(r)
	r.End = time.Now()
	if r.Err == nil && !r.Response.Truncated || r.End.Before(r.AbandonedAt) {
		r.AbandonedAt = time.Time{} // the response or its failure arrived first
	}
	if r.Err != nil || r.Response.Truncated || r.Response.ConnectionClosed {
		c.closeConn()
	}
	return r
}

func (c *caller) roundTrip(r CallRecord) (standin.Response, error) {
	req, err := r.Call.Request()
	if err != nil {
		return standin.Response{}, err
	}
	if err := req.Write(c.conn); err != nil {
		// The response may have arrived before the complete body was sent.
		resp, readErr := r.Call.ReadResponse(c.reader, r.ExpectedEvents)
		if readErr == nil {
			resp.ConnectionClosed = true
			return resp, nil
		}
		return standin.Response{}, errors.CombineErrors(errors.Wrap(err, "sending"), readErr)
	}
	return r.Call.ReadResponse(c.reader, r.ExpectedEvents)
}
