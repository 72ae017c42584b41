package router

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/placement"
	"github.com/mastichollow/mastichollow/internal/request"
)

// metrics counts what the router does.
type metrics struct {
	running       prometheus.Gauge
	requests      *prometheus.CounterVec   // by class and result
	refusals      *prometheus.CounterVec   // by reason
	aborted       *prometheus.CounterVec   // by reason
	retries       *prometheus.CounterVec   // by reason and outcome
	resumes       *prometheus.CounterVec   // by cause
	offers        *prometheus.CounterVec   // by link
	offerResults  *prometheus.CounterVec   // by link and result
	offerRefusals *prometheus.CounterVec   // by reason
	bytes         *prometheus.CounterVec   // by link and direction
	crossed       prometheus.Counter       // messages of another attempt
	duplicates    prometheus.Counter       // requests that waited for one like them
	seconds       *prometheus.HistogramVec // whole answers, by class
	firstByte     *prometheus.HistogramVec // by class

	links [3]linkMetrics // by placement.Link
}

// linkMetrics are the counters of one link class, kept to spare the look-up by
// label.
type linkMetrics struct {
	offers   prometheus.Counter
	sent     prometheus.Counter
	received prometheus.Counter
}

var latencyBuckets = prometheus.ExponentialBuckets(0.001, 2, 18) // 1 ms to 131 s

func newMetrics(reg prometheus.Registerer) *metrics {
	f := factory{reg}
	m := &metrics{
		running:       f.gauge("running_requests", "Requests in hand."),
		requests:      f.counter("requests_total", "Requests that were offered to agents, by class and result.", "class", "result"),
		refusals:      f.counter("refusals_total", "Requests refused, by reason.", "reason"),
		aborted:       f.counter("aborted_answers_total", "Answers aborted after their begin, by reason.", "reason"),
		retries:       f.counter("retries_total", "Retries, by reason and outcome of the attempt before.", "reason", "outcome"),
		resumes:       f.counter("resumes_total", "Streams replaced to resume an attempt, by cause.", "cause"),
		offers:        f.counter("offers_total", "Offers sent, by class of the link.", "link"),
		offerResults:  f.counter("offer_results_total", "Offers answered, by class of the link and result.", "link", "result"),
		offerRefusals: f.counter("offer_refusals_total", "Offers refused by agents, by reason.", "reason"),
		bytes:         f.counter("relayed_bytes_total", "Bytes of bodies relayed, by class of the link and direction.", "link", "direction"),
		seconds:       f.histogram("request_seconds", "Time to the whole answer, in seconds.", "class"),
		firstByte:     f.histogram("first_byte_seconds", "Time to the first byte of the answer, in seconds.", "class"),
	}
	m.crossed = f.counter("crossed_messages_total", "Messages that belong to another attempt.").WithLabelValues()
	m.duplicates = f.counter("duplicate_requests_total", "Requests that waited for a running one with the same content.").WithLabelValues()
	m.showReasons()
	for _, link := range placement.LinkClasses {
		m.links[link] = linkMetrics{
			offers:   m.offers.WithLabelValues(link.String()),
			sent:     m.bytes.WithLabelValues(link.String(), "sent"),
			received: m.bytes.WithLabelValues(link.String(), "received"),
		}
	}
	return m
}

// showReasons shows the counter of each refusal and retry reason before its
// first event.
func (m *metrics) showReasons() {
	for reason := range kinds {
		m.refusals.WithLabelValues(string(reason))
		m.offerRefusals.WithLabelValues(string(reason))
	}
	for reason := range retryable {
		for _, outcome := range []request.Outcome{request.OutcomeNotRun, request.OutcomeUnknown} {
			m.retries.WithLabelValues(string(reason), outcome.String())
		}
	}
}

func (m *metrics) offered(l *leg) { m.links[l.link].offers.Inc() }

func (m *metrics) offer(l *leg, result string) {
	m.offerResults.WithLabelValues(l.link.String(), result).Inc()
}

func (m *metrics) sent(l *leg, n int) { m.links[l.link].sent.Add(float64(n)) }

func (m *metrics) received(l *leg, n int) { m.links[l.link].received.Add(float64(n)) }

// observe counts a call that has ended.
func (m *metrics) observe(c *call, ans *answer, refused *request.RefusedError, began time.Time) {
	class := c.class.String()
	result := request.OutcomeCompleted
	if refused != nil {
		result = refused.Outcome
	}
	m.requests.WithLabelValues(class, result.String()).Inc()
	if refused != nil {
		return
	}
	m.seconds.WithLabelValues(class).Observe(time.Since(began).Seconds())
	m.firstByte.WithLabelValues(class).Observe(ans.firstByte.Sub(began).Seconds())
}

// factory makes the router's metrics and registers them.
type factory struct {
	reg prometheus.Registerer
}

const (
	metricsNamespace = "mastichollow"
	metricsSubsystem = "router"
)

func (f factory) counter(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
	}, labels)
	f.reg.MustRegister(c)
	return c
}

func (f factory) gauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
	})
	f.reg.MustRegister(g)
	return g
}

func (f factory) histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help, Buckets: latencyBuckets,
	}, labels)
	f.reg.MustRegister(h)
	return h
}
