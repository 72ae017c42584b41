package transport

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/quic-go/quic-go"
)

// Timeouts and limits of connections.
const (
	handshakeTimeout = 2 * time.Second
	// keepAlivePeriod is the period of pings on a connection without other
	// traffic. A connection on which nothing arrives for idleTimeout is lost.
	keepAlivePeriod = 2 * time.Second
	idleTimeout     = 7 * time.Second
	// lingerTimeout bounds how long a stream whose handler has returned waits for
	// its peer to receive the last messages.
	lingerTimeout = 3 * time.Second

	maxStreamsPerConn   = 1 << 14
	initialStreamWindow = 64 << 10  // bytes
	maxStreamWindow     = 1 << 20   // bytes
	initialConnWindow   = 256 << 10 // bytes
	maxConnWindow       = 16 << 20  // bytes
)

const (
	closeShutdown     quic.ApplicationErrorCode = 0
	closeUnresponsive quic.ApplicationErrorCode = 1
)

// EndpointConfig configures an Endpoint.
type EndpointConfig struct {
	Addr       string // IP:port to listen on (UDP)
	Keys       *Keys
	Self       Peer // without Addr
	Logger     hclog.Logger
	Registerer prometheus.Registerer // nil: metrics are not registered
}

// Endpoint accepts and dials the connections of one process.
//
// Lock order: Endpoint.mu before peerConnection.mu.
type Endpoint struct {
	self    Peer
	metrics *metrics
	tls     *tls.Config
	quic    *quic.Config

	sharedTransport *quic.Transport
	listener        *quic.Listener
	addr            string

	mu          sync.Mutex
	connections map[string]*peerConnection
	closed      bool

	handlers sync.WaitGroup
}

// NewEndpoint binds the listening socket. Run accepts the connections to it.
func NewEndpoint(cfg EndpointConfig) (*Endpoint, error) {
	logger := cfg.Logger
	if logger == nil {
		logger = hclog.NewNullLogger()
	}
	m := newMetrics(cfg.Registerer)
	tlsConfig, err := cfg.Keys.tlsConfig(cfg.Self, func(err error) {
		m.peersRefused.Inc()
		logger.Debug("handshake refused", "error", err)
	})
	if err != nil {
		return nil, err
	}
	socket, err := listenUDP(cfg.Addr)
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		self:            cfg.Self,
		metrics:         m,
		tls:             tlsConfig,
		quic:            quicConfig(),
		sharedTransport: &quic.Transport{Conn: socket},
		addr:            socket.LocalAddr().String(),
		connections:     make(map[string]*peerConnection),
	}
	e.listener, err = e.sharedTransport.Listen(e.tls, e.quic)
	if err != nil {
		_ = socket.Close()
		return nil, errors.Wrapf(err, "listening on %q", cfg.Addr)
	}
	return e, nil
}

func listenUDP(addr string) (*net.UDPConn, error) {
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", addr)
	}
	socket, err := net.ListenUDP("udp", udp)
	return socket, errors.Wrapf(err, "listening on %q", addr)
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		MaxIncomingStreams:             maxStreamsPerConn,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: initialConnWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
	}
}

// Addr returns the IP:port on which the endpoint listens (UDP).
func (e *Endpoint) Addr() string { return e.addr }

// Run accepts connections and serves their streams until ctx ends, then waits for the
// handlers of open streams. The handlers' contexts do not end with ctx, so that a
// graceful shutdown interrupts none of them; Close ends them. It always returns nil.
func (e *Endpoint) Run(ctx context.Context, h Handler) error {
	handlerCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	for {
		conn, err := e.listener.Accept(ctx)
		if err != nil {
			break
		}
		e.handlers.Go(func() { e.serveConn(ctx, handlerCtx, conn, h) })
	}
	e.handlers.Wait()
	return nil
}

// serveConn serves the streams of conn until ctx ends or the connection is lost, then
// waits for their handlers.
func (e *Endpoint) serveConn(ctx, handlerCtx context.Context, conn *quic.Conn, h Handler) {
	e.metrics.connections.Inc()
	defer e.metrics.connections.Dec()
	peer := peerOf(conn.ConnectionState().TLS, conn.RemoteAddr().String())
	link := linkClass(e.self, peer)
	stopMeter := e.startMeter(conn, link)
	defer stopMeter()
	var streams sync.WaitGroup
	for {
		s, err := conn.AcceptStream(ctx)
		if err != nil {
			break
		}
		streams.Go(func() {
			serveStream(conn.Context(), handlerCtx, peer, newQUICStream(s, link, e.metrics), h)
		})
	}
	streams.Wait()
}

// serveStream serves one stream. The handler's context ends when the connection is lost
// or the endpoint is closed.
func serveStream(connCtx, handlerCtx context.Context, peer Peer, s *quicStream, h Handler) {
	ctx, cancel := context.WithCancel(handlerCtx)
	defer cancel()
	stop := context.AfterFunc(connCtx, cancel)
	defer stop()
	first, err := s.Recv(ctx)
	if err != nil {
		_ = s.Close()
		return
	}
	h.ServeStream(ctx, peer, first, s)
	s.closeGracefully(lingerTimeout)
}

// Close closes all connections immediately.
func (e *Endpoint) Close() error {
	e.mu.Lock()
	e.closed = true
	connections := e.connections
	e.connections = make(map[string]*peerConnection)
	e.mu.Unlock()
	for _, c := range connections {
		c.close(closeShutdown, "shutdown")
	}
	err := e.sharedTransport.Close()
	_ = e.sharedTransport.Conn.Close()
	return errors.Wrap(err, "closing the endpoint")
}
