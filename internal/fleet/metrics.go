package fleet

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// LinkClass tells how far apart the ends of a link are.
type LinkClass string

// Classes of links.
const (
	LinkDomain      LinkClass = "domain"
	LinkRegion      LinkClass = "region"
	LinkCrossRegion LinkClass = "cross_region"
)

// Classify returns the class of a link between a and b.
func Classify(a, b target.VM) LinkClass {
	switch {
	case a.Region != b.Region:
		return LinkCrossRegion
	case a.Domain != b.Domain:
		return LinkRegion
	default:
		return LinkDomain
	}
}

type metrics struct {
	sentBytes *prometheus.CounterVec
	links     *prometheus.GaugeVec
	lost      *prometheus.CounterVec
	polls     *prometheus.CounterVec
	writes    *prometheus.CounterVec
	version   prometheus.Gauge
	stale     prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		sentBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mastichollow_control_sent_bytes_total",
			Help: "Bytes of control messages sent, with frame headers and without those of the transport.",
		}, []string{"link"}),
		links: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "mastichollow_control_links",
			Help: "Control streams that are up.",
		}, []string{"kind"}),
		lost: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mastichollow_control_links_lost_total",
			Help: "Control streams that ended, by reason.",
		}, []string{"reason"}),
		polls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mastichollow_platform_polls_total",
			Help: "Reads of the table, the suspects and the VM list, by result.",
		}, []string{"what", "result"}),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mastichollow_status_writes_total",
			Help: "Writes of confirmed versions to the table service, by result.",
		}, []string{"result"}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mastichollow_table_version",
			Help: "Version of the workspace table in force, 0: none.",
		}),
		stale: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mastichollow_config_stale",
			Help: "1 when neither this process nor a relay of it can read the platform.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.sentBytes, m.links, m.lost, m.polls, m.writes, m.version, m.stale)
	}
	return m
}

// countSent counts the bytes of a sent message. buf is scratch space and is
// returned for the next call.
func (m *metrics) countSent(buf []byte, class LinkClass, msg wire.Message) []byte {
	frame, err := wire.Append(buf[:0], msg)
	if err == nil {
		m.sentBytes.WithLabelValues(string(class)).Add(float64(len(frame)))
	}
	return frame
}

// String returns the kind's label in metrics.
func (k linkKind) String() string {
	switch k {
	case toRelay:
		return "to_relay"
	case toMember:
		return "to_member"
	case toPeer:
		return "to_peer"
	default:
		return "from_peer"
	}
}
