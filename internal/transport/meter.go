package transport

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// packetMeter counts the bytes of the QUIC packets of one connection, including headers,
// pings and retransmissions.
type packetMeter struct {
	conn     *quic.Conn
	link     string
	metrics  *metrics
	mu       sync.Mutex
	sent     uint64
	received uint64
}

// startMeter counts the packets of conn until the returned function is called.
func (e *Endpoint) startMeter(conn *quic.Conn, link string) func() {
	m := &packetMeter{conn: conn, link: link, metrics: e.metrics}
	remove := e.metrics.addMeter(m)
	return func() {
		m.update()
		remove()
	}
}

// update adds the bytes since the previous call to the metrics.
func (m *packetMeter) update() {
	m.mu.Lock()
	defer m.mu.Unlock()
	stats := m.conn.ConnectionStats()
	m.metrics.packetBytes.WithLabelValues(m.link, "sent").Add(float64(stats.BytesSent - m.sent))
	m.metrics.packetBytes.WithLabelValues(m.link, "received").Add(float64(stats.BytesReceived - m.received))
	m.sent, m.received = stats.BytesSent, stats.BytesReceived
}
