package standin

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

const maxDatagram = 64 << 10 // bytes

// Forwarder is a UDP link between clients and one server. It can lose track of
// the paths in use, as a middlebox does: they go silent for good while new
// ones work; and it can cut all traffic for a while.
type Forwarder struct {
	socket *net.UDPConn
	server *net.UDPAddr

	mu     sync.Mutex
	paths  map[string]*net.UDPConn // by client address
	silent map[string]bool
	cut    bool
}

// NewForwarder forwards between a new address on loopback and server (IP:port)
// until Close.
func NewForwarder(server string) (*Forwarder, error) {
	addr, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", server)
	}
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "listening for datagrams")
	}
	f := &Forwarder{
		socket: socket,
		server: addr,
		paths:  make(map[string]*net.UDPConn),
		silent: make(map[string]bool),
	}
	go f.run()
	return f, nil
}

// Addr returns the address that clients use in place of the server's.
func (f *Forwarder) Addr() string { return f.socket.LocalAddr().String() }

// Silence drops everything on the paths in use, in both directions, for good.
func (f *Forwarder) Silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for client := range f.paths {
		f.silent[client] = true
	}
}

// SetCut drops everything while cut is set.
func (f *Forwarder) SetCut(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

// Close ends the link.
func (f *Forwarder) Close() error {
	err := f.socket.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.paths {
		_ = p.Close()
	}
	return errors.Wrap(err, "closing the forwarder")
}

// run passes datagrams of clients on to the server.
func (f *Forwarder) run() {
	buf := make([]byte, maxDatagram)
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

// path returns the socket towards the server for client, or nil when nothing
// passes.
func (f *Forwarder) path(client *net.UDPAddr) *net.UDPConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := client.String()
	if f.cut || f.silent[key] {
		return nil
	}
	path := f.paths[key]
	if path != nil {
		return path
	}
	path, err := net.DialUDP("udp", nil, f.server)
	if err != nil {
		return nil
	}
	f.paths[key] = path
	go f.back(path, client)
	return path
}

// back passes datagrams of the server on to client.
func (f *Forwarder) back(path *net.UDPConn, client *net.UDPAddr) {
	buf := make([]byte, maxDatagram)
	key := client.String()
	for {
		n, err := path.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		f.mu.Lock()
		drop := err != nil || f.cut || f.silent[key]
		f.mu.Unlock()
		if !drop {
			_, _ = f.socket.WriteToUDP(buf[:n], client)
		}
	}
}
