package agent

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/mastichollow/mastichollow/internal/request"
)

const namespace = "mastichollow_agent"

// metrics are the counters of an agent.
type metrics struct {
	refusals     *prometheus.CounterVec // by reason
	outcomes     *prometheus.CounterVec // by outcome, reason
	grants       *prometheus.CounterVec // by class
	retries      *prometheus.CounterVec // by operation
	resumes      *prometheus.CounterVec // by result
	serviceUnits prometheus.Counter
	busySeconds  prometheus.Counter
	crashes      prometheus.Counter
	duplicates   prometheus.Counter
	orphans      prometheus.Counter
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	counter := func(name, help string) prometheus.Counter {
		return f.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	}
	vector := func(name, help string, labels ...string) *prometheus.CounterVec {
		return f.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	return &metrics{
		refusals:     vector("refusals_total", "Offers refused, by reason.", "reason"),
		outcomes:     vector("attempts_total", "Accepted attempts that ended, by outcome and reason.", "outcome", "reason"),
		grants:       vector("grants_total", "Offers granted, by class.", "class"),
		retries:      vector("retries_total", "Retried calls to the platform, by operation.", "operation"),
		resumes:      vector("resumes_total", "Answers resumed on a new stream, by result.", "result"),
		serviceUnits: counter("service_units_total", "Service charged to workspaces, in service units."),
		busySeconds:  counter("slot_busy_seconds_total", "Time for which slots were in use, in seconds."),
		crashes:      counter("target_crashes_total", "Detected crashes of the target."),
		duplicates:   counter("duplicates_total", "Offers that waited because a request with the same fingerprint was running."),
		orphans:      counter("orphans_total", "Attempts cancelled because no router resumed the answer."),
	}
}

// countResult counts the result of an accepted attempt.
func (m *metrics) countResult(result attemptResult) {
	label := result.reason
	if result.outcome == request.OutcomeCompleted {
		label = "none"
	}
	m.outcomes.WithLabelValues(result.outcome.String(), string(label)).Inc()
}

// registerLoad exports the queue length and the slot usage.
func registerLoad(reg prometheus.Registerer, s *scheduler) {
	f := promauto.With(reg)
	gauge := func(name, help string, value func() int) {
		f.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help},
			func() float64 { return float64(value()) })
	}
	gauge("queue_length", "Offers waiting for a grant.", func() int { queued, _ := s.load(); return queued })
	gauge("slots_busy", "Slots in use.", func() int { _, running := s.load(); return running })
	gauge("slots", "Slots of the target.", func() int { return s.slots })
}
