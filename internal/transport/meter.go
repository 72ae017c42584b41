package transport

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// packetMeter counts the packets of the open connections, headers, pings and
// retransmissions included.
type packetMeter struct {
	conn     *quic.Conn
	link     string
	metrics  *metrics
	mu       sync.Mutex
	sent     uint64
	received uint64
}

// meter counts conn's packets from now on until the returned function is
// called.
func (e *Endpoint) meter(conn *quic.Conn, link string) func() {
	m := &packetMeter{conn: conn, link: link, metrics: e.metrics}
	remove := e.metrics.watch(m)
	return func() {
		m.update()
		remove()
	}
}

// update adds what has come since the last call to the counters.
func (m *packetMeter) update() {
	m.mu.Lock()
	defer m.mu.Unlock()
	stats := m.conn.ConnectionStats()
	m.metrics.packetBytes.WithLabelValues(m.link, "sent").Add(float64(stats.BytesSent - m.sent))
	m.metrics.packetBytes.WithLabelValues(m.link, "received").Add(float64(stats.BytesReceived - m.received))
	m.sent, m.received = stats.BytesSent, stats.BytesReceived
}
