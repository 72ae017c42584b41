package platform

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
)

// Results of calls, as labels.
const (
	resultOK          = "ok"
	resultNotFound    = "not_found"
	resultConflict    = "conflict"
	resultUnavailable = "unavailable"
	resultUncertain   = "uncertain"
	resultOther       = "other"
)

// Reasons for which a call is refused or not repeated, as labels.
const (
	refusedBreaker  = "breaker_open"
	refusedBudget   = "retry_budget"
	refusedRetries  = "retries_used_up"
	refusedDeadline = "deadline"
)

// guardMetrics counts the calls of a Guarded.
type guardMetrics struct {
	calls   *prometheus.CounterVec // op, result
	retries *prometheus.CounterVec // op
	refused *prometheus.CounterVec // op, reason
}

func newGuardMetrics(reg prometheus.Registerer) *guardMetrics {
	m := &guardMetrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mastichollow_platform_calls_total",
			Help: "Calls of the table service, with retries, by operation and result.",
		}, []string{"op", "result"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mastichollow_platform_retries_total",
			Help: "Repeated calls of the table service by operation.",
		}, []string{"op"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mastichollow_platform_refused_total",
			Help: "Calls of the table service that were not made or not repeated, by operation and reason.",
		}, []string{"op", "reason"}),
	}
	if reg != nil {
		reg.MustRegister(m.calls, m.retries, m.refused)
	}
	return m
}

// resultOf returns the label of a call's result.
func resultOf(err error) string {
	switch {
	case err == nil:
		return resultOK
	case errors.Is(err, ErrNotFound):
		return resultNotFound
	case errors.Is(err, ErrConflict):
		return resultConflict
	case errors.Is(err, ErrUncertain):
		return resultUncertain
	case errors.Is(err, ErrUnavailable):
		return resultUnavailable
	default:
		return resultOther
	}
}
