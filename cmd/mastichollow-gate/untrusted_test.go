package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/process/processtest"
	"github.com/mastichollow/mastichollow/internal/relay"
	"github.com/mastichollow/mastichollow/platform/names"
	"github.com/mastichollow/mastichollow/platform/platformtest"
	"github.com/mastichollow/mastichollow/platform/standin"
)

const (
	untrustedClients  = 400
	untrustedDuration = 2 * time.Second
	// untrustedMemoryMB and untrustedMaxFDs are the limits of the gate's settings, which it
	// must stay below. An idle gate uses about 25 MB.
	untrustedMemoryMB = 64
	untrustedMaxFDs   = 2000
	// fewFDs are fewer descriptors than there are clients.
	fewFDs = 300
	// legalHeadBytes is just below the limit of tables for the head of a request.
	legalHeadBytes = 16000
	// pauseBetweenWrites keeps the clients from using up the processors of the machine.
	pauseBetweenWrites = 20 * time.Millisecond
)

// An untrustedKind is what untrusted callers do with a connection: they send first once and
// then next again and again, without ever reading, until the connection is closed.
type untrustedKind struct {
	name   string
	first  string
	next   string // empty: nothing
	maxFDs int    // 0: untrustedMaxFDs
}

// The start of requests that the gate would forward, and of requests that it refuses.
var (
	startWithKey    = "POST /orders/1 HTTP/1.1\r\nHost: h.example\r\n" + names.Key + ": k\r\n"
	startWithoutKey = "POST /orders/1 HTTP/1.1\r\nHost: h.example\r\n"
)

const (
	unsentBody  = "Content-Length: 16384\r\n\r\n"
	wholeRefuse = "GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n"
)

// fill repeats lines, made from a running number, up to a number of bytes.
func fill(bytes int, line func(i int) string) string {
	var b strings.Builder
	for i := 0; b.Len() < bytes; i++ {
		b.WriteString(line(i))
	}
	return b.String()
}

func untrustedKinds() []untrustedKind {
	sameName := func(int) string { return "3f:\r\n" }
	shortName := func(i int) string { return strconv.FormatInt(int64(i), 36) + ":\r\n" }
	longName := func(i int) string { return strings.Repeat("n", 120) + strconv.Itoa(i) + ":\r\n" }
	unusual := func(method, target string) string {
		return method + " " + target + " HTTP/1.1\r\nHost: h.example\r\n" + unsentBody
	}
	kilobyte := strings.Repeat("y", 1024)
	return []untrustedKind{
		{name: "endless line", first: startWithKey + "X: ", next: kilobyte},
		{name: "endless request line", first: "GET /", next: kilobyte},
		{name: "endless lines", first: startWithKey, next: fill(4096, sameName)},
		{name: "empty lines before a request", next: strings.Repeat("\r\n", 512)},
		{name: "empty lines between requests", first: wholeRefuse, next: strings.Repeat("\n", 1024)},
		{name: "lines of the same name", first: startWithKey + fill(legalHeadBytes, sameName) + unsentBody},
		{name: "lines of the same name without a key", first: startWithoutKey + fill(legalHeadBytes, sameName) + unsentBody},
		{name: "lines of short names", first: startWithKey + fill(legalHeadBytes, shortName) + unsentBody},
		{name: "lines of long names", first: startWithKey + fill(legalHeadBytes, longName) + unsentBody},
		{name: "64,000 bytes of lines", first: startWithKey + fill(64000, sameName) + unsentBody},
		{name: "legal head without end", first: startWithKey + fill(legalHeadBytes, shortName)},
		{name: "unknown method", first: unusual(strings.Repeat("M", legalHeadBytes), "/orders/1")},
		{name: "long path", first: unusual("POST", "/orders/"+strings.Repeat("p", legalHeadBytes))},
		{name: "query parameters", first: unusual("POST", "/orders/1?"+strings.Repeat("a&", legalHeadBytes/2))},
		{name: "percent escapes", first: unusual("POST", "/orders/"+strings.Repeat("%2F", legalHeadBytes/3))},
		{name: "tokens of Connection", first: startWithKey + "Connection: " + strings.Repeat("a,", legalHeadBytes/2) + "a\r\n" + unsentBody},
		{name: "one byte at a time", next: "G"},
		{name: "trailers", first: startWithKey + "Transfer-Encoding: chunked\r\n\r\n0\r\n", next: fill(4096, shortName)},
		{name: "chunk extensions", first: startWithKey + "Transfer-Encoding: chunked\r\n\r\n1;", next: kilobyte},
		{name: "large body that never arrives", first: startWithKey + "Content-Length: 4000000\r\n\r\n"},
		{name: "body without a length", first: startWithKey + "Transfer-Encoding: chunked\r\n\r\n", next: "400\r\n" + kilobyte + "\r\n"},
		{name: "unread responses", next: strings.Repeat(wholeRefuse, 100)},
		{name: "no byte", maxFDs: fewFDs},
	}
}

