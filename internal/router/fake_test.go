package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/fleet"
	"github.com/mastichollow/mastichollow/internal/placement"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

const (
	testKey   = "key-of-letters"
	otherKey  = "key-of-tags"
	testModel = "letter-writer"
	testShop  = "shop-api"
)

// script is what a fake agent does on one stream.
type script func(ctx context.Context, s transport.Stream, first wire.Message)

// fakeFleet is an Opener whose agents follow scripts.
type fakeFleet struct {
	mu      sync.Mutex
	scripts map[string]script // by address
	record  record
}

// record is what a fake fleet received.
type record struct {
	offers    map[string][]*wire.Offer // by address
	runs      []*wire.Run
	withdrawn []*wire.Withdraw
	resumed   []*wire.Resume
	vouched   []*wire.End
	forgotten []string
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{scripts: make(map[string]script), record: record{offers: make(map[string][]*wire.Offer)}}
}

func (f *fakeFleet) set(addr string, s script) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scripts[addr] = s
}

func (f *fakeFleet) Open(_ context.Context, addr string) (transport.Stream, error) {
	f.mu.Lock()
	s := f.scripts[addr]
	f.mu.Unlock()
	if s == nil {
		return nil, errors.Wrapf(transport.ErrUnreachable, "opening a stream to %q", addr)
	}
	mine, theirs := transport.Pipe()
	go func() {
		ctx := context.Background()
		end := &recorder{Stream: theirs, fleet: f, addr: addr}
		if first, err := end.Recv(ctx); err == nil {
			s(ctx, end, first)
		}
	}()
	return mine, nil
}

func (f *fakeFleet) Forget(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record.forgotten = append(f.record.forgotten, addr)
}

// seen returns a copy of what was received so far.
func (f *fakeFleet) seen() record {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := f.record
	seen.offers = maps.Clone(f.record.offers)
	return seen
}

// runCount returns the number of requests handed over.
func (f *fakeFleet) runCount() int { return len(f.seen().runs) }

// offerCount returns the number of offers sent.
func (f *fakeFleet) offerCount() int {
	return len(slices.Concat(slices.Collect(maps.Values(f.seen().offers))...))
}

// recorder notes what an agent receives.
type recorder struct {
	transport.Stream
	fleet *fakeFleet
	addr  string
}

func (r *recorder) Recv(ctx context.Context) (wire.Message, error) {
	m, err := r.Stream.Recv(ctx)
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	seen := &r.fleet.record
	switch m := m.(type) {
	case *wire.Offer:
		seen.offers[r.addr] = append(seen.offers[r.addr], m)
	case *wire.Run:
		seen.runs = append(seen.runs, m)
	case *wire.Withdraw:
		seen.withdrawn = append(seen.withdrawn, m)
	case *wire.End:
		seen.vouched = append(seen.vouched, m)
	case *wire.Resume:
		seen.resumed = append(seen.resumed, m)
	}
	return m, err
}

// sends returns a script that sends the messages made for the first one's
// attempt, then keeps the stream open until the router ends it.
func sends(make ...func(request.AttemptID) wire.Message) script {
	return func(ctx context.Context, s transport.Stream, first wire.Message) {
		sendAll(ctx, s, firstAttempt(first), make...)
		drain(ctx, s)
	}
}

// grantThen grants, waits for Run and sends the messages. A resumption gets no
// answer.
func grantThen(make ...func(request.AttemptID) wire.Message) script {
	return func(ctx context.Context, s transport.Stream, first wire.Message) {
		offer, ok := first.(*wire.Offer)
		if !ok {
			drain(ctx, s)
			return
		}
		_ = s.Send(ctx, &wire.Grant{Attempt: offer.Attempt})
		if run := awaitRun(ctx, s); run != nil {
			sendAll(ctx, s, offer.Attempt, make...)
			drain(ctx, s)
		}
	}
}

func sendAll(ctx context.Context, s transport.Stream, id request.AttemptID, make ...func(request.AttemptID) wire.Message) {
	for _, f := range make {
		m := f(id)
		if m == nil {
			_ = s.Close()
			return
		}
		_ = s.Send(ctx, m)
	}
}

// awaitRun returns the next Run, or nil when the offer ends without one.
func awaitRun(ctx context.Context, s transport.Stream) *wire.Run {
	for {
		m, err := s.Recv(ctx)
		if err != nil {
			return nil
		}
		switch m := m.(type) {
		case *wire.Run:
			return m
		case *wire.Withdraw:
			_ = s.Send(ctx, &wire.Refuse{Attempt: m.Attempt, Reason: request.ReasonWithdrawn})
		}
	}
}

func drain(ctx context.Context, s transport.Stream) {
	for {
		if _, err := s.Recv(ctx); err != nil {
			return
		}
	}
}

