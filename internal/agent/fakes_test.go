package agent

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/claim"
	"github.com/mastichollow/mastichollow/internal/engine"
	"github.com/mastichollow/mastichollow/internal/fleet"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/standin"
	"github.com/mastichollow/mastichollow/internal/suspect"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

const (
	testPool    = "letters"
	settleDelay = 10 * time.Millisecond // duration of a call that settles a claim
)

// step is one part of a fake target's answer.
type step struct {
	after time.Duration
	data  string
	err   error
}

// fakeTarget answers each call with the steps that script returns.
type fakeTarget struct {
	mu      sync.Mutex
	marker  string
	down    bool
	script  func(engine.Call) ([]step, error)
	calls   []engine.Call
	running int
	peak    int           // maximum of running
	crashed chan struct{} // closed at the next crash
	crashes int
}

func newFakeTarget() *fakeTarget {
	return &fakeTarget{marker: "start-1", crashed: make(chan struct{}), script: func(engine.Call) ([]step, error) {
		return []step{{data: "hello "}, {after: time.Second, data: "world"}}, nil
	}}
}

func (f *fakeTarget) Probe(context.Context) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return "", errors.New("connection refused")
	}
	return f.marker, nil
}

func (f *fakeTarget) Do(_ context.Context, call engine.Call) (engine.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, call)
	steps, err := f.script(call)
	if err != nil {
		return nil, err
	}
	f.running++
	f.peak = max(f.peak, f.running)
	return &fakeAnswer{target: f, steps: steps, crashed: f.crashed}, nil
}

// crash interrupts all answers and leaves the target down. f.mu is held.
func (f *fakeTarget) crash() {
	close(f.crashed)
	f.crashed = make(chan struct{})
	f.down = true
	f.crashes++
}

func (f *fakeTarget) setState(marker string, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.marker, f.down = marker, down
}

func (f *fakeTarget) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

// callsOf returns how often attempt id was forwarded.
func (f *fakeTarget) callsOf(id request.AttemptID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, call := range f.calls {
		if call.Attempt == string(id) {
			n++
		}
	}
	return n
}

// openAnswers returns the number of open answers.
func (f *fakeTarget) openAnswers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running
}

type fakeAnswer struct {
	target  *fakeTarget
	steps   []step
	crashed <-chan struct{}
	once    sync.Once
}

func (*fakeAnswer) Status() int         { return http.StatusOK }
func (*fakeAnswer) Header() http.Header { return http.Header{"Content-Type": {"text/plain"}} }

func (a *fakeAnswer) Next(ctx context.Context) (engine.Frame, error) {
	if len(a.steps) == 0 {
		return engine.Frame{}, io.EOF
	}
	next := a.steps[0]
	a.steps = a.steps[1:]
	select {
	case <-time.After(next.after):
	case <-ctx.Done():
		return engine.Frame{}, errors.Mark(ctx.Err(), engine.ErrTruncated)
	case <-a.crashed:
		return engine.Frame{}, errors.Mark(errors.New("connection reset"), engine.ErrTruncated)
	}
	return engine.Frame{Data: []byte(next.data), Units: int64(len(next.data))}, next.err
}

func (a *fakeAnswer) Close() error {
	a.once.Do(func() {
		a.target.mu.Lock()
		defer a.target.mu.Unlock()
		a.target.running--
	})
	return nil
}

// fakeClaims stores claims in memory.
type fakeClaims struct {
	mu       sync.Mutex
	delay    time.Duration // of Begin
	err      error         // of Begin
	owner    map[string]request.AttemptID
	answers  map[string]*claim.Answer
	released []request.AttemptID
}

func newFakeClaims() *fakeClaims {
	return &fakeClaims{owner: map[string]request.AttemptID{}, answers: map[string]*claim.Answer{}}
}

