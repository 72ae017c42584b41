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
	testPool   = "letters"
	settleTime = 10 * time.Millisecond // of a call that settles a claim
)

// step is one piece of a fake target's answer.
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
	peak    int
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

// crash cuts all answers and leaves the target down. f.mu is held.
func (f *fakeTarget) crash() {
	close(f.crashed)
	f.crashed = make(chan struct{})
	f.down = true
	f.crashes++
}

func (f *fakeTarget) set(marker string, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.marker, f.down = marker, down
}

func (f *fakeTarget) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

// ran reports how often attempt id was handed over.
func (f *fakeTarget) ran(id request.AttemptID) int {
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

// busy returns how many answers are open.
func (f *fakeTarget) busy() int {
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

// fakeClaims holds claims in memory.
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
	time.Sleep(settleTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers[string(key)] = answer
	return nil
}

func (f *fakeClaims) Release(_ context.Context, key claim.Key, id request.AttemptID) error {
	time.Sleep(settleTime)
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

// testRegistry is the registry of suspects over an in-memory table.
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

// list returns all suspects, and whether they are quarantined.
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

// rig is an agent with fakes at its interfaces. It lives in a synctest bubble.
type rig struct {
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
	conns  []*conn
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

// newRig starts an agent of two slots; edit changes its configuration.
func newRig(t testing.TB, edit func(*Config)) *rig {
	r := &rig{
		t: t, target: newFakeTarget(), claims: newFakeClaims(), registry: newTestRegistry(),
		store: fleet.NewStore(), reg: prometheus.NewRegistry(), ended: make(chan struct{}),
	}
	r.store.ApplyTable(testTable(1))
	cfg := Config{
		ID: "agent-1", Domain: "a", Pool: testPool, Kind: target.KindModel, Slots: 2,
		Store: r.store, Target: r.target, Claims: r.claims, Suspects: r.registry, Registerer: r.reg,
	}
	if edit != nil {
		edit(&cfg)
	}
	a, err := New(cfg)
	require.NoError(t, err)
	r.Agent = a
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go func() {
		defer close(r.ended)
		_ = a.Run(ctx)
	}()
	time.Sleep(time.Millisecond)
	return r
}

func (r *rig) stop() {
	for _, c := range r.conns {
		_ = c.s.Close()
	}
	r.cancel()
	<-r.ended
	time.Sleep(time.Minute)
}

// counter returns the value of one counter.
func (r *rig) counter(vec *prometheus.CounterVec, labels ...string) int {
	return counterValue(r.t, vec.WithLabelValues(labels...))
}

func counterValue(t testing.TB, c prometheus.Counter) int {
	var m dto.Metric
	require.NoError(t, c.Write(&m))
	return int(m.GetCounter().GetValue())
}

// conn is the router's end of a stream.
type conn struct {
	t    testing.TB
	s    transport.Stream
	id   request.AttemptID
	done chan struct{} // closed once the agent has left the stream
}

func (r *rig) open(first wire.Message, id request.AttemptID) *conn {
	here, there := transport.Pipe()
	c := &conn{t: r.t, s: here, id: id, done: make(chan struct{})}
	r.connMu.Lock()
	r.conns = append(r.conns, c)
	r.connMu.Unlock()
	go func() {
		defer close(c.done)
		defer there.Close()
		r.ServeStream(context.Background(), transport.Peer{}, first, there)
	}()
	return c
}

// offer opens the stream of an offer of workspace 1; edit changes it.
func (r *rig) offer(edit func(*wire.Offer)) *conn {
	o := &wire.Offer{
		Request: request.NewID(), Attempt: request.NewAttemptID(),
		Workspace: 1, Pool: testPool, Version: 1,
	}
	if edit != nil {
		edit(o)
	}
	return r.open(o, o.Attempt)
}

func (r *rig) resume(id request.AttemptID, offset uint64) *conn {
	return r.open(&wire.Resume{Attempt: id, Offset: offset, Head: offset == 0}, id)
}

// recv returns the next message, or nil when the stream has ended.
func (c *conn) recv() wire.Message {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
	defer cancel()
	m, err := c.s.Recv(ctx)
	require.NotErrorIs(c.t, err, context.DeadlineExceeded)
	if err != nil {
		return nil
	}
	return m
}

// expect returns the next message, which must be a T.
func expect[T wire.Message](c *conn) T {
	c.t.Helper()
	m := c.recv()
	got, ok := m.(T)
	require.Truef(c.t, ok, "got %T %+v, want %T", m, m, got)
	return got
}

func (c *conn) send(m wire.Message) {
	c.t.Helper()
	require.NoError(c.t, c.s.Send(context.Background(), m))
}

// run answers a grant with Run and returns after Accepted.
func (c *conn) run() *conn {
	c.t.Helper()
	expect[*wire.Grant](c)
	c.send(&wire.Run{Attempt: c.id, Method: http.MethodPost, Path: "/", Body: []byte("x")})
	expect[*wire.Accepted](c)
	return c
}

// answer is read and closes the stream.
func (c *conn) answer() (string, wire.Message) {
	c.t.Helper()
	defer func() { _ = c.s.CloseSend() }()
	return c.read()
}

// read reads to the end of the answer and returns the body and the message that
// closed it.
func (c *conn) read() (string, wire.Message) {
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

// whole requires a whole answer and returns it.
func (c *conn) whole() string {
	c.t.Helper()
	body, last := c.answer()
	end, ok := last.(*wire.End)
	require.Truef(c.t, ok, "answer closed with %T %+v", last, last)
	require.EqualValues(c.t, len(body), end.Total)
	return body
}
