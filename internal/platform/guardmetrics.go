package platform

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/metric"
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
	f := metric.NewFactory(reg, "mastichollow_platform")
	return &guardMetrics{
		calls:   f.CounterVec("calls_total", "Calls of the table service, with retries, by operation and result.", "op", "result"),
		retries: f.CounterVec("retries_total", "Repeated calls of the table service by operation.", "op"),
		refused: f.CounterVec("refused_total", "Calls of the table service that were not made or not repeated, by operation and reason.", "op", "reason"),
	}
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