// untrustedGate is a gate process with one sound target, and its environment.
type untrustedGate struct {
	*gateProcess
	t      *testing.T
	memory int64 // most memory that the process may use, in bytes
	maxFDs int
	sent   *sync.Map // IDs of the requests that reached the target
}

func startUntrustedGate(t *testing.T, maxFDs int) *untrustedGate {
	store := platformtest.NewStore(t)
	require.NoError(t, store.PutTable(standin.Table{
		Version: 7, Workspaces: map[string][]string{"shop": {"k"}}, SlotsPerTarget: faultySlots,
		Routes: []standin.Route{{Name: "orders", Host: "h.example", Prefix: "/orders/", Service: "sound", Kind: standin.AtMostOnce, Timeout: faultyTimeout, MaxTargets: 1}},
	}))
	sent := &sync.Map{}
	sound := platformtest.StartTarget(t, func(c net.Conn, r *http.Request) {
		sent.Store(r.Header.Get(names.AttemptID), true)
		platformtest.RespondWhole(c, r, "done")
	})
	store.PutTarget(standin.TargetRow{ID: "s", Service: "sound", Addr: sound, Domain: "a", Slots: faultySlots, State: names.StateReady, Sequence: 1})
	vm := standin.VM{MemoryMB: untrustedMemoryMB, MaxFDs: maxFDs}
	return &untrustedGate{gateProcess: startGateProcess(t, store, vm), t: t, memory: untrustedMemoryMB << 20, maxFDs: maxFDs, sent: sent}
}

func (g *untrustedGate) openFiles() int {
	entries, err := os.ReadDir("/proc/" + strconv.Itoa(g.pid) + "/fd")
	require.NoError(g.t, err, "the process is alive")
	return len(entries)
}

// attack runs the clients, each with a kind of kinds, against addr and checks the bounds of
// the process. Afterwards, an ordinary request must be answered.
func (g *untrustedGate) attack(addr string, kinds ...untrustedKind) {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range untrustedClients {
		kind := kinds[i%len(kinds)]
		clients.Go(func() {
			for !isDone(stop) {
				kind.run(addr, stop)
				time.Sleep(pauseBetweenWrites)
			}
		})
	}
	clients.Go(func() { g.sendOrdinaryRequests(stop) })
	files := 0
	for end := time.Now().Add(untrustedDuration); time.Now().Before(end); time.Sleep(pauseBetweenWrites) {
		files = max(files, g.openFiles())
	}
	close(stop)
	clients.Wait()
	g.checkAnswers()
	peak := g.peakMemory(g.t)
	g.t.Logf("peak: %.1f MB, %d open files", float64(peak)/(1<<20), files)
	require.Less(g.t, peak, g.memory, "memory, bytes")
	require.Less(g.t, files, g.maxFDs, "open files")
}

// sendOrdinaryRequests sends requests until stop is closed, on kept and on new connections.
// Whether they are answered depends on the clients; one that is refused or whose connection
// is closed must not have reached the target.
func (g *untrustedGate) sendOrdinaryRequests(stop <-chan struct{}) {
	kept := &http.Transport{}
	defer kept.CloseIdleConnections()
	answered, number := 0, 0
	for ; !isDone(stop); number++ {
		transport := kept
		if number%2 == 0 {
			transport = &http.Transport{DisableKeepAlives: true}
		}
		id := fmt.Sprintf("%x", 0x100000+number)
		req, err := newRequest(g.CallerAddr, "/orders/1", id, faultyTimeout)
		if err != nil {
			g.t.Error(err)
			return
		}
		resp, err := transport.RoundTrip(req)
		status := 0
		if err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
		}
		if status == http.StatusOK {
			answered++
		}
		if _, reached := g.sent.Load(id); reached && (status == 0 || status == http.StatusServiceUnavailable) {
			g.t.Errorf("request %s reached the target: status %d, error %v", id, status, err)
		}
		time.Sleep(pauseBetweenWrites)
	}
	g.t.Logf("%d of %d ordinary requests answered meanwhile", answered, number)
}

