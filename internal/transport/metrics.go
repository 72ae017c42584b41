package transport

import (
	"maps"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/metric"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// Values of the label link: the smallest unit that contains both ends.
const (
	linkDomain      = "domain"
	linkRegion      = "region"
	linkCrossRegion = "cross_region"
)

// Values of the label kind.
const (
	kindControl = "control"
	kindRequest = "request"
)

type metrics struct {
	sentBytes       *prometheus.CounterVec
	receivedBytes   *prometheus.CounterVec
	peersRefused    prometheus.Counter
	dials           *prometheus.CounterVec
	connectionsLost prometheus.Counter
	connections     prometheus.Gauge
	packetBytes     *prometheus.CounterVec

	mu     sync.Mutex
	meters map[*packetMeter]struct{}
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := metric.NewFactory(reg, "mastichollow_transport")
	unregistered := metric.NewFactory(nil, "mastichollow_transport")
	m := &metrics{
		meters:          make(map[*packetMeter]struct{}),
		sentBytes:       f.CounterVec("sent_bytes_total", "Bytes of frames sent, by class of link and kind of message.", "link", "kind"),
		receivedBytes:   f.CounterVec("received_bytes_total", "Bytes of frames received, by class of link and kind of message.", "link", "kind"),
		peersRefused:    f.Counter("peers_refused_total", "Handshakes refused because the peer does not hold the fleet's key."),
		dials:           f.CounterVec("dials_total", "Connections dialled, by result.", "result"),
		connectionsLost: f.Counter("connections_lost_total", "Dialled connections that were lost or closed as unresponsive."),
		connections:     f.Gauge("connections", "Open connections."),
		packetBytes:     unregistered.CounterVec("packet_bytes_total", "Bytes of QUIC packets, by class of link and direction.", "link", "direction"),
	}
	if reg != nil {
		reg.MustRegister(packetCollector{m})
	}
	return m
}

// linkClass returns the value of the label link for two members.
func linkClass(a, b Peer) string {
	switch {
	case a.Region != b.Region:
		return linkCrossRegion
	case a.Domain != b.Domain:
		return linkRegion
	default:
		return linkDomain
	}
}

// messageKind returns the value of the label kind for messages of type t.
func messageKind(t wire.Type) string {
	if t >= wire.TypeHello {
		return kindControl
	}
	return kindRequest
}

// addMeter updates meter at each collection until the returned function is called.
func (m *metrics) addMeter(meter *packetMeter) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meters[meter] = struct{}{}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.meters, meter)
	}
}

// packetCollector updates the packet counters when they are collected.
type packetCollector struct{ m *metrics }

// Describe implements prometheus.Collector.
func (c packetCollector) Describe(ch chan<- *prometheus.Desc) { c.m.packetBytes.Describe(ch) }

// Collect implements prometheus.Collector.
func (c packetCollector) Collect(ch chan<- prometheus.Metric) {
	c.m.mu.Lock()
	meters := slices.Collect(maps.Keys(c.m.meters))
	c.m.mu.Unlock()
	for _, meter := range meters {
		meter.update()
	}
	c.m.packetBytes.Collect(ch)
}
