package standin

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

const maxDatagramBytes = 64 << 10

// Forwarder is a UDP link between clients and one server. It can drop all further datagrams
// of the existing flows while new flows work, as a middlebox does that has lost its state,
// and it can drop all traffic temporarily.
type Forwarder struct {
	socket *net.UDPConn
	server *net.UDPAddr

	mu          sync.Mutex
	flows       map[string]*net.UDPConn // by client address
	blackholed  map[string]bool
	partitioned bool
}

// NewForwarder forwards datagrams between a new loopback address and server (IP:port) until
// Close.
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
		socket:     socket,
		server:     addr,
		flows:      make(map[string]*net.UDPConn),
		blackholed: make(map[string]bool),
	}
	go f.forwardRequests()
	return f, nil
}

// Addr returns the address that clients use instead of the server's.
func (f *Forwarder) Addr() string { return f.socket.LocalAddr().String() }

// BlackholeFlows permanently drops the datagrams of the existing flows, in both directions.
func (f *Forwarder) BlackholeFlows() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for client := range f.flows {
		f.blackholed[client] = true
	}
}

// SetPartitioned sets whether all datagrams are dropped.
func (f *Forwarder) SetPartitioned(partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned = partitioned
}

// Close stops forwarding.
func (f *Forwarder) Close() error {
	err := f.socket.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.flows {
		_ = conn.Close()
	}
	return errors.Wrap(err, "closing the forwarder")
}

// forwardRequests forwards datagrams of clients to the server.
func (f *Forwarder) forwardRequests() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, client, err := f.socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		if conn := f.flowConn(client); conn != nil {
			_, _ = conn.Write(buf[:n])
		}
	}
}

// flowConn returns the socket to the server for client, or nil when the datagram has to be
// dropped.
func (f *Forwarder) flowConn(client *net.UDPAddr) *net.UDPConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := client.String()
	if f.partitioned || f.blackholed[key] {
		return nil
	}
	conn := f.flows[key]
	if conn != nil {
		return conn
	}
	conn, err := net.DialUDP("udp", nil, f.server)
	if err != nil {
		return nil
	}
	f.flows[key] = conn
	go f.forwardReplies(conn, client)
	return conn
}

// forwardReplies forwards datagrams of the server to client.
func (f *Forwarder) forwardReplies(conn *net.UDPConn, client *net.UDPAddr) {
	buf := make([]byte, maxDatagramBytes)
	key := client.String()
	for {
		n, err := conn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		f.mu.Lock()
		drop := err != nil || f.partitioned || f.blackholed[key]
		f.mu.Unlock()
		if !drop {
			_, _ = f.socket.WriteToUDP(buf[:n], client)
		}
	}
}
