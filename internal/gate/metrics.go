package gate

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/metric"
)

// latencyBuckets go from a plain answer in the failure domain (ms) to the
// longest time that callers wait (15 s).
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5, 10, 15}

type metrics struct {
	requests  *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	retries   *prometheus.CounterVec
	results   *prometheus.CounterVec
	resumed   prometheus.Counter
	leaving   prometheus.Counter
	pauses    prometheus.Counter
	stalled   prometheus.Counter
	firstByte *prometheus.HistogramVec
	whole     *prometheus.HistogramVec
	readSpeed *prometheus.GaugeVec
	slow      *prometheus.GaugeVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := metric.NewFactory(reg, "mastichollow_gate")
	return &metrics{
		requests:  f.CounterVec("requests_total", "Requests by the status that the caller got; 0: none.", "status"),
		refusals:  f.CounterVec("refusals_total", "Requests that the gate answered itself, by reason.", "reason"),
		retries:   f.CounterVec("retries_total", "Sends to a further target, by why the one before ended.", "reason"),
		results:   f.CounterVec("sends_total", "Sends to targets, by how they ended.", "result"),
		resumed:   f.Counter("resumed_streams_total", "Streams that went on at another target."),
		leaving:   f.Counter("leaving_targets_total", "Targets that said in an answer that they leave."),
		pauses:    f.Counter("target_pauses_total", "Pauses that targets asked for when they rejected a request."),
		stalled:   f.Counter("stalled_streams_total", "Streams of targets given up for want of events."),
		firstByte: f.HistogramVec("first_byte_seconds", "Time to the first byte of the answer.", latencyBuckets, "service"),
		whole:     f.HistogramVec("answer_seconds", "Time to the end of the answer.", latencyBuckets, "service"),
		readSpeed: f.GaugeVec("engine_read_tokens_per_ms", "Prompt tokens that engines read in a millisecond, queueing included.", "service"),
		slow:      f.GaugeVec("engine_slow_targets", "Targets that take far longer to a first event than their service.", "service"),
	}
}
