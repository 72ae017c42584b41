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

// agentScript is the behaviour of a fake agent on one stream.
type agentScript func(ctx context.Context, s transport.Stream, first wire.Message)

// fakeFleet is an Opener whose agents follow scripts.
type fakeFleet struct {
	mu      sync.Mutex
	scripts map[string]agentScript // by address
	record  fleetRecord
}

// fleetRecord holds what a fakeFleet received.
type fleetRecord struct {
	offers             map[string][]*wire.Offer // by address
	runs               []*wire.Run
	withdraws          []*wire.Withdraw
	resumes            []*wire.Resume
	ends               []*wire.End
	droppedConnections []string
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{scripts: make(map[string]agentScript), record: fleetRecord{offers: make(map[string][]*wire.Offer)}}
}

func (f *fakeFleet) setScript(addr string, s agentScript) {
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
	routerSide, agentSide := transport.Pipe()
	go func() {
		ctx := context.Background()
		recorded := &recordingStream{Stream: agentSide, fleet: f, addr: addr}
		if first, err := recorded.Recv(ctx); err == nil {
			s(ctx, recorded, first)
		}
	}()
	return routerSide, nil
}

func (f *fakeFleet) Forget(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.record.droppedConnections = append(f.record.droppedConnections, addr)
}

// received returns a copy of what was received so far.
func (f *fakeFleet) received() fleetRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	received := f.record
	received.offers = maps.Clone(f.record.offers)
	return received
}

// runCount returns the number of Run messages received.
func (f *fakeFleet) runCount() int { return len(f.received().runs) }

// offerCount returns the number of offers received.
func (f *fakeFleet) offerCount() int {
	return len(slices.Concat(slices.Collect(maps.Values(f.received().offers))...))
}

// recordingStream records what an agent receives.
type recordingStream struct {
	transport.Stream
	fleet *fakeFleet
	addr  string
}

func (r *recordingStream) Recv(ctx context.Context) (wire.Message, error) {
	m, err := r.Stream.Recv(ctx)
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	record := &r.fleet.record
	switch m := m.(type) {
	case *wire.Offer:
		record.offers[r.addr] = append(record.offers[r.addr], m)
	case *wire.Run:
		record.runs = append(record.runs, m)
	case *wire.Withdraw:
		record.withdraws = append(record.withdraws, m)
	case *wire.End:
		record.ends = append(record.ends, m)
	case *wire.Resume:
		record.resumes = append(record.resumes, m)
	}
	return m, err
}

// sendThenDrain returns a script that sends the messages for the attempt of the first
// message, then receives until the router ends the stream.
func sendThenDrain(makers ...func(request.AttemptID) wire.Message) agentScript {
	return func(ctx context.Context, s transport.Stream, first wire.Message) {
		sendMessages(ctx, s, firstAttempt(first), makers...)
		drain(ctx, s)
	}
}

// grantThen returns a script that grants an offer, waits for Run, sends the messages
// and then receives until the stream ends. It sends nothing on a stream that resumes
// an attempt.
func grantThen(makers ...func(request.AttemptID) wire.Message) agentScript {
	return func(ctx context.Context, s transport.Stream, first wire.Message) {
		offer, ok := first.(*wire.Offer)
		if !ok {
			drain(ctx, s)
			return
		}
		_ = s.Send(ctx, &wire.Grant{Attempt: offer.Attempt})
		if run := awaitRun(ctx, s); run != nil {
			sendMessages(ctx, s, offer.Attempt, makers...)
			drain(ctx, s)
		}
	}
}

// sendMessages sends the messages for the attempt id. A nil message closes the stream.
func sendMessages(ctx context.Context, s transport.Stream, id request.AttemptID, makers ...func(request.AttemptID) wire.Message) {
	for _, f := range makers {
		m := f(id)
		if m == nil {
			_ = s.Close()
			return
		}
		_ = s.Send(ctx, m)
	}
}

// awaitRun returns the next Run, or nil if the stream ends without one. It responds to
// Withdraw.
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

// drain receives until the stream ends.
func drain(ctx context.Context, s transport.Stream) {
	for {
		if _, err := s.Recv(ctx); err != nil {
			return
		}
	}
}

// firstAttempt returns the attempt of the first message on a stream.
func firstAttempt(m wire.Message) request.AttemptID {
	if r, ok := m.(*wire.Resume); ok {
		return r.Attempt
	}
	return m.(*wire.Offer).Attempt
}

// messageMaker makes a message for an attempt.
type messageMaker = func(request.AttemptID) wire.Message

// closeStream makes sendMessages close the stream.
func closeStream(request.AttemptID) wire.Message { return nil }

func accepted(id request.AttemptID) wire.Message { return &wire.Accepted{Attempt: id} }

func head(contentType string) messageMaker {
	return func(id request.AttemptID) wire.Message {
		return &wire.Head{Attempt: id, Status: http.StatusOK, Header: []wire.Field{{Name: "content-type", Value: contentType}}}
	}
}

func chunk(offset uint64, data string) messageMaker {
	return func(id request.AttemptID) wire.Message {
		return &wire.Chunk{Attempt: id, Offset: offset, Data: []byte(data)}
	}
}

func end(total uint64) messageMaker {
	return func(id request.AttemptID) wire.Message { return &wire.End{Attempt: id, Total: total} }
}

func fail(outcome request.Outcome, reason request.Reason) messageMaker {
	return func(id request.AttemptID) wire.Message {
		return &wire.Fail{Attempt: id, Outcome: outcome, Reason: reason}
	}
}

// crash makes the failure of an attempt whose target crashed.
func crash(id request.AttemptID) wire.Message {
	return &wire.Fail{Attempt: id, Reason: request.ReasonTargetCrashed, Suspect: true}
}

func refusal(reason request.Reason) messageMaker {
	return func(id request.AttemptID) wire.Message { return &wire.Refuse{Attempt: id, Reason: reason} }
}

func queued(duplicate bool) messageMaker {
	return func(id request.AttemptID) wire.Message { return &wire.Queued{Attempt: id, Duplicate: duplicate} }
}

// completeAnswer returns the messages of a complete answer.
func completeAnswer(contentType, body string) []messageMaker {
	return []messageMaker{accepted, head(contentType), chunk(0, body), end(uint64(len(body)))}
}

// fixture is a router whose agents are a fakeFleet.
type fixture struct {
	t      testing.TB
	fleet  *fakeFleet
	store  *fleet.Store
	router *Router
	reg    *prometheus.Registry
}

// newFixture returns a router that has the given agents in its store. change, if not
// nil, modifies its configuration.
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

// serviceAgent returns a live agent of the plain service.
func serviceAgent(id string) target.VM {
	vm := agent(id, "north", "north-a")
	vm.Pool, vm.Kind = testShop, target.KindService
	return vm
}

const chatBody = `{"model":"letter-writer","messages":[{"role":"user","content":"Dear Aino"}]}`

// post returns an authorised POST request with header fields of the form "Name:
// value".
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

// serve returns the recorded answer, and whether the router aborted it.
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

// counterValue returns the value of the counter with the labels.
func counterValue(c *prometheus.CounterVec, labels ...string) float64 {
	return testutil.ToFloat64(c.WithLabelValues(labels...))
}
