package claim

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	begun    *prometheus.CounterVec
	deferred prometheus.Counter
	dropped  prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{
		begun: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mastichollow_claim_begun_total",
			Help: "Claims begun, by result: made, replayed, started, key_reused or unavailable.",
		}, []string{"result"}),
		deferred: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mastichollow_claim_deferred_total",
			Help: "Answers and releases that wait for the platform.",
		}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mastichollow_claim_dropped_total",
			Help: "Answers and releases given up because too many were waiting; their claims stay started.",
		}),
	}
	if reg != nil {
		reg.MustRegister(m.begun, m.deferred, m.dropped)
	}
	return m
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