func (f *fakeClaims) Begin(_ context.Context, key claim.Key, id request.AttemptID, _ []byte) (*claim.Answer, error) {
	time.Sleep(f.delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return nil, f.err
	}
	if answer := f.answers[string(key)]; answer != nil {
		return answer, nil
	}
	if owner, taken := f.owner[string(key)]; taken && owner != id {
		return nil, claim.ErrStarted
	}
	f.owner[string(key)] = id
	return nil, nil
}

func (f *fakeClaims) Finish(_ context.Context, key claim.Key, _ request.AttemptID, answer *claim.Answer) error {
	time.Sleep(settleDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers[string(key)] = answer
	return nil
}

func (f *fakeClaims) Release(_ context.Context, key claim.Key, id request.AttemptID) error {
	time.Sleep(settleDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, id)
	if f.owner[string(key)] == id {
		delete(f.owner, string(key))
	}
	return nil
}

// state returns the owner of key's claim and the stored answer.
func (f *fakeClaims) state(key string) (request.AttemptID, *claim.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.owner[key], f.answers[key]
}

// testRegistry is a suspect registry over an in-memory table.
type testRegistry struct {
	*suspect.TableRegistry
	table *standin.Table
}

func newTestRegistry() *testRegistry {
	table := standin.NewTable()
	return &testRegistry{TableRegistry: suspect.NewTableRegistry(table, nil), table: table}
}

func (r *testRegistry) setUnavailable(down bool) {
	r.table.SetFault(func(string, string) standin.Fault {
		if down {
			return standin.FaultDown
		}
		return standin.FaultNone
	})
}

// list returns all suspects and whether they are quarantined.
func (r *testRegistry) list(t testing.TB) map[string]bool {
	listed, err := r.List(context.Background())
	require.NoError(t, err)
	quarantined := map[string]bool{}
	for _, s := range listed {
		quarantined[string(s.Fingerprint)] = s.Quarantined
	}
	return quarantined
}

// onTrial reports whether a suspect is on trial.
func (r *testRegistry) onTrial(fingerprint string) bool {
	ctx, f := context.Background(), suspect.Fingerprint(fingerprint)
	err := r.BeginTrial(ctx, f, "probe")
	_ = r.AbandonTrial(ctx, f, "probe")
	return errors.Is(err, suspect.ErrOnTrial)
}

// harness is an agent whose interfaces are fakes. It must be used in a synctest
// bubble.
type harness struct {
	*Agent
	t        testing.TB
	target   *fakeTarget
	claims   *fakeClaims
	registry *testRegistry
	store    *fleet.Store
	reg      *prometheus.Registry
	cancel   context.CancelFunc
	ended    chan struct{}

	connMu sync.Mutex
	conns  []*routerConn
}

func testTable(version uint64) *workspace.Table {
	row := func(id workspace.RowID, weight float64, concurrency, queue int) workspace.Row {
		return workspace.Row{
			ID: id, Weight: weight, Concurrency: concurrency, QueueLimit: queue,
			Pools: []string{testPool},
		}
	}
	rows := []workspace.Row{row(1, 1, 0, 100), row(2, 3, 0, 100), row(3, 1, 1, 2), {ID: 4, Weight: 1, QueueLimit: 5}}
	return &workspace.Table{Version: version, Rows: rows}
}

// newHarness starts an agent with two slots. edit changes its configuration.
func newHarness(t testing.TB, edit func(*Config)) *harness {
	h := &harness{
		t: t, target: newFakeTarget(), claims: newFakeClaims(), registry: newTestRegistry(),
		store: fleet.NewStore(), reg: prometheus.NewRegistry(), ended: make(chan struct{}),
	}
	h.store.ApplyTable(testTable(1))
	cfg := Config{
		ID: "agent-1", Domain: "a", Pool: testPool, Kind: target.KindModel, Slots: 2,
		Store: h.store, Target: h.target, Claims: h.claims, Suspects: h.registry, Registerer: h.reg,
	}
	if edit != nil {
		edit(&cfg)
	}
	a, err := New(cfg)
	require.NoError(t, err)
	h.Agent = a
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() {
		defer close(h.ended)
		_ = a.Run(ctx)
	}()
	time.Sleep(time.Millisecond)
	return h
}

func (h *harness) stop() {
	for _, c := range h.conns {
		_ = c.stream.Close()
	}
	h.cancel()
	<-h.ended
	time.Sleep(time.Minute)
}

// counter returns the value of one counter.
func (h *harness) counter(vec *prometheus.CounterVec, labels ...string) int {
	return counterValue(h.t, vec.WithLabelValues(labels...))
}

func counterValue(t testing.TB, c prometheus.Counter) int {
	var m dto.Metric
	require.NoError(t, c.Write(&m))
	return int(m.GetCounter().GetValue())
}

// routerConn is the router's end of a stream.
type routerConn struct {
	t      testing.TB
	stream transport.Stream
	id     request.AttemptID
	done   chan struct{} // closed once the agent has returned from the stream
}

func (h *harness) open(first wire.Message, id request.AttemptID) *routerConn {
	routerEnd, agentEnd := transport.Pipe()
	c := &routerConn{t: h.t, stream: routerEnd, id: id, done: make(chan struct{})}
	h.connMu.Lock()
	h.conns = append(h.conns, c)
	h.connMu.Unlock()
	go func() {
		defer close(c.done)
		defer agentEnd.Close()
		h.ServeStream(context.Background(), transport.Peer{}, first, agentEnd)
	}()
	return c
}

// offer opens the stream of an offer of workspace 1. edit changes the offer.
func (h *harness) offer(edit func(*wire.Offer)) *routerConn {
	o := &wire.Offer{
		Request: request.NewID(), Attempt: request.NewAttemptID(),
		Workspace: 1, Pool: testPool, TableVersion: 1,
	}
	if edit != nil {
		edit(o)
	}
	return h.open(o, o.Attempt)
}

func (h *harness) resume(id request.AttemptID, offset uint64) *routerConn {
	return h.open(&wire.Resume{Attempt: id, Offset: offset, Head: offset == 0}, id)
}

// recv returns the next message, or nil when the stream has ended.
func (c *routerConn) recv() wire.Message {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	m, err := c.stream.Recv(ctx)
	require.NotErrorIs(c.t, err, context.DeadlineExceeded)
	if err != nil {
		return nil
	}
	return m
}

// expect returns the next message, which must be a T.
func expect[T wire.Message](c *routerConn) T {
	c.t.Helper()
	m := c.recv()
	got, ok := m.(T)
	require.Truef(c.t, ok, "got %T %+v, want %T", m, m, got)
	return got
}

func (c *routerConn) send(m wire.Message) {
	c.t.Helper()
	require.NoError(c.t, c.stream.Send(context.Background(), m))
}

// run answers a grant with Run and waits for Accepted.
func (c *routerConn) run() *routerConn {
	c.t.Helper()
	expect[*wire.Grant](c)
	c.send(&wire.Run{Attempt: c.id, Method: http.MethodPost, Path: "/", Body: []byte("x")})
	expect[*wire.Accepted](c)
	return c
}

// readAndClose reads the answer and closes the stream.
func (c *routerConn) readAndClose() (string, wire.Message) {
	c.t.Helper()
	defer func() { _ = c.stream.CloseSend() }()
	return c.readAnswer()
}

// readAnswer reads to the end of the answer and returns the body and the
// message that ended it.
func (c *routerConn) readAnswer() (string, wire.Message) {
	c.t.Helper()
	var body []byte
	for {
		switch m := c.recv().(type) {
		case *wire.Chunk:
			body = append(body, m.Data...)
		case *wire.End, *wire.Fail, *wire.Refuse, nil:
			return string(body), m
		}
	}
}

// completeAnswer reads an answer, which must be complete, and returns its body.
func (c *routerConn) completeAnswer() string {
	c.t.Helper()
	body, last := c.readAndClose()
	end, ok := last.(*wire.End)
	require.Truef(c.t, ok, "answer closed with %T %+v", last, last)
	require.EqualValues(c.t, len(body), end.Total)
	return body
}
