package router

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/placement"
	"github.com/mastichollow/mastichollow/internal/request"
)

// metrics are the Prometheus metrics of the router.
type metrics struct {
	runningRequests   prometheus.Gauge
	requests          *prometheus.CounterVec   // by class and result
	refusals          *prometheus.CounterVec   // by reason
	abortedAnswers    *prometheus.CounterVec   // by reason
	retries           *prometheus.CounterVec   // by reason and outcome
	resumes           *prometheus.CounterVec   // by cause
	offers            *prometheus.CounterVec   // by link
	offerResults      *prometheus.CounterVec   // by link and result
	offerRefusals     *prometheus.CounterVec   // by reason
	relayedBytes      *prometheus.CounterVec   // by link and direction
	attemptMismatches prometheus.Counter       // messages with the ID of another attempt
	duplicates        prometheus.Counter       // requests queued behind an identical running request
	requestSeconds    *prometheus.HistogramVec // time to the complete answer, by class
	firstByteSeconds  *prometheus.HistogramVec // time to the first byte of the body, by class

	links [3]linkMetrics // by placement.LinkClass
}

// linkMetrics are the counters of one class of link, resolved once to avoid look-ups
// by label.
type linkMetrics struct {
	offers        prometheus.Counter
	sentBytes     prometheus.Counter
	receivedBytes prometheus.Counter
}

var latencyBuckets = prometheus.ExponentialBuckets(0.001, 2, 18) // 1 ms to 131 s

func newMetrics(reg prometheus.Registerer) *metrics {
	f := metricFactory{reg}
	m := &metrics{
		runningRequests:  f.gauge("running_requests", "Requests in flight."),
		requests:         f.counter("requests_total", "Requests offered to agents, by class and result.", "class", "result"),
		refusals:         f.counter("refusals_total", "Requests refused, by reason.", "reason"),
		abortedAnswers:   f.counter("aborted_answers_total", "Answers aborted after their first byte, by reason.", "reason"),
		retries:          f.counter("retries_total", "Retries, by reason and outcome of the previous attempt.", "reason", "outcome"),
		resumes:          f.counter("resumes_total", "Streams replaced to resume an attempt, by cause.", "cause"),
		offers:           f.counter("offers_total", "Offers sent, by class of the link.", "link"),
		offerResults:     f.counter("offer_results_total", "Offers that were granted, refused or lost, by class of the link and result.", "link", "result"),
		offerRefusals:    f.counter("offer_refusals_total", "Offers refused by agents, by reason.", "reason"),
		relayedBytes:     f.counter("relayed_bytes_total", "Bytes of bodies relayed, by class of the link and direction.", "link", "direction"),
		requestSeconds:   f.histogram("request_seconds", "Time to the complete answer, in seconds.", "class"),
		firstByteSeconds: f.histogram("first_byte_seconds", "Time to the first byte of the answer, in seconds.", "class"),
	}
	m.attemptMismatches = f.counter("crossed_messages_total", "Messages with the ID of another attempt.").WithLabelValues()
	m.duplicates = f.counter("duplicate_requests_total", "Requests queued behind a running request with the same content.").WithLabelValues()
	m.initReasonCounters()
	for _, link := range placement.LinkClasses {
		m.links[link] = linkMetrics{
			offers:        m.offers.WithLabelValues(link.String()),
			sentBytes:     m.relayedBytes.WithLabelValues(link.String(), "sent"),
			receivedBytes: m.relayedBytes.WithLabelValues(link.String(), "received"),
		}
	}
	return m
}

// initReasonCounters creates the counters of all refusal and retry reasons, so that
// they are exported as 0 before their first event.
func (m *metrics) initReasonCounters() {
	for reason := range problemKinds {
		m.refusals.WithLabelValues(string(reason))
		m.offerRefusals.WithLabelValues(string(reason))
	}
	for reason := range retryableReasons {
		for _, outcome := range []request.Outcome{request.OutcomeNotRun, request.OutcomeUnknown} {
			m.retries.WithLabelValues(string(reason), outcome.String())
		}
	}
}

func (m *metrics) countOffer(stream *agentStream) { m.links[stream.link].offers.Inc() }

func (m *metrics) countOfferResult(stream *agentStream, result string) {
	m.offerResults.WithLabelValues(stream.link.String(), result).Inc()
}

func (m *metrics) countSentBytes(stream *agentStream, n int) {
	m.links[stream.link].sentBytes.Add(float64(n))
}

func (m *metrics) countReceivedBytes(stream *agentStream, n int) {
	m.links[stream.link].receivedBytes.Add(float64(n))
}

// observe records the result of a call, and its latencies if it has a complete answer.
func (m *metrics) observe(c *call, answer *answerWriter, refused *request.RefusedError, startedAt time.Time) {
	class := c.class.String()
	result := request.OutcomeCompleted
	if refused != nil {
		result = refused.Outcome
	}
	m.requests.WithLabelValues(class, result.String()).Inc()
	if refused != nil {
		return
	}
	m.requestSeconds.WithLabelValues(class).Observe(time.Since(startedAt).Seconds())
	m.firstByteSeconds.WithLabelValues(class).Observe(answer.firstByte.Sub(startedAt).Seconds())
}

// metricFactory creates and registers metrics.
type metricFactory struct {
	reg prometheus.Registerer
}

const (
	metricsNamespace = "mastichollow"
	metricsSubsystem = "router"
)

func (f metricFactory) counter(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
	}, labels)
	f.reg.MustRegister(c)
	return c
}

func (f metricFactory) gauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
	})
	f.reg.MustRegister(g)
	return g
}

func (f metricFactory) histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help, Buckets: latencyBuckets,
	}, labels)
	f.reg.MustRegister(h)
	return h
}
