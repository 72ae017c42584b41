package claim

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/metric"
)

type metrics struct {
	begun    *prometheus.CounterVec
	deferred prometheus.Counter
	dropped  prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := metric.NewFactory(reg, "mastichollow_claim")
	return &metrics{
		begun:    f.CounterVec("begun_total", "Claims begun, by result: made, replayed, started, key_reused or unavailable.", "result"),
		deferred: f.Counter("deferred_total", "Answers and releases queued because the platform was unavailable."),
		dropped:  f.Counter("dropped_total", "Answers and releases dropped because the queue was full; their claims stay started."),
	}
}

// countBegin counts a result of Begin.
func (m *metrics) countBegin(answer *Answer, err error) {
	m.begun.WithLabelValues(beginResult(answer, err)).Inc()
}

// beginResult returns the label of a result of Begin.
func beginResult(answer *Answer, err error) string {
	switch {
	case errors.Is(err, ErrKeyReused):
		return "key_reused"
	case errors.Is(err, ErrStarted):
		return "started"
	case err != nil:
		return "unavailable"
	case answer != nil:
		return "replayed"
	default:
		return "made"
	}
}
