package gate

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/eventlog"
	"github.com/mastichollow/mastichollow/internal/route"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/upstream"
)

// testCodec names the fields plainly.
type testCodec struct{}

func (testCodec) IDHeader() string { return "Id" }

func (testCodec) Decode(h http.Header) Meta {
	ms, _ := strconv.Atoi(h.Get("Patience"))
	return Meta{ID: h.Get("Id"), Key: h.Get("Key"), Patience: time.Duration(ms) * time.Millisecond, LastEvent: h.Get("Last")}
}

func (testCodec) Outbound(caller http.Header, o Outbound) http.Header {
	h := http.Header{"Id": {caller.Get("Id")}, "Instance": {o.Instance}, "Left": {strconv.Itoa(int(o.Left.Milliseconds()))}}
	if o.LastEvent != "" {
		h.Set("Last", o.LastEvent)
	}
	if o.Workspace != "" {
		h.Set("Workspace", o.Workspace)
	}
	return h
}

func (testCodec) Verdict(status int, h http.Header) Verdict {
	seconds, _ := strconv.ParseFloat(h.Get("Pause"), 64)
	return Verdict{
		NotRun: h.Get("Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest, Genuine: h.Get("Mark") != "",
		Leaving: h.Get("Leaving") != "", Pause: time.Duration(seconds * float64(time.Second)),
	}
}

// received is a request as a target got it.
type received struct {
	target string
	method string
	uri    string
	header http.Header
	body   string
}

// fleet is a gate with targets on loopback.
type fleet struct {
	t       *testing.T
	gate    *Gate
	table   *Configuration
	dir     *target.Directory
	control *admission.Controller
	front   *httptest.Server
	age     time.Duration

	mu   sync.Mutex
	seen []received
}

// behaviour answers one request on a raw connection of a target.
type behaviour func(c net.Conn, r received)

func newFleet(t *testing.T, routes []route.Route, behaviours ...behaviour) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: target.NewDirectory()}
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	f.control = admission.NewController(admission.Config{
		Site:  admission.Site{Region: "r", Domain: "d", Regions: map[string]string{"d": "r"}},
		Retry: admission.RetryBudget{Ratio: 0.2, Slack: 100, Window: 10 * time.Second},
	})
	pool := upstream.NewPool(upstream.Config{DialTimeout: time.Second, Now: now}, nil)
	f.table = NewConfiguration(func() time.Duration { return f.age })
	f.gate = New(Config{KeyAge: 5 * time.Second, DenyAge: 2 * time.Second, BodiesBytes: 1 << 20, Now: now, Events: eventlog.New(io.Discard, prometheus.NewRegistry())},
		testCodec{}, f.table, f.dir, f.control, pool, nil)
	var instances []target.Instance
	for i, b := range behaviours {
		instances = append(instances, target.Instance{
			ID: fmt.Sprintf("t%d", i), Addr: f.startTarget(fmt.Sprintf("t%d", i), b),
			Service: "letters", Domain: "d", Slots: 8,
		})
	}
	f.dir.Replace(instances, 0, false)
	f.setTable(1, routes)
	f.front = httptest.NewUnstartedServer(f.gate)
	f.front.Config.ConnContext = ConnContext
	f.front.Config.ConnState = f.gate.ConnState
	f.front.Start()
	t.Cleanup(f.front.Close)
	return f
}

func (f *fleet) setTable(version int64, routes []route.Route) {
	f.setTableOf(version, routes, []route.Workspace{{Name: "shop", Keys: []string{"k"}}})
}

func (f *fleet) setTableOf(version int64, routes []route.Route, workspaces []route.Workspace) {
	table, err := route.New(route.Content{
		Version: version, Routes: routes,
		Services:   []route.Service{{Name: "letters", MaxConnections: 100}},
		Workspaces: workspaces,
		Limits:     route.Limits{BodyBytes: 1000},
	})
	require.NoError(f.t, err)
	f.table.Confirm(table, 0)
}

func (f *fleet) startTarget(id string, b behaviour) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(f.t, err)
	f.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serveTarget(c, id, b)
		}
	}()
	return l.Addr().String()
}

func (f *fleet) serveTarget(c net.Conn, id string, b behaviour) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		got := received{id, req.Method, req.RequestURI, req.Header, string(body)}
		f.mu.Lock()
		f.seen = append(f.seen, got)
		f.mu.Unlock()
		b(c, got)
	}
}

func (f *fleet) arrivals() []received {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]received(nil), f.seen...)
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // of the body
	last   bool  // the connection ends with it
}

// ask sends one request to the gate.
func (f *fleet) ask(path, body string, fields ...string) answer {
	f.t.Helper()
	return f.askWith(context.Background(), path, body, fields...)
}

func (f *fleet) askWith(ctx context.Context, path, body string, fields ...string) answer {
	f.t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.front.URL+path, stringsReader(body))
	require.NoError(f.t, err)
	req.Host = "h.example"
	req.Header.Set("Id", "id-1")
	req.Header.Set("Key", "k")
	req.Header.Set("Patience", "3000")
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(data), err, resp.Close}
}

func stringsReader(s string) io.Reader {
	if s == "" {
		return http.NoBody
	}
	return io.NopCloser(&oneReader{s})
}

// oneReader hides the length, so that the body is sent in chunks.
type oneReader struct{ rest string }

func (r *oneReader) Read(p []byte) (int, error) {
	if r.rest == "" {
		return 0, io.EOF
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// Behaviours of targets.

func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

func head(status int, r received, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nId: %s\r\n%s", status, r.header.Get("Id"), more)
}

func answers(status int, fields, body string) behaviour {
	return func(c net.Conn, r received) {
		write(c, head(status, r, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)))
	}
}

func good(body string) behaviour { return answers(200, "Mark: m\r\n", body) }

func rejects() behaviour { return answers(503, "Not-Run: 1\r\n", "") }

func crashes() behaviour { return func(c net.Conn, _ received) { c.Close() } }

// streams sends events first to last, and then ends the stream or the
// connection.
func streams(first, last int, end bool) behaviour {
	return func(c net.Conn, r received) {
		write(c, head(200, r, "Mark: "+r.target+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for i := first; i <= last; i++ {
			writeChunk(c, event(i))
		}
		if end {
			write(c, "0\r\n\r\n")
			return
		}
		writeChunk(c, "id: 99\nda") // cut in the middle of an event
		c.Close()
	}
}

func writeChunk(c net.Conn, text string) { write(c, fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) }

func event(i int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i) }

func eventsUpTo(n int) string {
	all := ""
	for i := 1; i <= n; i++ {
		all += event(i)
	}
	return all
}

// firstThen plays first for the first request and then for all others.
func firstThen(first, then behaviour) behaviour {
	var sends atomic.Int32
	return func(c net.Conn, r received) {
		if sends.Add(1) == 1 {
			first(c, r)
			return
		}
		then(c, r)
	}
}
