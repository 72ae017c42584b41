package fleet

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// LinkClass classifies a link by the distance between its ends.
type LinkClass string

// Classes of links: within a failure domain, within a region, between regions.
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
	sentBytes    *prometheus.CounterVec
	links        *prometheus.GaugeVec
	linksLost    *prometheus.CounterVec
	polls        *prometheus.CounterVec
	statusWrites *prometheus.CounterVec
	tableVersion prometheus.Gauge
	configStale  prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		sentBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mastichollow_control_sent_bytes_total",
			Help: "Bytes of control messages sent, including frame headers and excluding transport headers.",
		}, []string{"link"}),
		links: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "mastichollow_control_links",
			Help: "Open control streams, by kind.",
		}, []string{"kind"}),
		linksLost: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mastichollow_control_links_lost_total",
			Help: "Control streams that ended, by reason.",
		}, []string{"reason"}),
		polls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mastichollow_platform_polls_total",
			Help: "Reads of the table, the suspects and the VM list, by result.",
		}, []string{"what", "result"}),
		statusWrites: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mastichollow_status_writes_total",
			Help: "Writes of confirmed versions to the table service, by result.",
		}, []string{"result"}),
		tableVersion: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mastichollow_table_version",
			Help: "Version of the workspace table in force; 0 without a table.",
		}),
		configStale: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mastichollow_config_stale",
			Help: "1 if neither this process nor any of its relays can read the platform, otherwise 0.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.sentBytes, m.links, m.linksLost, m.polls, m.statusWrites, m.tableVersion, m.configStale)
	}
	return m
}

// countSent counts the encoded size of a sent message. buf is a scratch buffer;
// the returned buffer is passed to the next call.
func (m *metrics) countSent(buf []byte, class LinkClass, msg wire.Message) []byte {
	frame, err := wire.Append(buf[:0], msg)
	if err == nil {
		m.sentBytes.WithLabelValues(string(class)).Add(float64(len(frame)))
	}
	return frame
}

// String returns the metric label of the kind.
func (k linkKind) String() string {
	switch k {
	case linkToRelay:
		return "to_relay"
	case linkToMember:
		return "to_member"
	case linkToPeer:
		return "to_peer"
	default:
		return "from_peer"
	}
}
