package platform

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/metric"
)

// Values of the label result of calls_total.
const (
	resultOK          = "ok"
	resultNotFound    = "not_found"
	resultConflict    = "conflict"
	resultUnavailable = "unavailable"
	resultUncertain   = "uncertain"
	resultOther       = "other"
)

// Values of the label reason of refused_total.
const (
	reasonBreakerOpen = "breaker_open"
	reasonRetryBudget = "retry_budget"
	reasonMaxRetries  = "retries_used_up"
	reasonDeadline    = "deadline"
)

// callMetrics are the metrics of a ResilientTable.
type callMetrics struct {
	calls      *prometheus.CounterVec // op, result
	retries    *prometheus.CounterVec // op
	suppressed *prometheus.CounterVec // op, reason
}

func newCallMetrics(reg prometheus.Registerer) *callMetrics {
	f := metric.NewFactory(reg, "mastichollow_platform")
	return &callMetrics{
		calls:      f.CounterVec("calls_total", "Calls of the table service, with retries, by operation and result.", "op", "result"),
		retries:    f.CounterVec("retries_total", "Repeated calls of the table service by operation.", "op"),
		suppressed: f.CounterVec("refused_total", "Calls of the table service that were not made or not repeated, by operation and reason.", "op", "reason"),
	}
}

// resultOf returns the value of the label result for a call that returned err.
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
