// Package metric creates and registers Prometheus metrics of one namespace.
package metric

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Factory creates metrics whose names begin with a namespace and registers them.
type Factory struct {
	namespace string
	auto      promauto.Factory
}

// NewFactory returns a factory for a namespace. With a nil registerer its metrics are not
// exported.
func NewFactory(reg prometheus.Registerer, namespace string) Factory {
	return Factory{namespace: namespace, auto: promauto.With(reg)}
}

// Counter creates a counter.
func (f Factory) Counter(name, help string) prometheus.Counter {
	return f.auto.NewCounter(prometheus.CounterOpts{Namespace: f.namespace, Name: name, Help: help})
}

// CounterVec creates a counter for each combination of label values.
func (f Factory) CounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return f.auto.NewCounterVec(prometheus.CounterOpts{Namespace: f.namespace, Name: name, Help: help}, labels)
}

// GaugeVec creates a gauge for each combination of label values.
func (f Factory) GaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return f.auto.NewGaugeVec(prometheus.GaugeOpts{Namespace: f.namespace, Name: name, Help: help}, labels)
}

// Gauge creates a gauge.
func (f Factory) Gauge(name, help string) prometheus.Gauge {
	return f.auto.NewGauge(prometheus.GaugeOpts{Namespace: f.namespace, Name: name, Help: help})
}

// HistogramVec creates a histogram with the given bucket bounds for each combination of
// label values.
func (f Factory) HistogramVec(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	return f.auto.NewHistogramVec(prometheus.HistogramOpts{Namespace: f.namespace, Name: name, Help: help, Buckets: buckets}, labels)
}
