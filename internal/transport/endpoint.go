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

// Times and sizes of connections.
const (
	handshakeTimeout = 2 * time.Second
	// keepAlivePeriod is the period of pings on a connection without other
	// traffic; a peer that answers none for idleTimeout counts as lost.
	keepAlivePeriod = 2 * time.Second
	idleTimeout     = 7 * time.Second
	// lingerTimeout bounds how long an answered stream waits for its peer to
	// read the last messages.
	lingerTimeout = 3 * time.Second

	maxIncomingStreams = 1 << 14
	streamWindow       = 64 << 10 // bytes, at first
	maxStreamWindow    = 1 << 20  // bytes
	connWindow         = 256 << 10
	maxConnWindow      = 16 << 20
)

const (
	closeShutdown quic.ApplicationErrorCode = 0
	closeSilent   quic.ApplicationErrorCode = 1
)

// EndpointConfig configures an Endpoint.
type EndpointConfig struct {
	Addr       string // IP:port to listen on (UDP)
	Keys       *Keys
	Self       Peer // its Addr is not used
	Logger     hclog.Logger
	Registerer prometheus.Registerer // nil: metrics are not exported
}

// Endpoint listens for and dials connections of one process.
//
// Lock order: Endpoint.mu before dialed.mu.
type Endpoint struct {
	self    Peer
	metrics *metrics
	tls     *tls.Config
	quic    *quic.Config

	shared   *quic.Transport
	listener *quic.Listener
	addr     string

	mu     sync.Mutex
	peers  map[string]*dialed
	closed bool

	handlers sync.WaitGroup
}

// NewEndpoint binds the listening socket. Run accepts streams on it.
func NewEndpoint(cfg EndpointConfig) (*Endpoint, error) {
	logger := cfg.Logger
	if logger == nil {
		logger = hclog.NewNullLogger()
	}
	m := newMetrics(cfg.Registerer)
	tlsConfig, err := cfg.Keys.tlsConfig(cfg.Self, func(err error) {
		m.refused.Inc()
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
		self:    cfg.Self,
		metrics: m,
		tls:     tlsConfig,
		quic:    quicConfig(),
		shared:  &quic.Transport{Conn: socket},
		addr:    socket.LocalAddr().String(),
		peers:   make(map[string]*dialed),
	}
	e.listener, err = e.shared.Listen(e.tls, e.quic)
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
		MaxIncomingStreams:             maxIncomingStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
	}
}

// Addr returns the address that the endpoint is bound to.
func (e *Endpoint) Addr() string { return e.addr }

// Run accepts connections and serves their streams until ctx ends, then waits
// for the streams that are being served. Their context does not end with ctx,
// so that a graceful shutdown cuts none; Close ends them.
func (e *Endpoint) Run(ctx context.Context, h Handler) error {
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	for {
		conn, err := e.listener.Accept(ctx)
		if err != nil {
			break
		}
		e.handlers.Go(func() { e.serveConn(ctx, serving, conn, h) })
	}
	e.handlers.Wait()
	return nil
}

// serveConn accepts the streams of conn until ctx ends or the connection is
// lost.
func (e *Endpoint) serveConn(ctx, serving context.Context, conn *quic.Conn, h Handler) {
	e.metrics.connections.Inc()
	defer e.metrics.connections.Dec()
	peer := peerOf(conn.ConnectionState().TLS, conn.RemoteAddr().String())
	link := linkClass(e.self, peer)
	stopMeter := e.meter(conn, link)
	defer stopMeter()
	var streams sync.WaitGroup
	for {
		s, err := conn.AcceptStream(ctx)
		if err != nil {
			break
		}
		streams.Go(func() {
			serveStream(conn.Context(), serving, peer, newQUICStream(s, link, e.metrics), h)
		})
	}
	streams.Wait()
}

// serveStream serves one stream. The handler's context ends when the
// connection is lost or the endpoint closes.
func serveStream(conn, serving context.Context, peer Peer, s *quicStream, h Handler) {
	ctx, cancel := context.WithCancel(serving)
	defer cancel()
	stop := context.AfterFunc(conn, cancel)
	defer stop()
	first, err := s.Recv(ctx)
	if err != nil {
		_ = s.Close()
		return
	}
	h.ServeStream(ctx, peer, first, s)
	s.finish(lingerTimeout)
}

// Close closes all connections at once.
func (e *Endpoint) Close() error {
	e.mu.Lock()
	e.closed = true
	peers := e.peers
	e.peers = make(map[string]*dialed)
	e.mu.Unlock()
	for _, d := range peers {
		d.drop(closeShutdown, "shutdown")
	}
	err := e.shared.Close()
	_ = e.shared.Conn.Close()
	return errors.Wrap(err, "closing the endpoint")
}