func firstAttempt(m wire.Message) request.AttemptID {
	if r, ok := m.(*wire.Resume); ok {
		return r.Attempt
	}
	return m.(*wire.Offer).Attempt
}

// Makers of messages.

type maker = func(request.AttemptID) wire.Message

func lost(request.AttemptID) wire.Message { return nil }

func accepted(id request.AttemptID) wire.Message { return &wire.Accepted{Attempt: id} }

func head(contentType string) maker {
	return func(id request.AttemptID) wire.Message {
		return &wire.Head{Attempt: id, Status: http.StatusOK, Header: []wire.Field{{Name: "content-type", Value: contentType}}}
	}
}

func chunk(offset uint64, data string) maker {
	return func(id request.AttemptID) wire.Message {
		return &wire.Chunk{Attempt: id, Offset: offset, Data: []byte(data)}
	}
}

func end(total uint64) maker {
	return func(id request.AttemptID) wire.Message { return &wire.End{Attempt: id, Total: total} }
}

func fail(outcome request.Outcome, reason request.Reason) maker {
	return func(id request.AttemptID) wire.Message {
		return &wire.Fail{Attempt: id, Outcome: outcome, Reason: reason}
	}
}

// crash fails an attempt whose target crashed.
func crash(id request.AttemptID) wire.Message {
	return &wire.Fail{Attempt: id, Reason: request.ReasonTargetCrashed, Suspect: true}
}

func refusal(reason request.Reason) maker {
	return func(id request.AttemptID) wire.Message { return &wire.Refuse{Attempt: id, Reason: reason} }
}

func queued(duplicate bool) maker {
	return func(id request.AttemptID) wire.Message { return &wire.Queued{Attempt: id, Duplicate: duplicate} }
}

// answers returns the messages of a whole answer.
func answers(contentType, body string) []maker {
	return []maker{accepted, head(contentType), chunk(0, body), end(uint64(len(body)))}
}

// fixture is a router with a fake fleet.
type fixture struct {
	t      testing.TB
	fleet  *fakeFleet
	store  *fleet.Store
	router *Router
	reg    *prometheus.Registry
}

// newFixture returns a router with the given agents in its store.
func newFixture(t testing.TB, change func(*Config), vms ...target.VM) *fixture {
	t.Helper()
	f := &fixture{t: t, fleet: newFakeFleet(), store: fleet.NewStore(), reg: prometheus.NewRegistry()}
	f.store.ApplyTable(testTable(1))
	f.store.ApplyVMs(vms)
	cfg := Config{
		Store:      f.store,
		Opener:     f.fleet,
		Site:       placement.Site{Region: "north", Domain: "north-a"},
		Registerer: f.reg,
	}
	if change != nil {
		change(&cfg)
	}
	var err error
	f.router, err = New(cfg)
	require.NoError(t, err)
	return f
}

func testTable(version uint64) *workspace.Table {
	return &workspace.Table{Version: version, Rows: []workspace.Row{
		{ID: 1, Name: "letters", KeyHashes: []string{hashKey(testKey)}, Weight: 1, QueueLimit: 100, Pools: []string{testModel, testShop}},
		{ID: 2, Name: "tags", KeyHashes: []string{hashKey(otherKey)}, Weight: 1, QueueLimit: 2, Pools: []string{testModel}},
	}}
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// agent returns a live model agent whose address is its ID.
func agent(id, region, domain string) target.VM {
	return target.VM{
		ID: id, Addr: id, Role: target.RoleAgent, Region: region, Domain: domain,
		Pool: testModel, Kind: target.KindModel, State: target.StateLive,
	}
}

// shop returns a live agent of the plain service.
func shop(id string) target.VM {
	vm := agent(id, "north", "north-a")
	vm.Pool, vm.Kind = testShop, target.KindService
	return vm
}

const chatBody = `{"model":"letter-writer","messages":[{"role":"user","content":"Dear Aino"}]}`

// post returns an authorised request with fields "Name: value".
func post(path, body string, fields ...string) *http.Request {
	return newRequest(http.MethodPost, path, body, fields...)
}

func newRequest(method, path, body string, fields ...string) *http.Request {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+testKey)
	for _, f := range fields {
		name, value, _ := strings.Cut(f, ": ")
		req.Header[http.CanonicalHeaderKey(name)] = []string{value}
	}
	return req
}

// serve returns the recorded answer and whether it was aborted.
func (f *fixture) serve(req *http.Request) (rec *httptest.ResponseRecorder, aborted bool) {
	rec = httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
			aborted = true
		}
	}()
	f.router.ServeHTTP(rec, req)
	return rec, false
}

// value returns the value of the counter with the labels.
func value(c *prometheus.CounterVec, labels ...string) float64 {
	return testutil.ToFloat64(c.WithLabelValues(labels...))
}