// checkAnswers waits until an ordinary request is answered.
func (g *untrustedGate) checkAnswers() {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	number := 0
	processtest.Eventually(g.t, "an ordinary request is answered", func() bool {
		number++
		body, complete := callGate(g.t, transport, g.CallerAddr, "/orders/1", fmt.Sprintf("%x", 0x1000+number), faultyTimeout)
		return complete && body == "done"
	})
}

func isDone(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// run uses one connection until it is closed or stop is closed.
func (k *untrustedKind) run(addr string, stop <-chan struct{}) {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	closed := make(chan struct{})
	if k.name != "unread responses" { // reading is what notices that the connection is closed
		go func() { _, _ = io.Copy(io.Discard, c); close(closed) }()
	}
	write := func(text string) bool {
		_ = c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		_, err := io.WriteString(c, text)
		return err == nil || os.IsTimeout(err)
	}
	for alive := write(k.first); alive && !isDone(stop) && !isDone(closed); alive = write(k.next) {
		time.Sleep(pauseBetweenWrites)
	}
}

// Callers that send heads, bodies or connections meant to exhaust the gate must not
// terminate it: its memory and its descriptors stay within the limits of the settings, and
// ordinary callers are served afterwards.
func TestUntrustedCallersStayWithinLimits(t *testing.T) {
	kinds := untrustedKinds()
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			maxFDs := untrustedMaxFDs
			if kind.maxFDs > 0 {
				maxFDs = kind.maxFDs
			}
			g := startUntrustedGate(t, maxFDs)
			g.attack(g.CallerAddr, kind)
		})
	}
	t.Run("mixed", func(t *testing.T) {
		g := startUntrustedGate(t, untrustedMaxFDs)
		g.attack(g.CallerAddr, kinds...)
	})
}

// The same at the listeners for the load balancer, peers and metrics, which must respond
// afterwards.
func TestUntrustedClientsOfOtherListenersStayWithinLimits(t *testing.T) {
	kinds := untrustedKinds()
	for _, listener := range []struct {
		name string
		addr func(g *untrustedGate) string
		path string
	}{
		{"readiness", func(g *untrustedGate) string { return g.ReadyAddr }, names.PathReady},
		{"peers", func(g *untrustedGate) string { return g.PeerAddr }, relay.Path},
		{"metrics", func(g *untrustedGate) string { return g.metricsAddr }, "/metrics"},
	} {
		for _, maxFDs := range []int{untrustedMaxFDs, fewFDs} {
			t.Run(fmt.Sprintf("%s with %d files", listener.name, maxFDs), func(t *testing.T) {
				g := startUntrustedGate(t, maxFDs)
				g.attack(listener.addr(g), kinds...)
				processtest.Eventually(t, "the listener responds", func() bool {
					resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(mustRequest(t, "http://"+listener.addr(g)+listener.path))
					if err != nil {
						return false
					}
					defer resp.Body.Close()
					return listener.path == relay.Path || resp.StatusCode == http.StatusOK
				})
			})
		}
	}
}

func mustRequest(t *testing.T, url string) *http.Request {
	req, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	require.NoError(t, err)
	return req
}

// Packets that are no reports, and truncated or very long ones, leave nothing behind.
func TestUntrustedPacketsStayWithinLimits(t *testing.T) {
	g := startUntrustedGate(t, untrustedMaxFDs)
	c, err := net.Dial("udp4", g.PeerAddr)
	require.NoError(t, err)
	defer c.Close()
	// Starts of CBOR arrays, maps and strings that announce very many elements.
	starts := []string{"\x9a\xff\xff\xff\xff", "\xba\x00\xff\xff\xff", "\x5a\x7f\xff\xff\xff", strings.Repeat("\x81", 30000), strings.Repeat("\xa1\x01", 20000), ""}
	for i := range 20000 {
		_, _ = c.Write([]byte(starts[i%len(starts)] + strings.Repeat("x", i%32000))) // a full buffer is no failure
	}
	g.checkAnswers()
	peak := g.peakMemory(t)
	t.Logf("peak: %.1f MB", float64(peak)/(1<<20))
	require.Less(t, peak, g.memory, "memory, bytes")
}
