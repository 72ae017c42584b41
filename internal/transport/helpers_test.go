package transport

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/wire"
)

// requireMark checks that err is marked mark; the standard library's Is does
// not see marks.
func requireMark(t testing.TB, err, mark error) {
	t.Helper()
	require.Truef(t, errors.Is(err, mark), "%v is not marked %q", err, mark)
}

type testEndpoint struct {
	*Endpoint
	keys string
}

func newTestEndpoint(t testing.TB, member, keys string) testEndpoint {
	t.Helper()
	parsed, err := ParseKeys(keys)
	require.NoError(t, err)
	e, err := NewEndpoint(EndpointConfig{
		Addr: "127.0.0.1:0",
		Keys: parsed,
		Self: Peer{Member: member, Domain: "d1", Region: "r1"},
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = e.Close() })
	return testEndpoint{Endpoint: e, keys: keys}
}

func newTestEndpointWith(t testing.TB, member, keys string) *Endpoint {
	t.Helper()
	return newTestEndpoint(t, member, keys).Endpoint
}

// run serves h on e until the test ends.
func run(t testing.TB, e *Endpoint, h Handler) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = e.Run(ctx, h) }()
}

// echo sends each message back.
var echo = HandlerFunc(func(ctx context.Context, _ Peer, m wire.Message, s Stream) {
	for {
		if err := s.Send(ctx, m); err != nil {
			return
		}
		var err error
		if m, err = s.Recv(ctx); err != nil {
			return
		}
	}
})

// forwarder passes datagrams between clients and one server, and can drop all
// those of the clients that it has seen so far.
type forwarder struct {
	socket *net.UDPConn
	server *net.UDPAddr

	mu     sync.Mutex
	paths  map[string]*net.UDPConn // by client address
	silent map[string]bool
}

func newForwarder(t *testing.T, server string) *forwarder {
	t.Helper()
	addr, err := net.ResolveUDPAddr("udp", server)
	require.NoError(t, err)
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	f := &forwarder{socket: socket, server: addr, paths: map[string]*net.UDPConn{}, silent: map[string]bool{}}
	go f.run()
	t.Cleanup(f.close)
	return f
}

func (f *forwarder) addr() string { return f.socket.LocalAddr().String() }

// silence drops everything on the paths seen so far, in both directions.
func (f *forwarder) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for client := range f.paths {
		f.silent[client] = true
	}
}

func (f *forwarder) close() {
	_ = f.socket.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.paths {
		_ = p.Close()
	}
}

func (f *forwarder) run() {
	buf := make([]byte, 64<<10)
	for {
		n, client, err := f.socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if path := f.path(client); path != nil {
			_, _ = path.Write(buf[:n])
		}
	}
}

// path returns the socket towards the server for client, or nil when it is
// silent.
func (f *forwarder) path(client *net.UDPAddr) *net.UDPConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := client.String()
	if f.silent[key] {
		return nil
	}
	path := f.paths[key]
	if path == nil {
		var err error
		path, err = net.DialUDP("udp", nil, f.server)
		if err != nil {
			return nil
		}
		f.paths[key] = path
		go f.back(path, client)
	}
	return path
}

func (f *forwarder) back(path *net.UDPConn, client *net.UDPAddr) {
	buf := make([]byte, 64<<10)
	for {
		n, err := path.Read(buf)
		if err != nil {
			return
		}
		f.mu.Lock()
		silent := f.silent[client.String()]
		f.mu.Unlock()
		if !silent {
			_, _ = f.socket.WriteToUDP(buf[:n], client)
		}
	}
}
