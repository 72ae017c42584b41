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
		deferred: f.Counter("deferred_total", "Answers and releases that wait for the platform."),
		dropped:  f.Counter("dropped_total", "Answers and releases given up because too many were waiting; their claims stay started."),
	}
}

// count counts the result of a Begin.
func (m *metrics) count(answer *Answer, err error) {
	m.begun.WithLabelValues(result(answer, err)).Inc()
}

func result(answer *Answer, err error) string {
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
