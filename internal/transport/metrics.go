package transport

import (
	"maps"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/metric"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// Classes of links, by what the two ends share.
const (
	linkDomain      = "domain"
	linkRegion      = "region"
	linkCrossRegion = "cross_region"
)

// Kinds of messages in the byte counters.
const (
	kindControl = "control"
	kindRequest = "request"
)

type metrics struct {
	sent        *prometheus.CounterVec
	received    *prometheus.CounterVec
	refused     prometheus.Counter
	dials       *prometheus.CounterVec
	lost        prometheus.Counter
	connections prometheus.Gauge
	packetBytes *prometheus.CounterVec

	mu     sync.Mutex
	meters map[*packetMeter]struct{}
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := metric.NewFactory(reg, "mastichollow_transport")
	unregistered := metric.NewFactory(nil, "mastichollow_transport")
	m := &metrics{
		meters:      make(map[*packetMeter]struct{}),
		sent:        f.CounterVec("sent_bytes_total", "Bytes of frames sent, by class of link and kind of message.", "link", "kind"),
		received:    f.CounterVec("received_bytes_total", "Bytes of frames received, by class of link and kind of message.", "link", "kind"),
		refused:     f.Counter("peers_refused_total", "Handshakes refused because the peer does not hold the fleet's key."),
		dials:       f.CounterVec("dials_total", "Connections dialled, by result.", "result"),
		lost:        f.Counter("connections_lost_total", "Dialled connections that were lost or given up as silent."),
		connections: f.Gauge("connections", "Open connections."),
		packetBytes: unregistered.CounterVec("packet_bytes_total", "Bytes of QUIC packets, by class of link and direction.", "link", "direction"),
	}
	if reg != nil {
		reg.MustRegister(packetCollector{m})
	}
	return m
}

// linkClass returns the class of the link between two members.
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

// kindOf returns the kind of a message of type t.
func kindOf(t wire.Type) string {
	if t >= wire.TypeHello {
		return kindControl
	}
	return kindRequest
}

// watch includes meter in each collection until the returned function is
// called.
func (m *metrics) watch(meter *packetMeter) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meters[meter] = struct{}{}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.meters, meter)
	}
}

// packetCollector brings the packet counters up to date when they are
// collected.
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
